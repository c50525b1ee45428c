package web

import (
	"context"
	"net"
	"strconv"
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
}

// ClientOption changes a client.
type ClientOption func(*Client)

// WithMaxIdle sets how long an unused connection may be kept; 0 keeps none.
func WithMaxIdle(d time.Duration) ClientOption {
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

// NewClient returns a client whose budgets are measured by clock.
func NewClient(clock clockwork.Clock, options ...ClientOption) *Client {
	c := &Client{
		clock:       clock,
		pool:        &pool{clock: clock, maxIdle: defaultMaxIdle, perAddr: defaultIdlePerAddr, idle: map[string][]*link{}},
		dialTimeout: defaultDialTimeout,
		orderBudget: defaultOrderTimeout,
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
	defer fasthttp.ReleaseRequest(request)
	fillCall(request, call)
	answer, err := c.exchange(ctx, l, request, call)
	if err != nil {
		if l.reused && ctx.Err() == nil {
			c.pool.drop(call.Address)
		}
		return nil, &target.SendError{Sent: true, Reused: l.reused, Err: err}
	}
	return answer, nil
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

// exchange writes the request and reads the answer's header.
func (c *Client) exchange(ctx context.Context, l *link, request *fasthttp.Request, call target.Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	answer := &Answer{client: c, link: l, call: call, stop: stop, ctx: ctx, next: call.Offset}
	l.guard.Arm(call.FirstByte)
	if err := answer.begin(request); err != nil {
		answer.Close()
		return nil, err
	}
	return answer, nil
}

func fillCall(request *fasthttp.Request, call target.Call) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + call.Address + PathServices + call.Service + "/" + call.Name)
	request.Header.Set(HeaderRequest, call.RequestID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	setOptional(request, HeaderWorkspace, call.Workspace)
	setOptional(request, HeaderChat, call.Chat)
	setOptional(request, HeaderKey, call.Key)
	if call.Priority != 0 {
		request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	request.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	if call.Offset > 0 {
		request.Header.Set(HeaderOffset, strconv.Itoa(call.Offset))
	}
	if call.Stream {
		request.Header.Set(fasthttp.HeaderAccept, contentStream)
	}
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.SetBodyRaw(call.Body)
}

func setOptional(request *fasthttp.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

// clockworkTimeout is context.WithTimeout by the client's clock.
func clockworkTimeout(ctx context.Context, clock clockwork.Clock, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	return clockwork.WithTimeout(ctx, clock, d)
}
