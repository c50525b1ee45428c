// Package sniff splits one listener between two protocols by the first bytes
// of each connection.
//
// # Usage
//
//	splitter := sniff.NewSplitter(listener, "CTP1", clock)
//	go http.Serve(splitter.Rest())
//	err := splitter.Serve(func(conn net.Conn) { ... })
package sniff

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// firstBytesTimeout bounds the wait for a connection's first bytes.
const firstBytesTimeout = 5 * time.Second

// Splitter accepts connections and sorts them.
type Splitter struct {
	listener net.Listener
	prefix   string
	clock    clockwork.Clock
	rest     *queue
}

// NewSplitter returns a splitter that recognizes connections that start with prefix.
func NewSplitter(listener net.Listener, prefix string, clock clockwork.Clock) *Splitter {
	return &Splitter{
		listener: listener,
		prefix:   prefix,
		clock:    clock,
		rest: &queue{
			address: listener.Addr(),
			conns:   make(chan net.Conn),
			closed:  make(chan struct{}),
		},
	}
}

// Unmatched returns a listener of the connections without the prefix.
func (s *Splitter) Unmatched() net.Listener { return s.rest }

// Serve accepts connections until the listener is closed. It calls match on a
// goroutine of its own for each connection with the prefix, which is still to
// be read from the connection.
func (s *Splitter) Serve(match func(net.Conn)) error {
	defer func() { _ = s.rest.Close() }()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return err
		}
		go s.sort(conn, match)
	}
}

func (s *Splitter) sort(conn net.Conn, match func(net.Conn)) {
	first := make([]byte, len(s.prefix))
	// Deadlines fail only on a closed connection, on which the next read fails too.
	_ = conn.SetReadDeadline(s.clock.Now().Add(firstBytesTimeout))
	n, err := io.ReadFull(conn, first)
	if err != nil {
		// The peer left before it said which protocol it speaks; there is nobody to tell.
		_ = conn.Close()
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	replayed := &replay{Conn: conn, first: first[:n]}
	if string(first) == s.prefix {
		match(replayed)
		return
	}
	s.rest.put(replayed)
}

// replay gives the first bytes again.
type replay struct {
	net.Conn
	first []byte
}

// Read reads the bytes already taken first.
func (r *replay) Read(p []byte) (int, error) {
	if len(r.first) == 0 {
		return r.Conn.Read(p)
	}
	n := copy(p, r.first)
	r.first = r.first[n:]
	return n, nil
}

// queue is a listener fed by a splitter.
type queue struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (q *queue) put(conn net.Conn) {
	select {
	case q.conns <- conn:
	case <-q.closed:
		// The listener is gone, and so is whoever could handle an error.
		_ = conn.Close()
	}
}

// Accept returns the next connection.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case conn := <-q.conns:
		return conn, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr returns the shared listener's address.
func (q *queue) Addr() net.Addr { return q.address }
