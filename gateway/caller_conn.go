package gateway

import (
	"sync"
	"time"

	"comfreytiller.dev/gateway/intake"
	"comfreytiller.dev/target/conn"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// callerConn is a connection from a caller. The HTTP server does not read from
// it while a response is prepared or written, so watchClose reads one byte in
// the meantime: an EOF or error shows that the caller has disconnected. A byte
// of the next request is buffered for the server.
type callerConn struct {
	*intake.Conn
	clock        clockwork.Clock
	writeGuard   *conn.Watchdog
	writeTimeout time.Duration
	release      func()
	closeOnce    sync.Once
	// readTimeouts returns the read timeout of a header and the timeout of an
	// idle connection; 0 keeps the server's own.
	readTimeouts func() (header, idle time.Duration)
	// nextDeadline is what the next read deadline is for. It is used only by the
	// server's goroutine.
	nextDeadline readDeadline

	mu          sync.Mutex
	hasBuffered bool
	buffered    byte
}

// readDeadline is what the HTTP server sets a read deadline for.
type readDeadline int

// The server sets the deadlines in this order: for the header and the body of the first
// request, then for the wait, the header and the body of each further one.
const (
	headerDeadline readDeadline = iota
	bodyDeadline
	idleDeadline
)

func newCallerConn(clock clockwork.Clock, c *intake.Conn, writeTimeout time.Duration, release func()) *callerConn {
	return &callerConn{
		Conn: c, clock: clock, writeGuard: conn.NewWatchdog(clock, c), writeTimeout: writeTimeout, release: release,
		readTimeouts: func() (time.Duration, time.Duration) { return 0, 0 },
	}
}

// SetReadDeadline implements net.Conn. The HTTP server calls it to limit the
// wait for a request, then the read of its header, and then the read of its
// body. The limits of the first two come from the fleet configuration, which can
// change while the server runs. What has been read or written can't tell the calls
// apart, because the next request may have arrived with the one before.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	header, idle := c.readTimeouts()
	limit, phase := time.Duration(0), intake.Body
	switch c.nextDeadline {
	case headerDeadline:
		limit, phase, c.nextDeadline = header, intake.Head, bodyDeadline
	case bodyDeadline:
		c.nextDeadline = idleDeadline
	case idleDeadline:
		limit, phase, c.nextDeadline = idle, intake.Waiting, headerDeadline
	}
	if err := c.Enter(phase); err != nil {
		return errors.Wrap(err, "begin the next part of a request")
	}
	if phase == intake.Waiting {
		c.mu.Lock()
		if c.hasBuffered {
			c.Observe([]byte{c.buffered})
		}
		c.mu.Unlock()
	}
	if limit > 0 {
		deadline = c.clock.Now().Add(limit)
	}
	return c.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // The server recognizes timeouts by their type.
}

// Accounting implements intake.Accounted.
func (c *callerConn) Accounting() *intake.Conn { return c.Conn }

// Read reads from the connection, starting with the buffered byte if there is
// one.
func (c *callerConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if c.hasBuffered && len(p) > 0 {
		p[0] = c.buffered
		c.hasBuffered = false
		c.mu.Unlock()
		return 1, nil
	}
	c.mu.Unlock()
	return c.Conn.Read(p)
}

// Write writes within the write timeout. The connection of a caller that does
// not read within that time is closed.
func (c *callerConn) Write(p []byte) (int, error) {
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
