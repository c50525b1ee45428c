package standin

import (
	"bytes"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"comfreytiller.dev/target/web"
)

// endlessBlockBytes is the size of one write of an endless response.
const endlessBlockBytes = 4 << 10

// endlessStart returns the bytes with which a response that never ends begins, and the
// bytes that follow without end. It returns nil for other kinds of faults.
func endlessStart(kind FaultKind, id string, body []byte) (start, rest []byte) {
	head := "HTTP/1.1 200 OK\r\n" + web.HeaderRequestID + ": " + id + "\r\n"
	switch kind {
	case FaultEndlessHead:
		return []byte(head + "Filler: "), []byte("x")
	case FaultEndlessHeaderFields:
		return []byte(head), []byte("Filler: x\r\n")
	case FaultEndlessInterim:
		return nil, []byte("HTTP/1.1 100 Continue\r\n\r\n")
	case FaultEndlessChunkExtension:
		return []byte(head + "Transfer-Encoding: chunked\r\n\r\n5;"), []byte("x")
	case FaultOverlong:
		return fmt.Appendf(nil, "%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body), []byte("x")
	case FaultEndlessEvent:
		return []byte(head + "Content-Type: text/event-stream\r\n\r\nid: " + web.EventID(id, 0) + "\nevent: token\ndata: "), []byte("x")
	case FaultEndlessEventLines:
		return []byte(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"), []byte("2\r\n\n\n\r\n")
	case FaultDrip:
		return []byte(head + "Content-Length: 1048576\r\n\r\n"), []byte("x")
	}
	return nil, nil
}

// respondEndless sends a response that never ends until the host closes the connection.
// It returns false if the fault is of another kind.
func (s *server) respondEndless(ctx *fasthttp.RequestCtx, body []byte, fault Fault) bool {
	start, rest := endlessStart(fault.Kind, string(ctx.Request.Header.Peek(web.HeaderRequestID)), body)
	if rest == nil {
		return false
	}
	block, pause := bytes.Repeat(rest, endlessBlockBytes/len(rest)), time.Duration(0)
	if fault.Kind == FaultDrip {
		block, pause = rest, fault.Delay
	}
	s.endlessOpen.Add(1)
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(c net.Conn) {
		defer s.endlessOpen.Add(-1)
		defer closeOnDone(c, s.done)()
		_, err := c.Write(start)
		for err == nil {
			if pause > 0 {
				s.clock.Sleep(pause)
			}
			_, err = c.Write(block)
		}
	})
	return true
}

// closeOnDone closes a connection when the server is closed. The returned function ends
// that.
func closeOnDone(c net.Conn, done chan struct{}) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-done:
			_ = c.Close()
		case <-stopped:
		}
	}()
	return func() { close(stopped) }
}

// EndlessResponses returns the number of endless responses whose connection the host
// has not closed yet.
func (s *server) EndlessResponses() int { return int(s.endlessOpen.Load()) }
