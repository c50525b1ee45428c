package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Blackhole relays TCP connections to a target, and can lose the open ones
// without a sign: their bytes are swallowed in both directions while new
// connections work.
type Blackhole struct {
	listener net.Listener
	address  string

	mu       sync.Mutex
	relays   []*relay
	swallow  bool
	closed   bool
	accepted int
	running  sync.WaitGroup
}

// relay is one relayed connection.
type relay struct {
	from, to net.Conn
	lost     atomic.Bool
}

// NewBlackhole listens on a free loopback port and relays to address.
func NewBlackhole(address string) (*Blackhole, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a relay")
	}
	b := &Blackhole{listener: listener, address: address}
	b.running.Add(1)
	go b.serve()
	return b, nil
}

// Address is the IP:port of the relay.
func (b *Blackhole) Address() string { return b.listener.Addr().String() }

// DropOpenConnections makes the open connections swallow every byte from now on.
func (b *Blackhole) DropOpenConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.relays {
		r.lost.Store(true)
	}
}

// DropConnections makes open and new connections swallow every byte, or only the open
// ones.
func (b *Blackhole) DropConnections(all bool) {
	b.DropOpenConnections()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.swallow = all
}

// AcceptedCount returns the number of connections taken so far.
func (b *Blackhole) AcceptedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

// Close ends the relay and its connections.
func (b *Blackhole) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	b.closed = true
	for _, r := range b.relays {
		_ = r.from.Close()
		_ = r.to.Close()
	}
	b.mu.Unlock()
	b.running.Wait()
}

func (b *Blackhole) serve() {
	defer b.running.Done()
	for {
		from, err := b.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", b.address)
		if err != nil {
			_ = from.Close()
			continue
		}
		b.relay(from, to)
	}
}

func (b *Blackhole) relay(from, to net.Conn) {
	r := &relay{from: from, to: to}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		_ = from.Close()
		_ = to.Close()
		return
	}
	r.lost.Store(b.swallow)
	b.accepted++
	b.relays = append(b.relays, r)
	b.running.Add(2)
	go b.copy(r, to, from)
	go b.copy(r, from, to)
}

// copy relays one direction; a lost connection's bytes and end are swallowed.
func (b *Blackhole) copy(r *relay, dst, src net.Conn) {
	defer b.running.Done()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if r.lost.Load() {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				err = io.EOF
			}
		}
		if err != nil {
			_ = src.Close()
			_ = dst.Close()
			return
		}
	}
}
