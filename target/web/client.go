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

// The defaults of a client.
const (
	defaultDialTimeout  = 2 * time.Second
	defaultMaxIdle      = 2 * time.Second
	defaultIdlePerAddr  = 64
	defaultOrderTimeout = 30 * time.Second
)

// Client sends calls and orders to targets. It keeps connections for a short
// time only: an idle one may have been lost on the way without a sign.
type Client struct {
	clock       clockwork.Clock
	pool        *pool
	dialer      net.Dialer
	dialTimeout time.Duration
	orderBudget time.Duration
	dialect     Dialect
}

// ClientOption changes a client.
type ClientOption func(*Client)

// WithMaxIdleTime sets how long an unused connection may be kept; 0 keeps none.
func WithMaxIdleTime(d time.Duration) ClientOption {
	return func(c *Client) { c.pool.maxIdle = d }
}

// WithDialTimeout bounds the opening of a connection.
func WithDialTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.dialTimeout = d }
}

// WithOrderTimeout bounds an order, an export or an import.
func WithOrderTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.orderBudget = d }
}

// WithDialect sets how calls and answers look on the wire.
func WithDialect(dialect Dialect) ClientOption {
	return func(c *Client) { c.dialect = dialect }
}

// WithMaxIdleConnsPerAddress bounds the unused connections kept to one target.
func WithMaxIdleConnsPerAddress(n int) ClientOption {
	return func(c *Client) { c.pool.perAddr = n }
}

// NewClient returns a client whose budgets are measured by clock.
func NewClient(clock clockwork.Clock, options ...ClientOption) *Client {
	c := &Client{
		clock:       clock,
		pool:        &pool{clock: clock, maxIdle: defaultMaxIdle, perAddr: defaultIdlePerAddr, idle: map[string][]*link{}},
		dialTimeout: defaultDialTimeout,
		orderBudget: defaultOrderTimeout,
		dialect:     native{},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// Send sends a call and returns when its answer begins. Cancelling ctx closes
// the connection, also while the answer is read. The error is a
// *target.SendError.
func (c *Client) Send(ctx context.Context, call target.Call) (target.Answer, error) {
	l, err := c.link(ctx, call.Address, call.Fresh)
	if err != nil {
		return nil, &target.SendError{Err: err}
	}
	if call.BeforeSend != nil {
		if err := call.BeforeSend(); err != nil {
			c.unused(l)
			return nil, &target.SendError{Err: errors.Join(target.ErrNotSent, err)}
		}
	}
	request := fasthttp.AcquireRequest()
	c.dialect.WriteRequest(request, &call)
	answer, err := c.exchange(ctx, l, request, call, c.dialect)
	if err != nil {
		if l.reused && ctx.Err() == nil {
			c.pool.drop(call.Address)
		}
		return nil, &target.SendError{Sent: true, Reused: l.reused, Err: err}
	}
	return answer, nil
}

// Reaches opens a connection to a target and keeps it for a call.
func (c *Client) Reaches(ctx context.Context, address string) error {
	l, err := c.link(ctx, address, true)
	if err != nil {
		return err
	}
	c.unused(l)
	return nil
}

// link returns an idle connection or opens one.
func (c *Client) link(ctx context.Context, address string, fresh bool) (*link, error) {
	if !fresh {
		if l := c.pool.take(address); l != nil {
			return l, nil
		}
	}
	ctx, cancel := clockworkTimeout(ctx, c.clock, c.dialTimeout)
	defer cancel()
	opened, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(target.ErrUnreachable, "dial %s: %v", address, err)
	}
	return newLink(c.clock, opened, address), nil
}

// unused puts back a connection on which nothing was sent.
func (c *Client) unused(l *link) {
	reused := l.reused
	c.pool.put(l)
	l.reused = reused
}

// exchange writes the request, which it releases, and reads the answer's header.
func (c *Client) exchange(ctx context.Context, l *link, request *fasthttp.Request, call target.Call, dialect Dialect) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	answer := &Response{client: c, link: l, call: call, stop: stop, ctx: ctx, dialect: dialect}
	l.guard.Arm(call.FirstByte)
	if err := answer.begin(request); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

// clockworkTimeout is context.WithTimeout by the client's clock.
func clockworkTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	return clockwork.WithTimeout(ctx, clock, d)
}
