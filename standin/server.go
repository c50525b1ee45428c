package standin

import (
	"net"
	"sync"

	"comfreytiller.dev/target/web"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// maxBody bounds a request body that a stand-in takes.
const maxBody = 64 << 20

// server is what the engine and the plain service have in common.
type server struct {
	clock    clockwork.Clock
	listener net.Listener
	http     *fasthttp.Server
	faults   faults
	done     chan struct{}
	closing  sync.Once

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// newServer listens on a free loopback port.
func newServer(clock clockwork.Clock, handler fasthttp.RequestHandler) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for a stand-in target")
	}
	s := &server{clock: clock, listener: listener, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	s.http = &fasthttp.Server{
		Handler: handler, NoDefaultServerHeader: true, MaxRequestBodySize: maxBody,
		ConnState: s.track, CloseOnShutdown: true, Logger: quiet{},
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// quiet drops the HTTP server's messages about connections that faults cut.
type quiet struct{}

// Printf drops a message.
func (quiet) Printf(string, ...any) {}

// Address is the IP:port that takes calls and orders.
func (s *server) Address() string { return s.listener.Addr().String() }

// Inject makes the next answers fail as fault says.
func (s *server) Inject(fault Fault) { s.faults.inject(fault) }

// Clear ends all faults.
func (s *server) Clear() { s.faults.clear() }

// Connections returns the number of open connections.
func (s *server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// track keeps the open connections, so that a fall can cut them.
func (s *server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
	default:
		s.conns[c] = struct{}{}
	}
}

// cutAll closes every open connection.
func (s *server) cutAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *server) close() {
	s.closing.Do(func() {
		close(s.done)
		_ = s.listener.Close()
		s.cutAll()
	})
}

// respond sends a whole plain answer, or one that fails as fault says.
func (s *server) respond(ctx *fasthttp.RequestCtx, status int, body []byte, fault Fault) {
	id := string(ctx.Request.Header.Peek(web.HeaderRequestID))
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
		ctx.SetBodyStream(endless{done: s.done}, -1)
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

// respondRaw writes an answer that no HTTP library writes.
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

// endless is a body that never ends.
type endless struct{ done chan struct{} }

// Read returns spaces until the stand-in is closed.
func (e endless) Read(p []byte) (int, error) {
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
