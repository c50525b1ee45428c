package hub

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// fullFactor and fullMargin limit the hosts of a hub: fullFactor times the mean of the hubs
	// that can serve, and fullMargin more. Hosts that choose their hubs by hash differ less.
	fullFactor = 1.3
	fullMargin = 4
	// redirectTTL is how long a host that was sent to another hub is not sent away again. It
	// must get an answer somewhere.
	redirectTTL = 10 * time.Second
	// redirectDelay is after which time a host that is sent to another hub polls it, on average.
	redirectDelay = 100 * time.Millisecond
	// moveInterval is the minimum time between two hosts with a reply of this hub that are sent to
	// another one: the reports of the others follow.
	moveInterval = 50 * time.Millisecond
	// hubReportTTL is how long the report of another hub counts, four refreshes.
	hubReportTTL = 4 * refreshInterval
)

// hostBalance decides whether a hub takes a host that comes to it, or sends it to another hub, and
// whether it keeps those that it has.
//
// Load: after a loss of power one of five hubs has contact with a majority first, and gets all
// hosts of the fleet. The others remain idle when they have contact as well. At a first start
// hosts know three of the hubs, and come before these have reported what they serve.
type hostBalance struct {
	clock clockwork.Clock

	mu      sync.Mutex
	reports map[string]servedReport
	// redirected holds when hosts were last sent to another hub.
	redirected map[string]time.Time
	// movedAt is when a host that was served here was last sent to another hub.
	movedAt time.Time
	// count is the number of hosts sent to other hubs since the last log line.
	count int
}

// servedReport is the number of hosts that another hub serves, with those sent there since.
type servedReport struct {
	hosts int
	at    time.Time
}

func newHostBalance(clock clockwork.Clock) *hostBalance {
	return &hostBalance{clock: clock, reports: map[string]servedReport{}, redirected: map[string]time.Time{}}
}

// recordReport records the number of hosts that another hub serves. One that can't serve, or
// doesn't tell, is no alternative.
func (b *hostBalance) recordReport(hub string, hosts int, serves bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !serves {
		delete(b.reports, hub)
		return
	}
	b.reports[hub] = servedReport{hosts: hosts, at: b.clock.Now()}
}

// redirect returns the hubs to which a host is sent, the best one first; none if this hub takes
// it. served is the number of hosts that this hub serves, isServed is set if the host is one of
// them.
func (b *hostBalance) redirect(host string, served int, isServed bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	if isServed && now.Sub(b.movedAt) < moveInterval {
		return nil
	}
	if at, known := b.redirected[host]; known && now.Sub(at) < redirectTTL {
		return nil
	}
	total := served
	var others []string
	for hub, report := range b.reports {
		if now.Sub(report.at) > hubReportTTL {
			delete(b.reports, hub)
			continue
		}
		total += report.hosts
		others = append(others, hub)
	}
	mean := float64(total) / float64(len(others)+1)
	if !isServed {
		served++
	}
	if float64(served) <= fullFactor*mean+fullMargin {
		return nil
	}
	others = slices.DeleteFunc(others, func(hub string) bool { return float64(b.reports[hub].hosts) >= mean })
	slices.SortFunc(others, b.compare)
	if len(others) == 0 {
		return nil
	}
	b.countSent(others[0])
	if isServed {
		b.movedAt = now
	}
	for known, at := range b.redirected {
		if now.Sub(at) >= redirectTTL {
			delete(b.redirected, known)
		}
	}
	b.redirected[host] = now
	b.count++
	return others
}

// serving returns the hubs that can serve, the one with the fewest hosts first, and counts a host
// as sent there.
func (b *hostBalance) serving() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	var hubs []string
	for hub, report := range b.reports {
		if now.Sub(report.at) <= hubReportTTL {
			hubs = append(hubs, hub)
		}
	}
	slices.SortFunc(hubs, b.compare)
	if len(hubs) > 0 {
		b.countSent(hubs[0])
	}
	return hubs
}

// compare orders hubs by the number of their hosts. The caller must hold b.mu.
func (b *hostBalance) compare(x, y string) int {
	return cmp.Or(cmp.Compare(b.reports[x].hosts, b.reports[y].hosts), cmp.Compare(x, y))
}

// countSent counts a host that is sent to a hub until the hub's next report. The caller must
// hold b.mu.
func (b *hostBalance) countSent(hub string) {
	report := b.reports[hub]
	report.hosts++
	b.reports[hub] = report
}

// takeCount returns the number of hosts that were sent to other hubs since the last call.
func (b *hostBalance) takeCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := b.count
	b.count = 0
	return count
}

// redirect returns the peer addresses of the hubs to which a host is sent; none if this hub takes
// or keeps it.
func (h *Hub) redirect(host string) []string {
	hubs := h.balance.redirect(host, h.watchers.servedCount(), h.watchers.isServed(host))
	if len(hubs) > 0 {
		h.watchers.forgetServed(host)
	}
	return h.peerAddresses(hubs)
}

// peerAddresses returns the peer addresses of hubs.
func (h *Hub) peerAddresses(names []string) []string {
	var addresses []string
	for _, name := range names {
		for _, member := range h.replica.Quorum.Status().Members {
			if member.Host == name {
				addresses = append(addresses, member.Address)
			}
		}
	}
	return addresses
}
