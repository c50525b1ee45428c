package hub

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
)

const (
	// maxPolledDeltaBytes is the size up to which a delta is sent with the reply to a poll.
	maxPolledDeltaBytes = 4 << 10
	// maxDirectDeltas is the number of large deltas that a hub sends at a time.
	maxDirectDeltas = 2
	// sourceInterval is the minimum time between two hosts that are sent to the same source.
	sourceInterval = 30 * time.Millisecond
	// sourceRate is the rate at which a source sends, in bytes per second: the link of most
	// entry hosts, 7 Mbit/s.
	sourceRate = 875_000
	// sourceTTL is how long after its last poll a host counts as a source.
	sourceTTL = 1500 * time.Millisecond
	// maxDeltaWait limits the wait for a source, or for the hub itself.
	maxDeltaWait = 2500 * time.Millisecond
)

// deltaSpread sends a large delta, or the first view and roster of a host, to a few hosts, and
// the others to hosts that have it.
//
// Load: a configuration with a thousand more routes for hundreds of hosts, and hundreds of
// hosts that start at the same time. A hub with a slow link would take several seconds to send
// it to each of its hosts, and changes of targets would wait behind it.
type deltaSpread struct {
	clock clockwork.Clock
	// bytesPerSecond is the rate at which the hub itself sends; 0 for no limit.
	bytesPerSecond float64

	mu      sync.Mutex
	holders map[string]*deltaHolder
	// sending is the number of deltas that the hub itself sends now.
	sending int
	// waiters are the hosts that wait for a delta, in the order of their requests.
	waiters []*deltaWaiter
	// retryAt is when the earliest pending timer dispatches again; zero for none.
	retryAt time.Time
}

// deltaHolder is a host that polls this hub.
type deltaHolder struct {
	host     string
	address  string
	revision uint64
	seenAt   time.Time
	// freeAt is when the host may be the source of another one.
	freeAt time.Time
	// passesViews is set if the host has the roster of this hub and gives it, with its view,
	// to hosts without one.
	passesViews bool
}

// canServe reports whether the holder has what a waiter needs.
func (h *deltaHolder) canServe(w *deltaWaiter) bool {
	return h.host != w.request.Host && h.revision >= w.revision && (h.passesViews || !w.request.IsFirst)
}

// deltaWaiter is a request for a large delta.
type deltaWaiter struct {
	request  peer.WatchRequest
	revision uint64
	size     int
	// granted receives the address of a source, or "" if the hub itself is to send.
	granted chan string
}

func newDeltaSpread(clock clockwork.Clock, bytesPerSecond float64) *deltaSpread {
	return &deltaSpread{clock: clock, bytesPerSecond: bytesPerSecond, holders: map[string]*deltaHolder{}}
}

// recordPoll records the revision that a host has. hasRoster is set if it has a roster of this
// hub.
func (d *deltaSpread) recordPoll(m peer.WatchRequest, hasRoster bool) {
	if m.PeerAddress == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	holder := d.holders[m.Host]
	if holder == nil {
		holder = &deltaHolder{host: m.Host}
		d.holders[m.Host] = holder
	}
	holder.address, holder.revision, holder.seenAt = m.PeerAddress, m.Revision, d.clock.Now()
	holder.passesViews = m.PassesViews && m.Revision > 0 && hasRoster
	d.dispatch()
}

// hostAddresses returns the sorted peer addresses of the hosts that polled this hub recently.
func (d *deltaSpread) hostAddresses() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var addresses []string
	for _, holder := range d.holders {
		if d.clock.Since(holder.seenAt) <= sourceTTL {
			addresses = append(addresses, holder.address)
		}
	}
	slices.Sort(addresses)
	return addresses
}

// dispatch grants sources and the link of the hub to the hosts that wait, first come, first
// served. The caller must hold d.mu.
func (d *deltaSpread) dispatch() {
	if len(d.waiters) == 0 {
		return
	}
	now := d.clock.Now()
	free, nextAt := d.freeHolders(now)
	d.waiters = slices.DeleteFunc(d.waiters, func(w *deltaWaiter) bool {
		if i := slices.IndexFunc(free, func(h *deltaHolder) bool { return !w.request.Direct && h.canServe(w) }); i >= 0 {
			free[i].freeAt = now.Add(sourceTime(w.size))
			w.granted <- free[i].address
			nextAt = earliest(nextAt, free[i].freeAt)
			free = slices.Delete(free, i, i+1)
			return true
		}
		if d.sending >= maxDirectDeltas {
			return false
		}
		d.sending++
		w.granted <- ""
		d.clock.AfterFunc(time.Duration(float64(w.size)/d.bytesPerSecond*float64(time.Second)), d.finishSending)
		return true
	})
	if len(d.waiters) > 0 && !nextAt.IsZero() && (!d.retryAt.After(now) || nextAt.Before(d.retryAt)) {
		d.retryAt = nextAt
		d.clock.AfterFunc(nextAt.Sub(now), d.retry)
	}
}

// freeHolders returns the holders that may be sources now, those first that have been free for
// the longest time, and when the next one may; zero for none. The caller must hold d.mu.
func (d *deltaSpread) freeHolders(now time.Time) (free []*deltaHolder, nextAt time.Time) {
	for host, holder := range d.holders {
		switch {
		case now.Sub(holder.seenAt) > sourceTTL:
			delete(d.holders, host)
		case holder.freeAt.After(now):
			nextAt = earliest(nextAt, holder.freeAt)
		default:
			free = append(free, holder)
		}
	}
	slices.SortFunc(free, func(a, b *deltaHolder) int {
		return cmp.Or(a.freeAt.Compare(b.freeAt), cmp.Compare(a.host, b.host))
	})
	return free, nextAt
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// sourceTime returns how long a host is busy as the source of a delta.
func sourceTime(size int) time.Duration {
	return max(sourceInterval, time.Duration(float64(size)/sourceRate*float64(time.Second)))
}

// finishSending records that the hub has sent a delta.
func (d *deltaSpread) finishSending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sending--
	d.dispatch()
}

// retry dispatches when a source is free again.
func (d *deltaSpread) retry() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dispatch()
}

// waiting returns the number of hosts that wait for a delta.
func (d *deltaSpread) waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiters)
}

// reply replies to a request for a large delta of size bytes: with a source as soon as there is
// one, or with the delta when it is the turn of the host.
func (d *deltaSpread) reply(m peer.WatchRequest, response peer.WatchResponse, revision uint64, size int, reply peer.Reply) {
	if d.bytesPerSecond <= 0 {
		reply(response)
		return
	}
	waiter := &deltaWaiter{request: m, revision: revision, size: size, granted: make(chan string, 1)}
	d.mu.Lock()
	// A host that asks again does not wait for the reply to its earlier request.
	d.waiters = slices.DeleteFunc(d.waiters, func(w *deltaWaiter) bool { return w.request.Host == m.Host })
	d.waiters = append(d.waiters, waiter)
	d.dispatch()
	d.mu.Unlock()
	deadline := d.clock.NewTimer(maxDeltaWait)
	defer deadline.Stop()
	select {
	case source := <-waiter.granted:
		if source != "" {
			response.Delta, response.OmittedRevision, response.Sources = nil, revision, []string{source}
		}
	case <-deadline.Chan():
		d.cancel(waiter)
		response.Delta, response.OmittedRevision = nil, revision
	}
	reply(response)
}

// cancel removes a host that has waited for too long. A grant in that instant is lost; the host
// asks again.
func (d *deltaSpread) cancel(waiter *deltaWaiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waiters = slices.DeleteFunc(d.waiters, func(w *deltaWaiter) bool { return w == waiter })
}
