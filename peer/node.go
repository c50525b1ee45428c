package peer

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// Config configures a Node.
type Config struct {
	// Host is this host's name.
	Host string
	// Key is the authentication key shared by all hosts.
	Key   []byte
	Clock clockwork.Clock
	// BulkRate limits the large messages that may wait for others, over all connections, in
	// bytes per second; 0 for no limit.
	BulkRate float64
	// WrapConn wraps each new connection, for example to count bytes; nil wraps
	// none.
	WrapConn func(net.Conn) net.Conn
	// Relay opens connections for other hosts; nil rejects them. MaxRelayed limits their number at a
	// time.
	Relay      RelayDialer
	MaxRelayed int
	// OnDropped is called for a message to the host that can't be encoded; nil for none.
	OnDropped func(host string, message Message, err error)
}

// Node manages all peer connections of a host, dialed and accepted.
type Node struct {
	config  Config
	handler Handler
	traffic *traffic
	// pacer limits the rate of bulk frames; nil if there is no limit.
	pacer *pacer

	// dialTCP opens a TCP connection within timeout.
	dialTCP func(address string, timeout time.Duration) (net.Conn, error)

	mu        sync.Mutex
	dials     map[string]*dialResult
	openConns map[*Conn]struct{}
	// relayed are the connections of other hosts that are being relayed.
	relayed map[net.Conn]struct{}
	closed  bool
}

// dialResult is a dialed connection that is open or being established. conn and
// err are valid once ready is closed.
type dialResult struct {
	ready chan struct{}
	conn  *Conn
	err   error
}

// NewNode returns a node that passes incoming messages to handler.
func NewNode(config Config, handler Handler) *Node {
	if config.WrapConn == nil {
		config.WrapConn = func(conn net.Conn) net.Conn { return conn }
	}
	if config.OnDropped == nil {
		config.OnDropped = func(string, Message, error) {}
	}
	var bulk *pacer
	if config.BulkRate > 0 {
		bulk = &pacer{bytesPerSecond: config.BulkRate, clock: config.Clock}
	}
	return &Node{
		config:  config,
		handler: handler,
		traffic: newTraffic(),
		pacer:   bulk,
		dialTCP: func(address string, timeout time.Duration) (net.Conn, error) {
			return net.DialTimeout("tcp", address, timeout)
		},
		dials:     map[string]*dialResult{},
		openConns: map[*Conn]struct{}{},
		relayed:   map[net.Conn]struct{}{},
	}
}

// ServeConn serves one accepted connection until it is closed.
func (n *Node) ServeConn(conn net.Conn) error {
	conn = n.config.WrapConn(conn)
	_ = conn.SetDeadline(n.config.Clock.Now().Add(dialTimeout))
	host, magic, err := serverHandshake(conn, n.config.Key)
	if err != nil {
		_ = conn.Close()
		return errors.Wrap(err, "authenticate accepted peer connection")
	}
	if magic == relayMagic {
		if err := n.serveRelay(conn); err != nil {
			return errors.Wrapf(err, "relay for %s", host)
		}
		return nil
	}
	_ = conn.SetDeadline(noDeadline)
	c := n.newConn(host, conn)
	if !n.track(c) {
		_ = conn.Close()
		return ErrClosed
	}
	defer n.untrack(c)
	c.run()
	return nil
}

// Call sends a message to the host at address and waits for the reply.
func (n *Node) Call(ctx context.Context, address string, message Message) (Message, error) {
	conn, err := n.connect(ctx, address)
	if err != nil {
		return nil, err
	}
	reply, err := conn.call(ctx, message)
	if err != nil {
		return nil, errors.Wrapf(err, "call %s", address)
	}
	return reply, nil
}

// BulkWaiting returns the number of connections with a message that waits because of
// Config.BulkRate.
func (n *Node) BulkWaiting() int {
	if n.pacer == nil {
		return 0
	}
	return int(n.pacer.waiting.Load())
}

// TakeBulkWaits returns the longest waits of bulk messages because of Config.BulkRate, or behind
// others on their connection, since the last call.
func (n *Node) TakeBulkWaits() BulkWaits {
	if n.pacer == nil {
		return BulkWaits{}
	}
	return n.pacer.waits.take()
}

// RecordSent records bytes that the process sends in other ways over the link that Config.BulkRate
// is a part of. Bulk frames yield to them.
func (n *Node) RecordSent(bytes int) {
	if n.pacer != nil {
		n.pacer.recordUrgent(bytes)
	}
}

// LastReceived returns when data last arrived from address on the connection that this node
// dialed; zero if there is none.
func (n *Node) LastReceived(address string) time.Time {
	conn := n.dialedConn(address)
	if conn == nil {
		return time.Time{}
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.lastReceived
}

// Send queues a message to the host at address and returns without waiting. If
// no connection is open, it dials in the background. Messages may be lost.
func (n *Node) Send(address string, message Message) {
	if conn := n.dialedConn(address); conn != nil {
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

// Close closes all connections and prevents new ones.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	open := make([]*Conn, 0, len(n.openConns))
	for conn := range n.openConns {
		open = append(open, conn)
	}
	relayed := slices.Collect(maps.Keys(n.relayed))
	n.mu.Unlock()
	for _, conn := range open {
		conn.close()
	}
	for _, conn := range relayed {
		_ = conn.Close()
	}
}

// track registers an open connection; it reports false if the node is closed.
func (n *Node) track(c *Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.openConns[c] = struct{}{}
	return true
}

func (n *Node) untrack(c *Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.openConns, c)
}

// dialedConn returns the open connection to address, or nil.
func (n *Node) dialedConn(address string) *Conn {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.dials[address]
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

// connect returns the connection to address and dials if there is none.
func (n *Node) connect(ctx context.Context, address string) (*Conn, error) {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil, ErrClosed
	}
	d, ok := n.dials[address]
	if !ok {
		d = &dialResult{ready: make(chan struct{})}
		n.dials[address] = d
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

// dial establishes a connection, publishes it in d and serves it until it is
// closed.
func (n *Node) dial(address string, d *dialResult) {
	conn, err := n.dialAndAuthenticate(address)
	if err == nil && !n.track(conn) {
		_ = conn.netConn.Close()
		err = ErrClosed
	}
	if err != nil {
		d.err = errors.Wrapf(err, "connect to %s", address)
		n.removeDial(address, d)
		close(d.ready)
		return
	}
	d.conn = conn
	close(d.ready)
	conn.run()
	n.untrack(conn)
	n.removeDial(address, d)
}

func (n *Node) removeDial(address string, d *dialResult) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dials[address] == d {
		delete(n.dials, address)
	}
}

func (n *Node) dialAndAuthenticate(address string) (*Conn, error) {
	raw, err := n.dialWithRetry(address)
	if err != nil {
		return nil, err
	}
	conn := n.config.WrapConn(raw)
	_ = conn.SetDeadline(n.config.Clock.Now().Add(dialTimeout))
	if err := dialerHandshake(conn, Magic, n.config.Key, n.config.Host); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(noDeadline)
	return n.newConn(address, conn), nil
}

func (n *Node) newConn(host string, conn net.Conn) *Conn {
	c := newConn(host, conn, n.config.Clock, n.handler, n.traffic, n.pacer)
	c.onDropped = n.config.OnDropped
	return c
}

// dialWithRetry opens a connection and starts a new attempt when one exceeds its
// timeout. The kernel retransmits a lost SYN only after a second, but a host that
// was briefly unreachable, for example after a power loss, is back well before.
func (n *Node) dialWithRetry(address string) (net.Conn, error) {
	remaining := dialTimeout
	for timeout := initialDialTimeout; ; timeout *= 2 {
		if timeout >= remaining {
			return n.dialTCP(address, remaining)
		}
		conn, err := n.dialTCP(address, timeout)
		var netErr net.Error
		if err == nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			return conn, err
		}
		remaining -= timeout
	}
}
