// Package conn has helpers for network connections that may go silent.
//
// # Usage
//
//	guard := conn.NewWatchdog(clock, connection)
//	guard.Arm(5 * time.Second)
//	n, err := connection.Read(buffer)
//	guard.Disarm()
//	if guard.Expired() { ... }
package conn

import (
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Watchdog closes a connection when a step on it takes longer than its budget.
// A connection that a guard has closed is never used again.
type Watchdog struct {
	clock  clockwork.Clock
	closer io.Closer

	mu       sync.Mutex
	timer    clockwork.Timer
	deadline time.Time
	armed    bool
	expired  bool
}

// NewWatchdog returns a guard for closer.
func NewWatchdog(clock clockwork.Clock, closer io.Closer) *Watchdog {
	return &Watchdog{clock: clock, closer: closer}
}

// Arm starts the budget of the next step; 0 sets none.
func (g *Watchdog) Arm(budget time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if budget <= 0 || g.expired {
		g.armed = false
		return
	}
	g.deadline = g.clock.Now().Add(budget)
	g.armed = true
	if g.timer == nil {
		g.timer = g.clock.AfterFunc(budget, g.fire)
		return
	}
	g.timer.Reset(budget)
}

// Disarm ends the step. After it the guard does not close the connection until
// it is armed again.
func (g *Watchdog) Disarm() {
	g.mu.Lock()
	g.armed = false
	g.mu.Unlock()
}

// Stop ends the guard's use of its timer.
func (g *Watchdog) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.armed = false
	if g.timer != nil {
		g.timer.Stop()
	}
}

// Expired reports whether the guard has closed the connection.
func (g *Watchdog) Expired() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.expired
}

// fire runs on the timer. A timer that was reset too late fires early once; it
// is then set again for the rest.
func (g *Watchdog) fire() {
	g.mu.Lock()
	if !g.armed {
		g.mu.Unlock()
		return
	}
	if rest := g.deadline.Sub(g.clock.Now()); rest > 0 {
		g.timer.Reset(rest)
		g.mu.Unlock()
		return
	}
	g.armed = false
	g.expired = true
	g.mu.Unlock()
	_ = g.closer.Close()
}
