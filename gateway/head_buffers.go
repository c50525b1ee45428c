package gateway

import (
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// headBufferBytes returns the size of the buffer that a connection needs for the largest head that
// the fleet configuration allows: the usual one, or the next power of two for a larger header
// and a URI, up to settings.maxHeadBufferBytes.
//
// Load: a configuration allows headers of hundreds of KB, on a machine with memory for a
// thousand connections of the usual kind. The memory for callers admits fewer of the large ones.
func (g *Gateway) headBufferBytes() int {
	usual := g.settings.maxHeaderBytes
	config := g.Catalog.Fleet()
	if config == nil || g.settings.maxHeadBufferBytes <= usual {
		return usual
	}
	needed, size := config.Requests.HeaderBytes+g.settings.maxURIBytes, usual
	for size < needed && size < g.settings.maxHeadBufferBytes {
		size *= 2
	}
	return size
}

// headServers are the HTTP servers for connections with larger buffers, by their size: the size is
// a property of a server.
type headServers struct {
	gateway *Gateway

	mu       sync.Mutex
	bySize   map[int]*headServer
	isClosed bool
}

type headServer struct {
	*fasthttp.Server
	conns *connListener
}

func newHeadServers(g *Gateway) *headServers {
	return &headServers{gateway: g, bySize: map[int]*headServer{}}
}

// serve serves a connection by the server for its size of buffer.
func (s *headServers) serve(c net.Conn, size int) {
	s.mu.Lock()
	server := s.bySize[size]
	if server == nil && !s.isClosed {
		server = &headServer{Server: s.gateway.newServer(size), conns: newConnListener(c.LocalAddr())}
		s.bySize[size] = server
		s.gateway.log.WithField("Bytes", size).Info("Connections get larger buffers for the headers that the configuration allows.")
		go func() {
			if err := server.Serve(server.conns); err != nil {
				s.gateway.log.Debugf("Server for large headers ended: %v.", err)
			}
		}()
	}
	s.mu.Unlock()
	if server == nil || !server.conns.add(c) {
		_ = c.Close()
	}
}

// shutdown ends the servers as fasthttp.Server.ShutdownWithContext does.
func (s *headServers) shutdown(shutdown func(*fasthttp.Server) error) error {
	s.mu.Lock()
	s.isClosed = true
	servers := make([]*headServer, 0, len(s.bySize))
	for _, server := range s.bySize {
		servers = append(servers, server)
	}
	s.mu.Unlock()
	var err error
	for _, server := range servers {
		err = errors.Join(err, shutdown(server.Server))
	}
	return err
}

// connListener is a listener of connections that were accepted elsewhere.
type connListener struct {
	address net.Addr
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func newConnListener(address net.Addr) *connListener {
	return &connListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
}

// add passes on a connection. It returns false if the listener is closed.
func (l *connListener) add(c net.Conn) bool {
	select {
	case l.conns <- c:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.address }

// isOutgrown reports whether the configuration allows larger heads than the connection of a request
// has a buffer for: it was opened under an earlier one.
func (g *Gateway) isOutgrown(ctx *fasthttp.RequestCtx) bool {
	caller, ok := ctx.Conn().(*callerConn)
	return ok && caller.BufferBytes() < g.headBufferBytes()
}
