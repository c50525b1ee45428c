package hub

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/common/ticks"
)

const (
	// touchInterval is the pause between questions to the leader.
	touchInterval = 250 * time.Millisecond
	// touchTimeout bounds one question, soonTimeout one of a hub without touch: a
	// new leader may have been elected since it was asked.
	touchTimeout = 1200 * time.Millisecond
	soonTimeout  = 250 * time.Millisecond
	// touchLasts is how long an answer counts: long enough that a hub under load
	// does not send its hosts to the others, which have as much to do, and short
	// enough that they leave before what the majority decides must be in force.
	touchLasts = 2 * time.Second
)

// touch is when the replica last held everything that a majority had committed.
type touch struct {
	clock clockwork.Clock

	mu sync.Mutex
	at time.Time
	// renewed is closed and replaced with each renewal.
	renewed chan struct{}
}

func newTouch(clock clockwork.Clock) *touch {
	return &touch{clock: clock, renewed: make(chan struct{})}
}

// renew records an answer to a question asked at the time.
func (t *touch) renew(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at = asked
	close(t.renewed)
	t.renewed = make(chan struct{})
}

// held reports whether the replica was current a moment ago, and when to look
// again.
func (t *touch) held() (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.at.IsZero() && t.clock.Since(t.at) < touchLasts, t.renewed
}

// await waits for touch and reports whether it came in time.
func (t *touch) await(wait time.Duration) bool {
	held, renewed := t.held()
	if held || wait <= 0 {
		return held
	}
	timer := t.clock.NewTimer(wait)
	defer timer.Stop()
	for !held {
		select {
		case <-renewed:
			held, renewed = t.held()
		case <-timer.Chan():
			return false
		}
	}
	return true
}

// inTouch reports whether this hub's replica was current a moment ago.
func (h *Hub) inTouch() bool {
	held, _ := h.touch.held()
	return held
}

// keepTouch asks the leader again and again whether the replica is current.
func (h *Hub) keepTouch(ctx context.Context) {
	was := false
	ticks.Every(ctx, h.Clock, touchInterval, func(ctx context.Context) {
		asked := h.Clock.Now()
		limit := touchTimeout
		if !h.inTouch() {
			limit = soonTimeout
		}
		bounded, cancel := clockwork.WithTimeout(ctx, h.Clock, limit)
		defer cancel()
		err := h.replica.Quorum.Barrier(bounded)
		if err == nil {
			h.touch.renew(asked)
		}
		if now := h.inTouch(); now != was {
			was = now
			h.log.WithField("InTouch", now).WithField("Error", err).Infof("Touch with a majority of the state replicas changes.")
		}
	})
}

// barrier returns once the replica holds everything committed before the call.
func (h *Hub) barrier(ctx context.Context) error {
	return h.replica.Quorum.Barrier(ctx)
}
