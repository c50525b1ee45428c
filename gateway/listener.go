package gateway

import (
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"comfreytiller.dev/gateway/intake"
)

// refuseTimeout limits the time to refuse a connection that exceeds the limit.
const refuseTimeout = time.Second

// refusalShare limits the connections that are being refused with a response: 1 for refusalShare
// of those that may be open, and one more.
const refusalShare = 16

// acceptRetryDelay is the pause after a connection could not be accepted for want of a
// resource.
const acceptRetryDelay = 50 * time.Millisecond

// resourceErrors are the errors of Accept after which a later connection may be accepted,
// once others have been closed.
var resourceErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}

// callerListener limits the number of connections and wraps each one in a
// callerConn.
type callerListener struct {
	net.Listener
	gateway *Gateway
	gate    *intake.Gate
}

// WrapListener returns a listener whose connections detect when a caller
// disconnects. Connections that exceed the connection limit are refused.
func (g *Gateway) WrapListener(inner net.Listener) net.Listener {
	return &callerListener{Listener: inner, gateway: g, gate: intake.NewGate(g.memory, g.settings.maxConnections, g.settings.maxHeaderBytes)}
}

// Accept returns the next connection within the limit. It waits while the system has no
// resources for another connection, since an error would end the server.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.acceptNext()
		if err != nil {
			return nil, err
		}
		bufferBytes := l.gateway.headBufferBytes()
		accounted := l.gate.AdmitWithBuffer(c, bufferBytes)
		if accounted == nil {
			l.gateway.refuse(c)
			continue
		}
		caller := newCallerConn(l.gateway.Clock, accounted, l.gateway.settings.writeTimeout, l.gate.Leave)
		caller.readTimeouts = l.gateway.callerTimeouts
		if bufferBytes > l.gateway.settings.maxHeaderBytes {
			l.gateway.headServers.serve(caller, bufferBytes)
			continue
		}
		return caller, nil
	}
}

// acceptNext returns the next connection.
func (l *callerListener) acceptNext() (net.Conn, error) {
	for failures := 0; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil {
			return c, nil
		}
		isResourceError := slices.ContainsFunc(resourceErrors, func(known error) bool { return errors.Is(err, known) })
		if !isResourceError {
			return nil, errors.Wrap(err, "accept connection")
		}
		if failures == 0 {
			l.gateway.log.WithField("Connections", l.gate.Open()).
				Warnf("Connection from a caller could not be accepted and waits: %v.", err)
		}
		<-l.gateway.Clock.After(acceptRetryDelay)
	}
}

// refuse refuses a connection, without a response if many others are being refused.
func (g *Gateway) refuse(c net.Conn) {
	select {
	case g.refusals <- struct{}{}:
		go func() {
			defer func() { <-g.refusals }()
			g.refuseConnection(c)
		}()
	default:
		_ = c.Close()
		g.metrics.countFailure(tooManyConnections(g.settings.retryAfter))
	}
}

func tooManyConnections(retryAfter time.Duration) *Failure {
	return failure(503, CodeTooManyConnections, "too many connections").withRetryAfter(retryAfter)
}

// refuseConnection responds to a connection that exceeds the limit and closes
// it.
func (g *Gateway) refuseConnection(c net.Conn) {
	f := tooManyConnections(g.settings.retryAfter)
	body := EncodeFailure(f)
	head := "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\n" +
		"Retry-After: 1\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n"
	timer := g.Clock.AfterFunc(refuseTimeout, func() { _ = c.Close() })
	_, _ = c.Write(append([]byte(head), body...))
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
		// Closing a connection with unread data resets it, and the caller could
		// lose the response.
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
