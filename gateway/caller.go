package gateway

import (
	"net"
	"sync"
	"time"

	"comfreytiller.dev/target/conn"
	"github.com/jonboulle/clockwork"
)

// callerConn is a caller's connection. The HTTP server does not read from it
// while an answer is prepared or written, so a watch reads one byte meanwhile:
// its end or error shows that the caller has gone. A byte of the next request
// is kept for the server.
type callerConn struct {
	net.Conn
	clock   clockwork.Clock
	guard   *conn.Watchdog
	stall   time.Duration
	release func()
	closing sync.Once
	// limits returns the time for a header and for an idle connection.
	limits func() (header, idle time.Duration)
	// waiting is set from an answer to the first byte of the next request, armed
	// since a deadline was set for its header. Only the server's goroutine uses
	// them.
	waiting bool
	armed   bool

	mu      sync.Mutex
	kept    bool
	keptVal byte
}

func newCallerConn(clock clockwork.Clock, c net.Conn, stall time.Duration, release func()) *callerConn {
	return &callerConn{
		Conn: c, clock: clock, guard: conn.NewWatchdog(clock, c), stall: stall, release: release,
		limits: func() (time.Duration, time.Duration) { return 0, 0 },
	}
}

// SetReadDeadline is how the HTTP server bounds the wait for a request, then the
// reading of its header, and then of its body. The first two have limits in the
// fleet, which change while the server runs.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	header, idle := c.limits()
	limit := time.Duration(0)
	switch {
	case deadline.IsZero():
	case c.waiting:
		limit, c.armed = idle, false
	case !c.armed:
		limit, c.armed = header, true
	}
	if limit > 0 {
		deadline = c.clock.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // The server tells time-outs by their type.
}

// Read reads from the connection, a kept byte first.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.kept && len(p) > 0 {
		p[0] = c.keptVal
		c.kept = false
		c.waiting = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.waiting = false
	}
	return n, err
}

// Write writes within the stall budget; a caller that does not read in that
// time loses its connection.
func (c *callerConn) Write(p []byte) (int, error) {
	c.waiting, c.armed = true, false
	c.guard.Arm(c.stall)
	n, err := c.Conn.Write(p)
	c.guard.Disarm()
	return n, err
}

// Close closes the connection.
func (c *callerConn) Close() error {
	c.guard.Stop()
	c.closing.Do(c.release)
	return c.Conn.Close()
}

// watch calls gone when the caller closes its connection, until the returned
// function is called.
func (c *callerConn) watch(gone func()) (stop func()) {
	c.mu.Lock()
	kept := c.kept
	c.mu.Unlock()
	if kept || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go c.readOne(gone, stopped, ended)
	var once sync.Once
	return func() {
		once.Do(func() {
			close(stopped)
			// Both fail only on a closed connection, which ends the watch as well.
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
			<-ended
			_ = c.Conn.SetReadDeadline(time.Time{})
		})
	}
}

// readOne reads one byte; an error before the watch is stopped means that the
// caller has gone.
func (c *callerConn) readOne(gone func(), stopped, ended chan struct{}) {
	defer close(ended)
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	if n == 1 {
		c.mu.Lock()
		c.kept, c.keptVal = true, one[0]
		c.mu.Unlock()
		return
	}
	select {
	case <-stopped:
	default:
		if err != nil {
			gone()
		}
	}
}
