package hub

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/common/ticks"
)

const (
	// contactInterval is the interval between quorum barriers.
	contactInterval = 250 * time.Millisecond
	// contactTimeout bounds one barrier, noContactTimeout one of a hub without
	// contact: a new leader may have been elected since the barrier was sent.
	contactTimeout   = 1200 * time.Millisecond
	noContactTimeout = 250 * time.Millisecond
	// contactTTL is how long a confirmation is valid. It is long enough that a
	// hub under load does not send its hosts to the other hubs, which are as
	// busy, and short enough that hosts leave before decisions of the majority
	// must be in force.
	contactTTL = 2 * time.Second
)

// quorumContact tracks when the replica last held everything that a majority
// had committed.
type quorumContact struct {
	clock clockwork.Clock

	mu          sync.Mutex
	confirmedAt time.Time
	// confirmed is closed and replaced with each confirmation.
	confirmed chan struct{}
}

func newQuorumContact(clock clockwork.Clock) *quorumContact {
	return &quorumContact{clock: clock, confirmed: make(chan struct{})}
}

// confirm records the success of a barrier that was sent at sentAt.
func (c *quorumContact) confirm(sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = sentAt
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

// isCurrent reports whether the last confirmation is younger than contactTTL,
// and returns a channel that is closed at the next one.
func (c *quorumContact) isCurrent() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && c.clock.Since(c.confirmedAt) < contactTTL, c.confirmed
}

// await waits for contact and reports whether it was confirmed in time.
func (c *quorumContact) await(wait time.Duration) bool {
	current, changed := c.isCurrent()
	if current || wait <= 0 {
		return current
	}
	timer := c.clock.NewTimer(wait)
	defer timer.Stop()
	for !current {
		select {
		case <-changed:
			current, changed = c.isCurrent()
		case <-timer.Chan():
			return false
		}
	}
	return true
}

// hasQuorumContact reports whether this hub's replica has recently been
// confirmed as current.
func (h *Hub) hasQuorumContact() bool {
	current, _ := h.contact.isCurrent()
	return current
}

// maintainContact confirms at intervals, by a barrier, that the replica is
// current.
func (h *Hub) maintainContact(ctx context.Context) {
	previous := false
	ticks.Every(ctx, h.Clock, contactInterval, func(ctx context.Context) {
		sentAt := h.Clock.Now()
		timeout := contactTimeout
		if !h.hasQuorumContact() {
			timeout = noContactTimeout
		}
		barrierCtx, cancel := clockwork.WithTimeout(ctx, h.Clock, timeout)
		defer cancel()
		err := h.replica.Quorum.Barrier(barrierCtx)
		if err == nil {
			h.contact.confirm(sentAt)
		}
		if current := h.hasQuorumContact(); current != previous {
			previous = current
			h.log.WithField("InTouch", current).WithField("Error", err).Infof("Contact with a majority of the state replicas changed.")
		}
	})
}

// barrier returns once the replica holds everything committed before the call.
func (h *Hub) barrier(ctx context.Context) error {
	return h.replica.Quorum.Barrier(ctx)
}
