package web

import (
	"context"
	"net"
	"time"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Default values of the client options.
const (
	defaultDialTimeout            = 2 * time.Second
	defaultMaxIdleTime            = 2 * time.Second
	defaultMaxIdleConnsPerAddress = 64
	defaultOrderTimeout           = 30 * time.Second
)

// Client sends calls and orders to targets. It keeps idle connections only for a
// short time, since the network may drop an idle connection without notice.
type Client struct {
	clock        clockwork.Clock
	pool         *pool
	dialer       target.Dialer
	dialTimeout  time.Duration
	orderTimeout time.Duration
	dialect      Dialect
}

// ClientOption configures a Client.
type ClientOption func(*Client)

// WithMaxIdleTime sets how long an idle connection is kept; 0 disables reuse.
func WithMaxIdleTime(d time.Duration) ClientOption {
	return func(c *Client) { c.pool.maxIdleTime = d }
}

// WithDialTimeout limits the time to open a connection; 0 sets no limit.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.dialTimeout = d }
}

// WithDialer sets the dialer of connections to targets; nil keeps the default, which connects
// directly.
func WithDialer(dialer target.Dialer) ClientOption {
	return func(c *Client) {
		if dialer != nil {
			c.dialer = dialer
		}
	}
}

// WithOrderTimeout limits the time of an order, a cancellation, and a cache
// export or import; 0 sets no limit.
func WithOrderTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.orderTimeout = d }
}

// WithDialect sets the encoding of calls and responses.
func WithDialect(dialect Dialect) ClientOption {
	return func(c *Client) { c.dialect = dialect }
}

// WithMaxIdleConnsPerAddress limits the idle connections kept to each target.
func WithMaxIdleConnsPerAddress(n int) ClientOption {
	return func(c *Client) { c.pool.maxPerAddress = n }
}

// NewClient returns a client that measures its timeouts with clock.
func NewClient(clock clockwork.Clock, options ...ClientOption) *Client {
	c := &Client{
		clock:        clock,
		pool:         &pool{clock: clock, maxIdleTime: defaultMaxIdleTime, maxPerAddress: defaultMaxIdleConnsPerAddress, idle: map[string][]*targetConn{}},
		dialer:       &net.Dialer{},
		dialTimeout:  defaultDialTimeout,
		orderTimeout: defaultOrderTimeout,
		dialect:      nativeDialect{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes all idle connections.
func (c *Client) Close() { c.pool.closeAll() }

// Send sends a call and returns when the response header has been received.
// Canceling ctx closes the connection, even while the response is being read.
// The error is a *target.SendError.
func (c *Client) Send(ctx context.Context, call target.Call) (target.Response, error) {
	conn, err := c.acquireConn(ctx, call.Address, call.RequireNewConnection)
	if err != nil {
		return nil, &target.SendError{Err: err}
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			c.putUnused(conn)
			return nil, &target.SendError{Err: errors.Join(target.ErrNotSent, err)}
		}
	}
	request := fasthttp.AcquireRequest()
	c.dialect.WriteRequest(request, &call)
	response, err := c.roundTrip(ctx, conn, request, call, c.dialect)
	if err != nil {
		if conn.reused && ctx.Err() == nil {
			c.pool.closeAddress(call.Address)
		}
		return nil, &target.SendError{Sent: true, ConnectionReused: conn.reused, Header: response.header, Err: err}
	}
	return response, nil
}

// Probe checks that a connection to a target can be opened, and keeps the
// connection for a call.
func (c *Client) Probe(ctx context.Context, address string) error {
	conn, err := c.acquireConn(ctx, address, true)
	if err != nil {
		return err
	}
	c.putUnused(conn)
	return nil
}

// acquireConn returns an idle connection, or opens one if there is none or if
// newConnection is set.
func (c *Client) acquireConn(ctx context.Context, address string, newConnection bool) (*targetConn, error) {
	if !newConnection {
		if conn := c.pool.get(address); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := contextWithTimeout(ctx, c.clock, c.dialTimeout)
	defer cancel()
	opened, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(target.ErrUnreachable, "dial %s: %v", address, err)
	}
	return newTargetConn(c.clock, opened, address), nil
}

// putUnused returns a connection on which nothing was sent to the pool. It does not
// change whether the connection counts as reused.
func (c *Client) putUnused(conn *targetConn) {
	reused := conn.reused
	c.pool.put(conn)
	conn.reused = reused
}

// roundTrip writes the request, which it releases, and reads the response header. The
// returned response is closed if there is an error.
func (c *Client) roundTrip(ctx context.Context, conn *targetConn, request *fasthttp.Request, call target.Call, dialect Dialect) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	call.ConnectionReused = conn.reused
	response := &Response{client: c, conn: conn, call: call, stopCancelWatch: stop, ctx: ctx, dialect: dialect}
	conn.mayGiveUp = call.MayGiveUp
	conn.arm(call.FirstByteTimeout)
	if err := response.start(request); err != nil {
		response.Close()
		return response, err
	}
	return response, nil
}

// contextWithTimeout is like context.WithTimeout but uses the given clock. A d of
// 0 sets no timeout.
func contextWithTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	return clockwork.WithTimeout(ctx, clock, d)
}
