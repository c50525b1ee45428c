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
)

// hostCount is the number of entry hosts that share the fleet's limits.
type hostCount struct {
	clock clockwork.Clock

	mu         sync.Mutex
	largest    int
	recordedAt time.Time
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

// count returns the number of hosts that share the limits, including this one.
func (h *hostCount) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.largest == 0 {
		return defaultHostCount
	}
	return h.largest
}
