package gateway

import (
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// refuseTimeout bounds the refusal written to a connection beyond the limit.
const refuseTimeout = time.Second

// callerListener bounds the callers' connections and watches each.
type callerListener struct {
	net.Listener
	gateway *Gateway
	open    atomic.Int64
}

// WrapListener returns a listener whose connections tell when a caller goes away,
// and which refuses connections beyond the limit.
func (g *Gateway) WrapListener(inner net.Listener) net.Listener {
	return &callerListener{Listener: inner, gateway: g}
}

// Accept returns the next connection within the limit.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, errors.Wrap(err, "accept a caller")
		}
		if l.open.Add(1) > int64(l.gateway.settings.maxConnections) {
			l.open.Add(-1)
			go l.gateway.refuse(c)
			continue
		}
		release := func() { l.open.Add(-1) }
		caller := newCallerConn(l.gateway.Clock, c, l.gateway.settings.writeStall, release)
		caller.limits = l.gateway.callerTimes
		return caller, nil
	}
}

// refuse answers a connection beyond the limit and closes it.
func (g *Gateway) refuse(c net.Conn) {
	f := failure(503, CodeTooManyConnections, "too many connections").after(g.settings.retryAfter)
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
	g.meters.failed(f)
}
