package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// Config is what a Node needs.
type Config struct {
	// Host is this host's name.
	Host string
	// Key is the key that all hosts share.
	Key   []byte
	Clock clockwork.Clock
	// WrapConn sees each new connection, for counting bytes; nil for none.
	WrapConn func(net.Conn) net.Conn
}

// Node is one host's end of all its connections.
type Node struct {
	config  Config
	handler Handler

	// tryDial opens a connection within the time.
	tryDial func(address string, timeout time.Duration) (net.Conn, error)

	mu     sync.Mutex
	dialed map[string]*dialing
	open   map[*Conn]struct{}
	closed bool
}

// dialing is a connection that is open or being opened.
type dialing struct {
	ready chan struct{}
	conn  *Conn
	err   error
}

// NewNode returns a node that gives incoming messages to handler.
func NewNode(config Config, handler Handler) *Node {
	if config.WrapConn == nil {
		config.WrapConn = func(conn net.Conn) net.Conn { return conn }
	}
	return &Node{
		config:  config,
		handler: handler,
		tryDial: func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		},
		dialed: map[string]*dialing{},
		open:   map[*Conn]struct{}{},
	}
}

// ServeConn serves one accepted connection until it ends.
func (n *Node) ServeConn(conn net.Conn) error {
	conn = n.config.WrapConn(conn)
	_ = conn.SetDeadline(n.config.Clock.Now().Add(dialTimeout))
	host, err := welcome(conn, n.config.Key)
	if err != nil {
		_ = conn.Close()
		return errors.Wrap(err, "accept peer")
	}
	_ = conn.SetDeadline(noDeadline)
	c := newConn(host, conn, n.config.Clock, n.handler)
	if !n.track(c) {
		_ = conn.Close()
		return ErrClosed
	}
	defer n.untrack(c)
	c.run()
	return nil
}

// Call sends a message to the host at address and waits for its answer.
func (n *Node) Call(ctx context.Context, address string, message Message) (Message, error) {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	answer, err := conn.call(ctx, message)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", address)
	}
	return answer, nil
}

// Send queues a message to the host at address. It dials in the background
// where no connection is open; a message may be lost.
func (n *Node) Send(address string, message Message) {
	if conn := n.current(address); conn != nil {
		_ = conn.send(message)
		return
	}
	go func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), n.config.Clock, dialTimeout)
		defer cancel()
		conn, err := n.connect(ctx, address)
		if err == nil {
			_ = conn.send(message)
		}
	}()
}

// Close ends all connections.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	open := make([]*Conn, 0, len(n.open))
	for conn := range n.open {
		open = append(open, conn)
	}
	n.mu.Unlock()
	for _, conn := range open {
		conn.close()
	}
}

func (n *Node) track(c *Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.open[c] = struct{}{}
	return true
}

func (n *Node) untrack(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}

func (n *Node) current(address string) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.dialed[address]
	if !ok {
		return nil
	}
	select {
	case <-d.ready:
		return d.conn
	default:
		return nil
	}
}

// connect returns the open connection to address, or opens one.
func (n *Node) connect(ctx context.Context, address string) (*Conn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	d, ok := n.dialed[address]
	if !ok {
		d = &dialing{ready: make(chan struct{})}
		n.dialed[address] = d
		go n.dial(address, d)
	}
	n.mu.Unlock()
	select {
	case <-d.ready:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "connect to %s", address)
	}
}

func (n *Node) dial(address string, d *dialing) {
	conn, err := n.dialConn(address)
	if err == nil && !n.track(conn) {
		_ = conn.net.Close()
		err = ErrClosed
	}
	if err != nil {
		d.err = errors.Wrapf(err, "connect to %s", address)
		n.drop(address, d)
		close(d.ready)
		return
	}
	d.conn = conn
	close(d.ready)
	conn.run()
	n.untrack(conn)
	n.drop(address, d)
}

func (n *Node) drop(address string, d *dialing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dialed[address] == d {
		delete(n.dialed, address)
	}
}

func (n *Node) dialConn(address string) (*Conn, error) {
	raw, err := n.dialAgain(address)
	if err != nil {
		return nil, err
	}
	conn := n.config.WrapConn(raw)
	_ = conn.SetDeadline(n.config.Clock.Now().Add(dialTimeout))
	if err := greet(conn, n.config.Key, n.config.Host); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(noDeadline)
	return newConn(address, conn, n.config.Clock, n.handler), nil
}

// dialAgain opens a connection, with a new try where one takes longer than usual:
// the kernel repeats a lost first packet only after a second, and a host that was
// dark for a moment, as after a loss of power, is back long before that.
func (n *Node) dialAgain(address string) (net.Conn, error) {
	left := dialTimeout
	for try := firstDial; ; try *= 2 {
		if try >= left {
			return n.tryDial(address, left)
		}
		conn, err := n.tryDial(address, try)
		var slow net.Error
		if err == nil || !errors.As(err, &slow) || !slow.Timeout() {
			return conn, err
		}
		left -= try
	}
}
