package web

import (
	"bufio"
	"net"
	"sync"
	"time"

	"comfreytiller.dev/target/conn"
	"github.com/jonboulle/clockwork"
)

// link is a connection to a target with its buffers.
type link struct {
	net.Conn
	address string
	reader  *bufio.Reader
	writer  *bufio.Writer
	guard   *conn.Watchdog
	reused  bool
	idleAt  time.Time
}

// The sizes of a link's buffers, in bytes.
const (
	readBuffer  = 8 << 10
	writeBuffer = 4 << 10
)

func newLink(clock clockwork.Clock, c net.Conn, address string) *link {
	return &link{
		Conn: c, address: address,
		reader: bufio.NewReaderSize(c, readBuffer),
		writer: bufio.NewWriterSize(c, writeBuffer),
		guard:  conn.NewWatchdog(clock, c),
	}
}

func (l *link) discard() {
	l.guard.Stop()
	_ = l.Close()
}

// pool keeps idle connections by address. A connection that has been idle
// longer than maxIdle is closed rather than used: something between the two
// ends may have lost track of it.
type pool struct {
	clock   clockwork.Clock
	maxIdle time.Duration
	perAddr int

	mu    sync.Mutex
	idle  map[string][]*link
	swept time.Time
}

// take returns the connection used last, or nil.
func (p *pool) take(address string) *link {
	p.mu.Lock()
	links := p.idle[address]
	var found *link
	var stale []*link
	now := p.clock.Now()
	for len(links) > 0 && found == nil {
		last := links[len(links)-1]
		links = links[:len(links)-1]
		if now.Sub(last.idleAt) > p.maxIdle || !conn.IsIdle(last.Conn) {
			stale = append(stale, last)
			continue
		}
		found = last
	}
	p.store(address, links)
	p.mu.Unlock()
	for _, l := range stale {
		l.discard()
	}
	return found
}

// put keeps a connection whose answer was whole.
func (p *pool) put(l *link) {
	l.guard.Disarm()
	if l.guard.Expired() || l.reader.Buffered() > 0 || p.maxIdle <= 0 {
		l.discard()
		return
	}
	l.reused = true
	l.idleAt = p.clock.Now()
	p.mu.Lock()
	links := p.idle[l.address]
	var oldest *link
	if len(links) >= p.perAddr {
		oldest = links[0]
		links = links[1:]
	}
	p.store(l.address, append(links, l))
	stale := p.sweep(l.idleAt)
	p.mu.Unlock()
	if oldest != nil {
		oldest.discard()
	}
	for _, l := range stale {
		l.discard()
	}
}

// sweep removes connections that no call will use any more, at most once in
// maxIdle.
func (p *pool) sweep(now time.Time) []*link {
	if now.Sub(p.swept) < p.maxIdle {
		return nil
	}
	p.swept = now
	var stale []*link
	for address, links := range p.idle {
		kept := links[:0]
		for _, l := range links {
			if now.Sub(l.idleAt) > p.maxIdle {
				stale = append(stale, l)
				continue
			}
			kept = append(kept, l)
		}
		p.store(address, kept)
	}
	return stale
}

func (p *pool) store(address string, links []*link) {
	if len(links) == 0 {
		delete(p.idle, address)
		return
	}
	p.idle[address] = links
}

// drop closes the idle connections to an address: one of them was found dead,
// so the others may be too.
func (p *pool) drop(address string) {
	p.mu.Lock()
	links := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, l := range links {
		l.discard()
	}
}

// close closes every idle connection.
func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = map[string][]*link{}
	p.mu.Unlock()
	for _, links := range idle {
		for _, l := range links {
			l.discard()
		}
	}
}
