package entry

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// defaultHostCount is the number of entry hosts that is assumed until a hub
	// reports it. It is larger than the fleets that are built for, so that this
	// host's share of a limit is never too large.
	defaultHostCount = 512
	// hostCountTTL is how long the largest count is kept. A count drops when
	// hosts are restarted or hubs lose track of them while they still send
	// requests.
	hostCountTTL = 30 * time.Second
	// presentTTL is how long a report of the hosts that are back is used: a few polls.
	presentTTL = 3 * time.Second
)

// hostCount is the number of entry hosts that share the fleet's limits.
type hostCount struct {
	clock clockwork.Clock

	mu         sync.Mutex
	largest    int
	recordedAt time.Time
	// present is the number of hosts that are back so far, as last reported by a hub that
	// does not know their number yet.
	present   int
	presentAt time.Time
}

// record records a count reported by a hub; 0 means that the hub does not know
// it.
func (h *hostCount) record(n int) {
	if n <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if now := h.clock.Now(); n >= h.largest || now.Sub(h.recordedAt) > hostCountTTL {
		h.largest, h.recordedAt = n, now
	}
}

// recordPresent records the number of hosts that are back so far; 0 means that the hub knows
// the whole number, or does not report it.
func (h *hostCount) recordPresent(n int) {
	if n <= 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.present, h.presentAt = n, h.clock.Now()
}

// starting returns the number of hosts that are back so far while the whole number is not
// known after a start of the fleet; 0 in ordinary operation.
func (h *hostCount) starting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.largest > 0 || h.clock.Since(h.presentAt) > presentTTL {
		return 0
	}
	return h.present
}

// count returns the number of hosts that share the limits, including this one.
func (h *hostCount) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.largest == 0 {
		return defaultHostCount
	}
	return h.largest
}
