package standin

import (
	"fmt"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/target/web"
)

// Ending is how a target ends the connection of a response.
type Ending string

// Endings of a connection.
const (
	// EndingClose closes the connection after the response.
	EndingClose Ending = "Close"
	// EndingHalfClose closes only the sending side. The target reads on until the host
	// closes the connection.
	EndingHalfClose Ending = "HalfClose"
	// EndingReset resets the connection.
	EndingReset Ending = "Reset"
)

// CloseDelimited is a response with neither a length nor chunked encoding. It ends with
// its connection.
type CloseDelimited struct {
	// Interim is sent before the response, such as an interim response.
	Interim string
	Status  int
	// Header holds the header lines, each with its line end.
	Header string
	Body   []byte
	// CutHeader ends the connection within the header.
	CutHeader bool
	// SilentAfter is the number of bytes of the body after which the target sends
	// nothing for Silence.
	SilentAfter int
	Silence     time.Duration
	// Ending is how the connection ends; empty for EndingClose.
	Ending Ending
}

// Send writes the response to a connection, which it ends.
func (r CloseDelimited) Send(clock clockwork.Clock, c net.Conn) error {
	defer func() { _ = c.Close() }()
	head := fmt.Sprintf("%sHTTP/1.1 %d X\r\n%s", r.Interim, r.Status, r.Header)
	if r.CutHeader {
		_, err := io.WriteString(c, head[:len(head)-1])
		return errors.Join(err, endConnection(c, r.Ending))
	}
	silentAfter := min(r.SilentAfter, len(r.Body))
	_, err := c.Write(append([]byte(head+"\r\n"), r.Body[:silentAfter]...))
	if r.Silence > 0 {
		clock.Sleep(r.Silence)
	}
	if err == nil {
		_, err = c.Write(r.Body[silentAfter:])
	}
	return errors.Join(err, endConnection(c, r.Ending))
}

// endConnection ends a connection before it is closed. One of another type than TCP,
// which can neither be reset nor half-closed, returns an error.
func endConnection(c net.Conn, ending Ending) error {
	if ending == EndingClose || ending == "" {
		return nil
	}
	connection, ok := c.(*net.TCPConn)
	if !ok {
		return errors.Errorf("connection of type %T, want TCP for ending %s", c, ending)
	}
	if ending == EndingReset {
		return connection.SetLinger(0)
	}
	err := connection.CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
	return err
}

// respondCloseDelimited sends a response that ends with its connection. It returns false
// if the fault is of another kind.
func (s *server) respondCloseDelimited(ctx *fasthttp.RequestCtx, status int, contentType string, body []byte, fault Fault) bool {
	if fault.Kind != FaultCloseDelimited {
		return false
	}
	response := CloseDelimited{
		Status: status, Body: body, Ending: fault.Ending, Silence: fault.Delay, SilentAfter: len(body) / 2,
		Header: web.HeaderRequestID + ": " + string(ctx.Request.Header.Peek(web.HeaderRequestID)) + "\r\nContent-Type: " + contentType + "\r\n",
	}
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer closeOnDone(c, s.done)()
		_ = response.Send(s.clock, systemConn(c))
	})
	return true
}

// systemConn returns the connection below that of a hijacked request.
func systemConn(c net.Conn) net.Conn {
	if wrapped, ok := c.(interface{ UnsafeConn() net.Conn }); ok {
		return wrapped.UnsafeConn()
	}
	return c
}
