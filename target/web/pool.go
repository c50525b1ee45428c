package web

import (
	"bufio"
	"net"
	"os"
	"sync"
	"time"

	"comfreytiller.dev/target/conn"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// targetConn is a connection to a target with its buffers and watchdog.
type targetConn struct {
	net.Conn
	address   string
	reader    *bufio.Reader
	writer    *bufio.Writer
	watchdog  *conn.Watchdog
	reused    bool
	idleSince time.Time

	// timeout limits the current operation. extended is set once it was extended
	// because input was pending when it passed.
	timeout  time.Duration
	extended bool
	// readErr is the first error of a read or of the check for pending input. It ends the input:
	// the operating system reports an error once.
	readErr error
	// mayGiveUp is MayGiveUp of the current call.
	mayGiveUp func() bool
}

// giveUpChecksPerTimeout is how often within another timeout a call that waits on asks
// whether it may be given up.
const giveUpChecksPerTimeout = 4

// Buffer sizes of a connection.
const (
	readBufferBytes  = 8 << 10
	writeBufferBytes = 4 << 10
)

func newTargetConn(clock clockwork.Clock, c net.Conn, address string) *targetConn {
	t := &targetConn{
		Conn: c, address: address,
		writer:   bufio.NewWriterSize(c, writeBufferBytes),
		watchdog: conn.NewReadWatchdog(clock, c),
	}
	t.reader = bufio.NewReaderSize(t, readBufferBytes)
	return t
}

// arm starts the timeout of the next operation; 0 sets none.
func (c *targetConn) arm(timeout time.Duration) {
	c.timeout, c.extended = timeout, false
	// The timer of the operation before may have fired too late to end it.
	c.watchdog.Reset()
	c.watchdog.Arm(timeout)
}

// Read reads data of the target. It returns os.ErrDeadlineExceeded if the timeout of the
// operation has passed, no input is pending and the call may be given up.
func (c *targetConn) Read(p []byte) (int, error) {
	for {
		if c.readErr != nil {
			return 0, c.readErr
		}
		n, err := c.Conn.Read(p)
		isInterrupted := errors.Is(err, os.ErrDeadlineExceeded)
		if !isInterrupted {
			c.readErr = err
		}
		if n > 0 || !isInterrupted || !c.continueReading() {
			return n, err
		}
	}
}

// continueReading reports whether an interrupted read goes on. The input of a process
// that had no processor for a while may have arrived before its timer fired. The timeout
// of an operation is extended once, so that a target that sends without end ends it.
func (c *targetConn) continueReading() bool {
	// An error means that the connection is closed, and the next read returns it. A
	// read deadline would make the check for input fail.
	_ = c.SetReadDeadline(time.Time{})
	if !c.watchdog.Expired() {
		return true
	}
	if !c.extended {
		pending, err := conn.PendingInput(c.Conn)
		if pending || err != nil {
			c.readErr = err
			c.extended = true
			c.watchdog.Reset()
			c.watchdog.Arm(c.timeout)
			return true
		}
	}
	if c.mayGiveUp == nil || c.mayGiveUp() {
		return false
	}
	c.watchdog.Reset()
	c.watchdog.Arm(c.timeout / giveUpChecksPerTimeout)
	return true
}

func (c *targetConn) discard() {
	c.watchdog.Stop()
	_ = c.Close()
}

// pool keeps idle connections by address. A connection that has been idle longer
// than maxIdleTime is closed instead of reused, since a device on the path may
// have dropped its state.
type pool struct {
	clock         clockwork.Clock
	maxIdleTime   time.Duration
	maxPerAddress int

	mu        sync.Mutex
	idle      map[string][]*targetConn
	lastSweep time.Time
	// sweepTimer closes expired connections while no other connection is put back; nil
	// until the first one is.
	sweepTimer clockwork.Timer
}

// get returns the most recently used connection to address, or nil. It closes
// connections that are too old, were closed by the target, or have received
// unexpected data.
func (p *pool) get(address string) *targetConn {
	p.mu.Lock()
	conns := p.idle[address]
	var found *targetConn
	var stale []*targetConn
	now := p.clock.Now()
	for len(conns) > 0 && found == nil {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		if now.Sub(last.idleSince) > p.maxIdleTime || !conn.IsIdle(last.Conn) {
			stale = append(stale, last)
			continue
		}
		found = last
	}
	p.setIdle(address, conns)
	p.mu.Unlock()
	for _, c := range stale {
		c.discard()
	}
	return found
}

// put stores a connection whose response was received completely.
func (p *pool) put(c *targetConn) {
	c.watchdog.Disarm()
	c.mayGiveUp = nil
	if c.watchdog.Expired() || c.reader.Buffered() > 0 || p.maxIdleTime <= 0 {
		c.discard()
		return
	}
	c.reused = true
	c.idleSince = p.clock.Now()
	p.mu.Lock()
	conns := p.idle[c.address]
	var oldest *targetConn
	if len(conns) >= p.maxPerAddress {
		oldest = conns[0]
		conns = conns[1:]
	}
	p.setIdle(c.address, append(conns, c))
	stale := p.sweep(c.idleSince)
	p.scheduleSweep()
	p.mu.Unlock()
	if oldest != nil {
		oldest.discard()
	}
	for _, c := range stale {
		c.discard()
	}
}

// sweep removes expired connections of all addresses and returns them. It runs at
// most once per maxIdleTime. The caller holds mu.
func (p *pool) sweep(now time.Time) []*targetConn {
	if now.Sub(p.lastSweep) < p.maxIdleTime {
		return nil
	}
	p.lastSweep = now
	var stale []*targetConn
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, c := range conns {
			if now.Sub(c.idleSince) > p.maxIdleTime {
				stale = append(stale, c)
				continue
			}
			kept = append(kept, c)
		}
		p.setIdle(address, kept)
	}
	return stale
}

// scheduleSweep sets the timer for the next sweep. A target may send into an idle
// connection without end, so that it must be closed even if no other one is used. The
// caller holds mu.
func (p *pool) scheduleSweep() {
	if len(p.idle) == 0 {
		return
	}
	if p.sweepTimer == nil {
		p.sweepTimer = p.clock.AfterFunc(p.maxIdleTime+time.Millisecond, p.sweepExpired)
		return
	}
	p.sweepTimer.Reset(p.maxIdleTime + time.Millisecond)
}

// sweepExpired closes the expired connections of all addresses.
func (p *pool) sweepExpired() {
	p.mu.Lock()
	stale := p.sweep(p.clock.Now())
	p.scheduleSweep()
	p.mu.Unlock()
	for _, c := range stale {
		c.discard()
	}
}

// setIdle replaces the idle connections of an address. The caller holds mu.
func (p *pool) setIdle(address string, conns []*targetConn) {
	if len(conns) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = conns
}

// closeAddress closes the idle connections to an address. It is called when one
// of them turned out to be dead, since the others may be dead too.
func (p *pool) closeAddress(address string) {
	p.mu.Lock()
	conns := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range conns {
		c.discard()
	}
}

// closeAll closes all idle connections.
func (p *pool) closeAll() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*targetConn{}
	if p.sweepTimer != nil {
		p.sweepTimer.Stop()
	}
	p.mu.Unlock()
	for _, conns := range idle {
		for _, c := range conns {
			c.discard()
		}
	}
}
