package hub

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
)

const (
	// contactInterval is the interval between read barriers.
	contactInterval = 250 * time.Millisecond
	// contactTimeout limits one read barrier. A replica asks again, the leader of the moment,
	// while a barrier is pending. A shorter timeout kept hubs without contact from ever
	// getting it while the leader was slow, and all hosts and targets stayed with the leader.
	contactTimeout = 1200 * time.Millisecond
	// contactTTL is how long a confirmation is valid. It is long enough that a
	// hub under load does not send its hosts to the other hubs, which are as
	// busy, and short enough that hosts leave before decisions of the majority
	// must be in force.
	contactTTL = 2 * time.Second
)

const (
	// momentaryLoss is how long after its loss contact may come back in a moment: an election
	// takes 0.75 to 1 s, and a hub notices the loss after contactTTL.
	momentaryLoss = 3 * time.Second
	// keptWait is how long a hub without contact keeps hosts in that time. Another hub would
	// get all of them at once.
	keptWait = time.Second
	// startWait is how long a hub that has had no contact since it started keeps hosts: one
	// that lost its disk may be without contact for seconds.
	startWait = 200 * time.Millisecond
	// replyTimeoutMargin is the time between the end of a wait for contact and the end of the
	// host's reply timeout.
	replyTimeoutMargin = 500 * time.Millisecond
)

// majorityContact tracks when a read barrier last confirmed that the replica
// held everything that a majority had committed.
type majorityContact struct {
	clock clockwork.Clock

	mu          sync.Mutex
	confirmedAt time.Time
	// confirmed is closed and replaced with each confirmation.
	confirmed chan struct{}
}

func newMajorityContact(clock clockwork.Clock) *majorityContact {
	return &majorityContact{clock: clock, confirmed: make(chan struct{})}
}

// confirm records the success of a read barrier that was sent at sentAt.
func (c *majorityContact) confirm(sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = sentAt
	close(c.confirmed)
	c.confirmed = make(chan struct{})
}

// isCurrent reports whether the last confirmation is younger than contactTTL,
// and returns a channel that is closed at the next one.
func (c *majorityContact) isCurrent() (bool, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmedAt.IsZero() && c.clock.Since(c.confirmedAt) < contactTTL, c.confirmed
}

// age returns the time since the last confirmation; 0 if there was none.
func (c *majorityContact) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return 0
	}
	return max(c.clock.Since(c.confirmedAt), 1)
}

// keep returns how long hosts are kept waiting for contact.
func (c *majorityContact) keep() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch lostFor := c.clock.Since(c.confirmedAt) - contactTTL; {
	case c.confirmedAt.IsZero():
		return startWait
	case lostFor < momentaryLoss:
		return keptWait
	}
	return 0
}

// contactWait returns how long a request of a host may wait for contact.
func (h *Hub) contactWait(m peer.WatchRequest) time.Duration {
	wait := min(m.MaxWait, maxLongPollWait)
	if kept := h.contact.keep(); m.ReplyTimeout >= kept+replyTimeoutMargin {
		wait = max(wait, kept)
	}
	return wait
}

// await waits for contact and reports whether it was confirmed in time.
func (c *majorityContact) await(wait time.Duration) bool {
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

// hasMajorityContact reports whether this hub's replica has recently been
// confirmed as current.
func (h *Hub) hasMajorityContact() bool {
	current, _ := h.contact.isCurrent()
	return current
}

// maintainContact confirms at intervals, by a read barrier, that the replica is
// current.
func (h *Hub) maintainContact(ctx context.Context) {
	previous := false
	ticks.Every(ctx, h.Clock, contactInterval, func(ctx context.Context) {
		sentAt := h.Clock.Now()
		barrierCtx, cancel := clockwork.WithTimeout(ctx, h.Clock, contactTimeout)
		defer cancel()
		err := h.replica.Quorum.Barrier(barrierCtx)
		if err == nil {
			h.contact.confirm(sentAt)
		}
		if current := h.hasMajorityContact(); current != previous {
			previous = current
			h.log.WithField("InTouch", current).WithField("Error", err).Infof("Contact with a majority of the state replicas changed.")
		}
	})
}

// reportContact tells the other hubs until ctx ends when this hub gains contact. With the next
// refresh they would learn too late that hosts may be sent here: at a start, all hosts choose
// their hubs within half a second.
func (h *Hub) reportContact(ctx context.Context) {
	reported := false
	for {
		current, confirmed := h.contact.isCurrent()
		if current && !reported {
			h.gossip.broadcast(h.voters.report())
		}
		reported = current
		select {
		case <-ctx.Done():
			return
		case <-confirmed:
		}
	}
}

// barrier is a read barrier: it returns once the replica holds everything
// committed before the call.
func (h *Hub) barrier(ctx context.Context) error {
	return h.replica.Quorum.Barrier(ctx)
}
