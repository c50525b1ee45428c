// Package conn provides a watchdog and an idle check for network connections whose
// peer may stop responding.
//
// # Usage
//
//	watchdog := conn.NewWatchdog(clock, connection)
//	watchdog.Arm(5 * time.Second)
//	n, err := connection.Read(buffer)
//	watchdog.Disarm()
//	if watchdog.Expired() { ... }
package conn

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Watchdog closes a connection, or interrupts reads of it, when an operation on it
// exceeds its timeout. After that, the watchdog can't be armed until Reset, and a closed
// connection must not be used again.
type Watchdog struct {
	clock  clockwork.Clock
	expire func()

	mu       sync.Mutex
	timer    clockwork.Timer
	deadline time.Time
	armed    bool
	expired  bool
}

// NewWatchdog returns a disarmed watchdog that closes closer.
func NewWatchdog(clock clockwork.Clock, closer io.Closer) *Watchdog {
	return &Watchdog{clock: clock, expire: func() { _ = closer.Close() }}
}

// NewReadWatchdog returns a disarmed watchdog that interrupts reads of c: they return
// os.ErrDeadlineExceeded until the read deadline of c is set again.
func NewReadWatchdog(clock clockwork.Clock, c net.Conn) *Watchdog {
	// The deadline of a closed connection can't be set, and its reads have ended.
	return &Watchdog{clock: clock, expire: func() { _ = c.SetReadDeadline(time.Unix(1, 0)) }}
}

// Arm starts the timeout of the next operation. A timeout of 0 or less disarms the
// watchdog.
func (w *Watchdog) Arm(timeout time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if timeout <= 0 || w.expired {
		w.armed = false
		return
	}
	w.deadline = w.clock.Now().Add(timeout)
	w.armed = true
	if w.timer == nil {
		w.timer = w.clock.AfterFunc(timeout, w.onTimer)
		return
	}
	w.timer.Reset(timeout)
}

// Disarm ends the operation. The watchdog does not expire until it is armed again.
func (w *Watchdog) Disarm() {
	w.mu.Lock()
	w.armed = false
	w.mu.Unlock()
}

// Stop disarms the watchdog and stops its timer.
func (w *Watchdog) Stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.armed = false
	if w.timer != nil {
		w.timer.Stop()
	}
}

// Reset disarms a watchdog that has expired and makes it usable again. Its interrupt may
// still follow.
func (w *Watchdog) Reset() {
	w.mu.Lock()
	w.armed, w.expired = false, false
	w.mu.Unlock()
}

// Expired reports whether the timeout of an operation has passed since the last Reset.
func (w *Watchdog) Expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.expired
}

// onTimer runs when the timer fires. If Arm extended the deadline too late to reset
// the timer, it fires early and is set again for the remaining time.
func (w *Watchdog) onTimer() {
	w.mu.Lock()
	if !w.armed {
		w.mu.Unlock()
		return
	}
	if remaining := w.deadline.Sub(w.clock.Now()); remaining > 0 {
		w.timer.Reset(remaining)
		w.mu.Unlock()
		return
	}
	w.armed = false
	w.expired = true
	w.mu.Unlock()
	w.expire()
}
