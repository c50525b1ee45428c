package hub

import (
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
	// sourceInterval is the time between two hosts that are sent to the same source.
	sourceInterval = 30 * time.Millisecond
	// sourceTTL is how long after its last poll a host counts as a source.
	sourceTTL = 1500 * time.Millisecond
	// sourceCheckInterval is the interval at which waiting hosts look for a source.
	sourceCheckInterval = 20 * time.Millisecond
	// maxDeltaWait limits the wait for a source, or for the hub itself.
	maxDeltaWait = 2500 * time.Millisecond
)

// deltaSpread sends a large delta to a few hosts, and the others to hosts that have it.
//
// Load: a configuration with a thousand more routes for hundreds of hosts. A hub with a slow
// link would take several seconds to send it to each of its hosts, and changes of targets
// would wait behind it.
type deltaSpread struct {
	clock clockwork.Clock
	// bytesPerSecond is the rate at which the hub itself sends; 0 for no limit.
	bytesPerSecond float64
	slots          chan struct{}

	mu      sync.Mutex
	holders map[string]*deltaHolder
}

// deltaHolder is a host that polls this hub.
type deltaHolder struct {
	address  string
	revision uint64
	seenAt   time.Time
	usedAt   time.Time
}

func newDeltaSpread(clock clockwork.Clock, bytesPerSecond float64) *deltaSpread {
	return &deltaSpread{clock: clock, bytesPerSecond: bytesPerSecond, slots: make(chan struct{}, maxDirectDeltas), holders: map[string]*deltaHolder{}}
}

// recordPoll records the revision that a host has.
func (d *deltaSpread) recordPoll(host, address string, revision uint64) {
	if address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	holder := d.holders[host]
	if holder == nil {
		holder = &deltaHolder{}
		d.holders[host] = holder
	}
	holder.address, holder.revision, holder.seenAt = address, revision, d.clock.Now()
}

// takeSource returns the peer address of a host that has the revision and has not been
// used as a source for the longest time; "" for none.
func (d *deltaSpread) takeSource(requester string, revision uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var best *deltaHolder
	for host, holder := range d.holders {
		if now.Sub(holder.seenAt) > sourceTTL {
			delete(d.holders, host)
			continue
		}
		if host != requester && holder.revision >= revision && now.Sub(holder.usedAt) >= sourceInterval && (best == nil || holder.usedAt.Before(best.usedAt)) {
			best = holder
		}
	}
	if best == nil {
		return ""
	}
	best.usedAt = now
	return best.address
}

// reply replies to a request for a large delta: with a source as soon as there is one, or
// with the delta when it is the turn of the host.
func (d *deltaSpread) reply(m peer.WatchRequest, response peer.WatchResponse, revision uint64, reply peer.Reply) {
	if d.bytesPerSecond <= 0 {
		reply(response)
		return
	}
	deadline := d.clock.NewTimer(maxDeltaWait)
	defer deadline.Stop()
	ticker := d.clock.NewTicker(sourceCheckInterval)
	defer ticker.Stop()
	size := len(response.Delta)
	for {
		if !m.Direct {
			if source := d.takeSource(m.Host, revision); source != "" {
				response.Delta, response.OmittedRevision, response.Sources = nil, revision, []string{source}
				reply(response)
				return
			}
		}
		select {
		case d.slots <- struct{}{}:
			reply(response)
			d.clock.AfterFunc(time.Duration(float64(size)/d.bytesPerSecond*float64(time.Second)), func() { <-d.slots })
			return
		case <-ticker.Chan():
		case <-deadline.Chan():
			response.Delta, response.OmittedRevision = nil, revision
			reply(response)
			return
		}
	}
}
