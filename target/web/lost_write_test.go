package web

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/target"
)

// writeFailingConn returns given bytes and then an orderly end. Its writes fail with an
// error; those without one block until their deadline or the end of the connection.
type writeFailingConn struct {
	net.Conn
	reader    *bytes.Reader
	writeErr  error
	interrupt chan struct{}
	once      sync.Once
}

func (c *writeFailingConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

func (c *writeFailingConn) Write([]byte) (int, error) {
	if c.writeErr == nil {
		<-c.interrupt
		return 0, os.ErrDeadlineExceeded
	}
	return 0, c.writeErr
}

func (c *writeFailingConn) SetWriteDeadline(time.Time) error { return c.Close() }

func (c *writeFailingConn) Close() error {
	c.once.Do(func() { close(c.interrupt) })
	return nil
}

// The operating system reports a reset once. A write that takes the report leaves an orderly
// end to the reader, so that a part of a response that only the end of its connection
// delimits looked whole. A response with a length or in chunks shows its end itself, and a
// write that is merely unfinished says nothing: a target may respond early.
func TestFailedWrite_TruncatesCloseDelimitedResponse(t *testing.T) {
	responses := map[string]struct {
		text         string
		showsItsEnd  bool
		expectedText string
	}{
		"body":             {"\r\nbody", false, "body"},
		"empty body":       {"\r\n", false, ""},
		"stream":           {"Content-Type: text/event-stream\r\n\r\n" + streamText("\n", 1, 2), false, streamText("\n", 1, 2)},
		"length":           {"Content-Length: 4\r\n\r\nbody", true, "body"},
		"chunks":           {"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true, "body"},
		"stream in chunks": {"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(streamText("\n", 1)), streamText("\n", 1)), true, streamText("\n", 1)},
	}
	for name, response := range responses {
		for _, size := range []int{0, 2 * maxSyncRequestBytes, 1 << 20} {
			for _, writeErr := range []error{nil, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT} {
				if size == 0 && writeErr == nil {
					// A short request is written before the response is read.
					continue
				}
				t.Run(fmt.Sprint(name, " ", size, " ", writeErr), func(t *testing.T) {
					clock := clockwork.NewFakeClock()
					client := NewClient(clock, WithDialect(passthroughDialect{}))
					raw := "HTTP/1.1 200 OK\r\n" + response.text
					connection := &writeFailingConn{reader: bytes.NewReader([]byte(raw)), writeErr: writeErr, interrupt: make(chan struct{})}
					call := target.Call{Address: "127.0.0.1:1", Body: make([]byte, size)}
					request := fasthttp.AcquireRequest()
					passthroughDialect{}.WriteRequest(request, &call)
					got, err := client.roundTrip(context.Background(), newTargetConn(clock, connection, call.Address), request, call, passthroughDialect{})
					require.NoError(t, err)
					text, err := readAll(got)
					got.Close()
					require.Empty(t, client.pool.idle)
					if writeErr == nil || response.showsItsEnd {
						require.NoError(t, err)
						require.Equal(t, response.expectedText, text)
					} else {
						require.ErrorIs(t, err, target.ErrTruncated)
						require.ErrorContains(t, err, writeErr.Error())
					}
				})
			}
		}
	}
}

// As above, over the network: a target answers a long upload at once and resets the
// connection, or closes it with the upload unread, which resets it as well unless all that has
// arrived was read.
func TestEarlyResponse_ResetDuringUploadIsTruncated(t *testing.T) {
	const rounds = 20
	for _, contentType := range []string{"text/plain", contentTypeEventStream} {
		for _, end := range []string{endReset, endClose, endHalfClose} {
			t.Run(contentType+" "+end, func(t *testing.T) {
				address, conns := startServer(t, serveHeadOnly("HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+streamText("\n", 1, 2), end))
				for range rounds {
					response, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address, Body: make([]byte, 3<<20)})
					text := ""
					if err == nil {
						text, err = readAll(response)
						response.Close()
					}
					<-conns
					if end == endHalfClose || end == endClose && err == nil {
						require.NoError(t, err)
						require.Equal(t, streamText("\n", 1, 2), text)
						continue
					}
					require.ErrorIs(t, err, target.ErrTruncated)
				}
			})
		}
	}
}
