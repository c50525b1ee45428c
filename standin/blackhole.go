package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// Blackhole is a TCP relay to a target that simulates connections dropped by the
// network without notice: the data of affected connections is discarded in both
// directions, while their sockets stay open.
type Blackhole struct {
	listener net.Listener
	address  string

	mu       sync.Mutex
	relays   []*relayedConn
	dropNew  bool
	closed   bool
	accepted int
	wg       sync.WaitGroup
}

// relayedConn is one relayed connection.
type relayedConn struct {
	clientConn, targetConn net.Conn
	dropping               atomic.Bool
}

// NewBlackhole listens on a free loopback port and relays to address.
func NewBlackhole(address string) (*Blackhole, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for relay connections")
	}
	b := &Blackhole{listener: listener, address: address}
	b.wg.Add(1)
	go b.acceptLoop()
	return b, nil
}

// Address returns the IP:port of the relay.
func (b *Blackhole) Address() string { return b.listener.Addr().String() }

// DropOpenConnections discards all further data of the open connections. New
// connections work.
func (b *Blackhole) DropOpenConnections() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.relays {
		r.dropping.Store(true)
	}
}

// DropConnections discards all further data of the open connections, and of new
// ones if includeNew is set.
func (b *Blackhole) DropConnections(includeNew bool) {
	b.DropOpenConnections()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropNew = includeNew
}

// AcceptedCount returns the number of connections relayed so far.
func (b *Blackhole) AcceptedCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

// Close closes the relay and its connections.
func (b *Blackhole) Close() {
	_ = b.listener.Close()
	b.mu.Lock()
	b.closed = true
	for _, r := range b.relays {
		_ = r.clientConn.Close()
		_ = r.targetConn.Close()
	}
	b.mu.Unlock()
	b.wg.Wait()
}

func (b *Blackhole) acceptLoop() {
	defer b.wg.Done()
	for {
		clientConn, err := b.listener.Accept()
		if err != nil {
			return
		}
		targetConn, err := net.Dial("tcp", b.address)
		if err != nil {
			_ = clientConn.Close()
			continue
		}
		b.startRelay(clientConn, targetConn)
	}
}

func (b *Blackhole) startRelay(clientConn, targetConn net.Conn) {
	r := &relayedConn{clientConn: clientConn, targetConn: targetConn}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		_ = clientConn.Close()
		_ = targetConn.Close()
		return
	}
	r.dropping.Store(b.dropNew)
	b.accepted++
	b.relays = append(b.relays, r)
	b.wg.Add(2)
	go b.copy(r, targetConn, clientConn)
	go b.copy(r, clientConn, targetConn)
}

// copy relays one direction of a connection. Once the connection is dropped, it
// discards the data and does not forward the end of the connection.
func (b *Blackhole) copy(r *relayedConn, dst, src net.Conn) {
	defer b.wg.Done()
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if r.dropping.Load() {
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
