package hub

import (
	"context"
	"maps"
	"slices"
	"time"

	"comfreytiller.dev/admission/rollout"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

const (
	// sumsInterval is the interval at which a hub tells the others its sums if they have
	// changed, sumsResendInterval that at which it does in any case: a message may be lost.
	sumsInterval       = 100 * time.Millisecond
	sumsResendInterval = 500 * time.Millisecond
	// maxSources limits the processes of hubs whose sums are kept.
	maxSources = 32
)

// serviceSums are the sums of a process of a hub, by service.
type serviceSums map[string]*rollout.ServiceReport

// record adds what a host reported to the sums of this hub.
func (m *rolloutManager) record(report rollout.Report) {
	if report.IsEmpty() {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.sums[m.hub.rosterSource]
	if own == nil {
		own = serviceSums{}
		m.sums[m.hub.rosterSource] = own
	}
	for i := range report.Services {
		counts := &report.Services[i]
		sum := own[counts.Service]
		if sum == nil || sum.Number < counts.Number {
			sum = &rollout.ServiceReport{Service: counts.Service, Number: counts.Number}
			own[counts.Service] = sum
		}
		if sum.Number == counts.Number {
			sum.Add(counts)
			m.changed = true
		}
	}
}

// merge replaces the sums of a process of another hub. They stay when the process ends. Messages
// of a process come in their order, but for those that were sent on an earlier connection.
func (m *rolloutManager) merge(source uint64, sums []rollout.ServiceReport) {
	if source == 0 || source == m.hub.rosterSource || len(sums) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.sums[source]
	if known == nil {
		if len(m.sums) >= maxSources {
			return
		}
		known = serviceSums{}
		m.sums[source] = known
	}
	for i := range sums {
		sum, last := &sums[i], known[sums[i].Service]
		if last == nil || last.Number < sum.Number || last.Number == sum.Number && last.Requests <= sum.Requests {
			known[sum.Service] = sum
		}
	}
}

// total returns the sums of all hubs for a rollout.
func (m *rolloutManager) total(service string, number uint64) rollout.ServiceReport {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := rollout.ServiceReport{Service: service, Number: number}
	for _, sums := range m.sums {
		if sum := sums[service]; sum != nil && sum.Number == number {
			total.Add(sum)
		}
	}
	return total
}

// dropOld forgets the sums of rollouts that are not serving.
func (m *rolloutManager) dropOld(rollouts map[string]registry.Rollout) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for source, sums := range m.sums {
		maps.DeleteFunc(sums, func(service string, sum *rollout.ServiceReport) bool {
			current, exists := rollouts[service]
			return exists && (sum.Number < current.Number || sum.Number == current.Number && current.State != registry.RolloutServing)
		})
		if len(sums) == 0 {
			delete(m.sums, source)
		}
	}
}

// runSums tells the other hubs the sums of what hosts reported here until ctx ends.
func (m *rolloutManager) runSums(ctx context.Context) {
	var last time.Time
	ticks.Every(ctx, m.hub.Clock, sumsInterval, func(context.Context) {
		now := m.hub.Clock.Now()
		m.mu.Lock()
		own := m.sums[m.hub.rosterSource]
		isDue := len(own) > 0 && (m.changed || now.Sub(last) >= sumsResendInterval)
		var sums []rollout.ServiceReport
		if isDue {
			for _, service := range slices.Sorted(maps.Keys(own)) {
				sums = append(sums, own[service].Clone())
			}
			last, m.changed = now, false
		}
		m.mu.Unlock()
		if isDue {
			m.hub.gossip.broadcast(peer.RosterUpdate{Host: m.hub.Settings.Host, Rollouts: sums, RolloutSource: m.hub.rosterSource})
		}
	})
}
