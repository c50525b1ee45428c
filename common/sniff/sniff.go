// Package sniff serves two protocols on one listener and distinguishes them by the
// first bytes of each connection.
//
// # Usage
//
//	splitter := sniff.NewSplitter(listener, "CTP1", clock)
//	go server.Serve(splitter.Unmatched())
//	err := splitter.Serve(func(conn net.Conn) { ... })
package sniff

import (
	"container/list"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// firstBytesTimeout is the time limit for receiving the first bytes of a connection.
const firstBytesTimeout = 5 * time.Second

// Splitter accepts connections and dispatches them by protocol.
type Splitter struct {
	listener  net.Listener
	prefix    string
	clock     clockwork.Clock
	unmatched *connListener
	unknown   unknownConns
}

// Option configures a Splitter.
type Option func(*Splitter)

// WithMaxUnknown limits the connections whose first bytes have not arrived. The oldest of them is
// closed for a new one. By default there is no limit.
func WithMaxUnknown(n int) Option { return func(s *Splitter) { s.unknown.max = n } }

// unknownConns are the connections whose first bytes have not arrived, the oldest first.
type unknownConns struct {
	max   int
	mu    sync.Mutex
	conns list.List
}

// add adds a connection and returns a function that removes it.
func (u *unknownConns) add(conn net.Conn) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.max > 0 && u.conns.Len() >= u.max {
		oldest, _ := u.conns.Remove(u.conns.Front()).(net.Conn)
		// Its reader notices.
		_ = oldest.Close()
	}
	element := u.conns.PushBack(conn)
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.conns.Remove(element)
	}
}

// NewSplitter returns a splitter that matches connections whose first bytes equal
// prefix.
func NewSplitter(listener net.Listener, prefix string, clock clockwork.Clock, options ...Option) *Splitter {
	s := &Splitter{
		listener: listener,
		prefix:   prefix,
		clock:    clock,
		unmatched: &connListener{
			address: listener.Addr(),
			conns:   make(chan net.Conn),
			closed:  make(chan struct{}),
		},
	}
	for _, option := range options {
		option(s)
	}
	return s
}

// Unmatched returns a listener for the connections that don't match the prefix.
func (s *Splitter) Unmatched() net.Listener { return s.unmatched }

// Serve accepts connections until the listener fails or is closed, and returns its
// error. It calls handle in a new goroutine for each connection that matches the
// prefix. Reads from that connection return the prefix first.
func (s *Splitter) Serve(handle func(net.Conn)) error {
	defer func() { _ = s.unmatched.Close() }()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		remove := s.unknown.add(conn)
		go s.dispatch(conn, handle, remove)
	}
}

// dispatch reads the first bytes of a connection. It then calls handle if they equal
// the prefix, and passes the connection to the unmatched listener otherwise.
func (s *Splitter) dispatch(conn net.Conn, handle func(net.Conn), remove func()) {
	first := make([]byte, len(s.prefix))
	// Setting a deadline fails only on a closed connection; the read below reports it.
	_ = conn.SetReadDeadline(s.clock.Now().Add(firstBytesTimeout))
	n, err := io.ReadFull(conn, first)
	remove()
	if err != nil {
		// The peer disconnected or timed out before the protocol was known, so no
		// handler can report the error.
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	replayed := &replayConn{Conn: conn, first: first[:n]}
	if string(first) == s.prefix {
		handle(replayed)
		return
	}
	s.unmatched.deliver(replayed)
}

// replayConn is a connection whose first bytes were already read. Read returns them
// again.
type replayConn struct {
	net.Conn
	first []byte
}

// Read returns the first bytes and then reads from the connection.
func (r *replayConn) Read(p []byte) (int, error) {
	if len(r.first) == 0 {
		return r.Conn.Read(p)
	}
	n := copy(p, r.first)
	r.first = r.first[n:]
	return n, nil
}

// CloseWrite closes the connection for writing.
func (r *replayConn) CloseWrite() error {
	half, ok := r.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.EINVAL
	}
	return half.CloseWrite()
}

// SyscallConn returns the descriptor of the connection.
func (r *replayConn) SyscallConn() (syscall.RawConn, error) {
	systemConn, ok := r.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return systemConn.SyscallConn()
}

// connListener is a listener for connections that a splitter has accepted.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// deliver passes a connection to Accept, or closes it if the listener is closed.
func (l *connListener) deliver(conn net.Conn) {
	select {
	case l.conns <- conn:
	case <-l.closed:
		// The listener is closed, so no handler can report the error.
		_ = conn.Close()
	}
}

// Accept returns the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address of the underlying listener.
func (l *connListener) Addr() net.Addr { return l.address }
