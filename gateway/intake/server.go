package intake

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Defaults of a server.
const (
	defaultReadTimeout = 10 * time.Second
	defaultBufferBytes = 4 << 10
	defaultConnections = 64
	// retryAfterSeconds is the header of a refusal for want of memory.
	retryAfterSeconds = 1
	// concurrencySlack raises the limit of the HTTP server above that of the listener, whose
	// connections that are being closed still count.
	concurrencySlack = 64
)

// ServerConfig configures a server for targets, operators or health checks.
type ServerConfig struct {
	Handler fasthttp.RequestHandler
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int
	// ReadTimeout limits the time to receive a header and then a body, and the wait for a
	// further request; 0 for 10 s.
	ReadTimeout time.Duration
	// MaxConnections is the limit of the listener; 0 for 64.
	MaxConnections int
}

// NewServer returns an HTTP server that reads bodies within the budget of its listener.
func NewServer(config ServerConfig) *fasthttp.Server {
	if config.ReadTimeout == 0 {
		config.ReadTimeout = defaultReadTimeout
	}
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultConnections
	}
	bodies := &BodyReader{}
	return &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			defer DropFields(ctx)
			if err := bodies.Read(ctx, config.MaxBodyBytes); err != nil {
				handleUnreadable(ctx, err)
				return
			}
			config.Handler(ctx)
		},
		HeaderReceived: func(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
			bodies.CheckLength(header, config.MaxBodyBytes)
			return fasthttp.RequestConfig{ReadTimeout: config.ReadTimeout, MaxRequestBodySize: config.MaxBodyBytes}
		},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			defer DropFields(ctx)
			handleUnreadable(ctx, err)
		},
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		ReadBufferSize:               defaultBufferBytes,
		MaxRequestBodySize:           config.MaxBodyBytes,
		ReadTimeout:                  config.ReadTimeout,
		IdleTimeout:                  config.ReadTimeout,
		Concurrency:                  config.MaxConnections + concurrencySlack,
		Logger:                       discardLogger{},
	}
}

// discardLogger drops the log messages of the HTTP server, which responds to the requests that
// it rejects.
type discardLogger struct{}

// Printf discards the message.
func (discardLogger) Printf(string, ...any) {}

// handleUnreadable responds to a request that could not be read.
func handleUnreadable(ctx *fasthttp.RequestCtx, err error) {
	ctx.SetConnectionClose()
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case Refused(ctx), errors.Is(err, ErrShort):
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(retryAfterSeconds))
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.As(err, &smallBuffer):
		ctx.SetStatusCode(fasthttp.StatusRequestHeaderFieldsTooLarge)
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netErr) && netErr.Timeout():
		ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
	}
	ctx.SetBodyString("the request could not be read\n")
}

// ListenerConfig configures a Listener.
type ListenerConfig struct {
	Budget *Budget
	// MaxConnections limits the open connections; 0 for 64.
	MaxConnections int
	// BufferBytes is the size of the server's buffer for reading; 0 for that of NewServer.
	BufferBytes int
}

// Listener limits the connections of a server. When all are taken, the one that has waited longest
// for a request is closed for a new one.
type Listener struct {
	net.Listener
	gate *Gate
}

// NewListener returns a listener for a server of NewServer.
func NewListener(inner net.Listener, config ListenerConfig) *Listener {
	if config.MaxConnections == 0 {
		config.MaxConnections = defaultConnections
	}
	if config.BufferBytes == 0 {
		config.BufferBytes = defaultBufferBytes
	}
	return &Listener{Listener: inner, gate: NewGate(config.Budget, config.MaxConnections, config.BufferBytes)}
}

// Accept returns the next connection within the limits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.Admit(inner); c != nil {
			return &serverConn{Conn: c, gate: l.gate}, nil
		}
		_ = inner.Close()
	}
}

// Gate limits the connections of one listener.
type Gate struct {
	budget      *Budget
	max         int
	bufferBytes int
	open        atomic.Int64
	lingerers   *lingerers
}

// NewGate returns a gate for connections, whose server has a buffer of bufferBytes for each.
func NewGate(budget *Budget, maxConnections, bufferBytes int) *Gate {
	return &Gate{budget: budget, max: maxConnections, bufferBytes: bufferBytes, lingerers: newLingerers(budget.clock, maxConnections)}
}

// Open returns the number of open connections.
func (g *Gate) Open() int { return int(g.open.Load()) }

// closingShare limits the connections above the limit that are admitted while those that were
// shed for them are being closed: 1 for closingShare of the limit, and one more.
const closingShare = 16

// Admit accounts for a connection. It returns nil if there are too many. Leave must be called
// once the connection is closed.
func (g *Gate) Admit(inner net.Conn) *Conn { return g.AdmitWithBuffer(inner, g.bufferBytes) }

// AdmitWithBuffer is Admit for a connection whose server has a buffer of bufferBytes for it.
func (g *Gate) AdmitWithBuffer(inner net.Conn, bufferBytes int) *Conn {
	open := int(g.open.Add(1))
	if open > g.max && (open > g.max+1+g.max/closingShare || !g.budget.shedWaiting(g)) {
		g.open.Add(-1)
		return nil
	}
	c, err := NewConn(inner, g.budget, g, bufferBytes)
	if err != nil {
		g.open.Add(-1)
		return nil
	}
	c.lingerers = g.lingerers
	return c
}

// Leave frees the place of a connection.
func (g *Gate) Leave() { g.open.Add(-1) }

// serverConn is a connection of a server of NewServer. The server sets a read deadline for the
// header and the body of the first request, then for the wait, the header and the body of each
// further one.
type serverConn struct {
	*Conn
	gate  *Gate
	next  Phase
	begun bool
	once  atomic.Bool
}

// Accounting implements Accounted.
func (s *serverConn) Accounting() *Conn { return s.Conn }

// SetReadDeadline begins the next phase.
func (s *serverConn) SetReadDeadline(deadline time.Time) error {
	phase := s.next
	if !s.begun {
		s.begun, phase = true, Head
	}
	s.next = (phase + 1) % Serving
	if err := s.Enter(phase); err != nil {
		return err
	}
	return s.Conn.SetReadDeadline(deadline)
}

// Close closes the connection and frees its place.
func (s *serverConn) Close() error {
	if !s.once.Swap(true) {
		s.gate.Leave()
	}
	return s.Conn.Close()
}
