package gateway

import (
	"net"
	"sync"
	"time"

	"comfreytiller.dev/target/conn"
	"github.com/jonboulle/clockwork"
)

// callerConn is a connection from a caller. The HTTP server does not read from
// it while a response is prepared or written, so watchClose reads one byte in
// the meantime: an EOF or error shows that the caller has disconnected. A byte
// of the next request is buffered for the server.
type callerConn struct {
	net.Conn
	clock        clockwork.Clock
	writeGuard   *conn.Watchdog
	writeTimeout time.Duration
	release      func()
	closeOnce    sync.Once
	// readTimeouts returns the read timeout of a header and the timeout of an
	// idle connection; 0 keeps the server's own.
	readTimeouts func() (header, idle time.Duration)
	// awaitingRequest is set from the write of a response until the first byte
	// of the next request. headerDeadlineSet is set once the deadline for the
	// header of that request is set. Both are used only by the server's
	// goroutine.
	awaitingRequest   bool
	headerDeadlineSet bool

	mu          sync.Mutex
	hasBuffered bool
	buffered    byte
}

func newCallerConn(clock clockwork.Clock, c net.Conn, writeTimeout time.Duration, release func()) *callerConn {
	return &callerConn{
		Conn: c, clock: clock, writeGuard: conn.NewWatchdog(clock, c), writeTimeout: writeTimeout, release: release,
		readTimeouts: func() (time.Duration, time.Duration) { return 0, 0 },
	}
}

// SetReadDeadline is called by the HTTP server to limit the wait for a request,
// then the read of its header, and then the read of its body. The limits of the
// first two come from the fleet configuration, which can change while the
// server runs.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	header, idle := c.readTimeouts()
	limit := time.Duration(0)
	switch {
	case deadline.IsZero():
	case c.awaitingRequest:
		limit, c.headerDeadlineSet = idle, false
	case !c.headerDeadlineSet:
		limit, c.headerDeadlineSet = header, true
	}
	if limit > 0 {
		deadline = c.clock.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // The server recognizes timeouts by their type.
}

// Read reads from the connection, starting with the buffered byte if there is
// one.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasBuffered && len(p) > 0 {
		p[0] = c.buffered
		c.hasBuffered = false
		c.awaitingRequest = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.awaitingRequest = false
	}
	return n, err
}

// Write writes within the write timeout. The connection of a caller that does
// not read within that time is closed.
func (c *callerConn) Write(p []byte) (int, error) {
	c.awaitingRequest, c.headerDeadlineSet = true, false
	c.writeGuard.Arm(c.writeTimeout)
	n, err := c.Conn.Write(p)
	c.writeGuard.Disarm()
	return n, err
}

// Close closes the connection and releases its slot in the connection limit.
func (c *callerConn) Close() error {
	c.writeGuard.Stop()
	c.closeOnce.Do(c.release)
	return c.Conn.Close()
}

// watchClose calls onClose when the caller closes its connection before the
// returned function is called.
func (c *callerConn) watchClose(onClose func()) (stop func()) {
	c.mu.Lock()
	hasBuffered := c.hasBuffered
	c.mu.Unlock()
	if hasBuffered || c.Conn.SetReadDeadline(time.Time{}) != nil {
		return func() {}
	}
	ended := make(chan struct{})
	stopped := make(chan struct{})
	go c.readOneByte(onClose, stopped, ended)
	var once sync.Once
	return func() {
		once.Do(func() {
			close(stopped)
			// Both calls fail only on a closed connection, which ends the watch
			// as well.
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
			<-ended
			_ = c.Conn.SetReadDeadline(time.Time{})
		})
	}
}

// readOneByte reads one byte. An error before the watch is stopped means that
// the caller has disconnected.
func (c *callerConn) readOneByte(onClose func(), stopped, ended chan struct{}) {
	defer close(ended)
	var buf [1]byte
	n, err := c.Conn.Read(buf[:])
	if n == 1 {
		c.mu.Lock()
		c.hasBuffered, c.buffered = true, buf[0]
		c.mu.Unlock()
		return
	}
	select {
	case <-stopped:
	default:
		if err != nil {
			onClose()
		}
	}
}
