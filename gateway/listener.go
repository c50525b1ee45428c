package gateway

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// refuseTimeout limits the time to refuse a connection that exceeds the limit.
const refuseTimeout = time.Second

// callerListener limits the number of connections and wraps each one in a
// callerConn.
type callerListener struct {
	net.Listener
	gateway     *Gateway
	connections atomic.Int64
}

// WrapListener returns a listener whose connections detect when a caller
// disconnects. Connections that exceed the limit are refused.
func (g *Gateway) WrapListener(inner net.Listener) net.Listener {
	return &callerListener{Listener: inner, gateway: g}
}

// Accept returns the next connection within the limit.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.Wrap(err, "accept connection")
		}
		if l.connections.Add(1) > int64(l.gateway.settings.maxConnections) {
			l.connections.Add(-1)
			go l.gateway.refuseConnection(c)
			continue
		}
		release := func() { l.connections.Add(-1) }
		caller := newCallerConn(l.gateway.Clock, c, l.gateway.settings.writeTimeout, release)
		caller.readTimeouts = l.gateway.callerTimeouts
		return caller, nil
	}
}

// refuseConnection responds to a connection that exceeds the limit and closes
// it.
func (g *Gateway) refuseConnection(c net.Conn) {
	f := failure(503, CodeTooManyConnections, "too many connections").withRetryAfter(g.settings.retryAfter)
	body := EncodeFailure(f)
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		"Retry-After: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	timer := g.Clock.AfterFunc(refuseTimeout, func() { _ = c.Close() })
	_, _ = c.Write(append([]byte(head), body...))
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		var rest [512]byte
		for {
			if _, err := c.Read(rest[:]); err != nil {
				break
			}
		}
	}
	timer.Stop()
	_ = c.Close()
	g.metrics.countFailure(f)
}
