package standin

import (
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"comfreytiller.dev/target/web"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// maxRequestBodyBytes limits the size of a request body.
const maxRequestBodyBytes = 64 << 20

// server is the HTTP server shared by the engine and the plain service.
type server struct {
	clock     clockwork.Clock
	listener  net.Listener
	http      *fasthttp.Server
	faults    faultQueue
	done      chan struct{}
	closeOnce sync.Once

	mu    sync.Mutex
	conns map[net.Conn]struct{}

	// leaving is set once the target has said that it is leaving.
	leaving atomic.Bool
	// endlessOpen is the number of endless responses that are being sent.
	endlessOpen atomic.Int64
}

// newServer listens on a free loopback port.
func newServer(clock clockwork.Clock, handler fasthttp.RequestHandler) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for stand-in target")
	}
	s := &server{clock: clock, listener: listener, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	s.http = &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxRequestBodyBytes,
		ConnState: s.trackConn, CloseOnShutdown: true, Logger: discardLogger{},
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// discardLogger discards the HTTP server's messages about connections that were
// closed by injected faults.
type discardLogger struct{}

// Printf discards a message.
func (discardLogger) Printf(string, ...any) {}

// Address returns the IP:port for calls and orders.
func (s *server) Address() string { return s.listener.Addr().String() }

// Inject queues a fault for the next responses.
func (s *server) Inject(fault Fault) { s.faults.add(fault) }

// HasFaults reports whether faults are queued.
func (s *server) HasFaults() bool { return s.faults.pending() > 0 }

// Clear removes all queued faults.
func (s *server) Clear() { s.faults.clear() }

// Connections returns the number of open connections.
func (s *server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// trackConn tracks open connections, so that a crash can close them.
func (s *server) trackConn(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
	default:
		s.conns[c] = struct{}{}
	}
}

// closeAllConns closes every open connection.
func (s *server) closeAllConns() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) close() {
	s.closeOnce.Do(func() {
		close(s.done)
		_ = s.listener.Close()
		s.closeAllConns()
	})
}

// SetLeaving makes all later responses of this incarnation say that the target is leaving, without a
// message to the hosts.
func (s *server) SetLeaving() { s.leaving.Store(true) }

// setNotices sets the header that tells the host that the target is leaving.
func (s *server) setNotices(header *fasthttp.ResponseHeader) {
	if s.leaving.Load() {
		header.Set(web.HeaderLeaving, "true")
	}
}

// refuse responds that the request was not executed, and asks for a pause if it is
// positive.
func (s *server) refuse(ctx *fasthttp.RequestCtx, pause time.Duration) {
	ctx.Response.Header.Set(web.HeaderNotExecuted, "true")
	if pause > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	s.respond(ctx, fasthttp.StatusServiceUnavailable, []byte(`{"Error":"refused"}`), Fault{})
}

// respond sends a non-streaming response, modified by fault.
func (s *server) respond(ctx *fasthttp.RequestCtx, status int, body []byte, fault Fault) {
	id := string(ctx.Request.Header.Peek(web.HeaderRequestID))
	if s.respondEndless(ctx, body, fault) || s.respondCloseDelimited(ctx, status, "application/json", body, fault) {
		return
	}
	s.setNotices(&ctx.Response.Header)
	switch fault.Kind {
	case FaultNoResponse:
		<-s.done
		return
	case FaultDelayed:
		select {
		case <-s.done:
		case <-s.clock.After(fault.Delay):
		}
	case FaultRequestMismatch:
		id = "other-" + id
	case FaultEndless:
		ctx.SetBodyStream(endlessBody{done: s.done}, -1)
		ctx.Response.Header.Set(web.HeaderRequestID, id)
		return
	case FaultConnectionClosed, FaultMissingEnd, FaultDuplicate:
		respondRaw(ctx, id, status, body, fault.Kind)
		return
	}
	ctx.Response.Header.Set(web.HeaderRequestID, id)
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// respondRaw writes a malformed response, which the HTTP library cannot produce,
// directly to the connection.
func respondRaw(ctx *fasthttp.RequestCtx, id string, status int, body []byte, kind FaultKind) {
	var response fasthttp.Response
	response.SetStatusCode(status)
	response.Header.Set(web.HeaderRequestID, id)
	response.SetBody(body)
	raw := []byte(response.String())
	switch kind {
	case FaultConnectionClosed:
		raw = raw[:len(raw)-len(body)/2-1]
	case FaultMissingEnd:
		raw = raw[:len(raw)-1]
	case FaultDuplicate:
		raw = append(raw, raw...)
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) { _, _ = c.Write(raw) })
}

// endlessBody is a response body that never ends.
type endlessBody struct{ done chan struct{} }

// Read returns spaces until the server is closed.
func (e endlessBody) Read(p []byte) (int, error) {
	select {
	case <-e.done:
		return 0, errors.New("closed")
	default:
	}
	p = p[:min(len(p), 512)]
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}
