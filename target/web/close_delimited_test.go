package web

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

// Ends of a connection on which a response has neither a length nor chunks.
const (
	endClose     = "close"
	endHalfClose = "half close"
	endReset     = "reset"
)

// endConnection ends a connection of a target. A half-closed one stays open until the
// client closes it.
func endConnection(c net.Conn, reader *bufio.Reader, end string) {
	connection := c.(*net.TCPConn)
	switch end {
	case endReset:
		_ = connection.SetLinger(0)
	case endHalfClose:
		_ = connection.CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}
	_ = connection.Close()
}

// serveThenEnd answers kept requests with a length and the next one with raw, and ends
// the connection.
func serveThenEnd(kept int, raw, end string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, reader *bufio.Reader) {
		for i := 0; ; i++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if i == kept {
				_, _ = io.WriteString(c, raw)
				endConnection(c, reader, end)
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

// serveHeadOnly answers a request after its head with raw and ends the connection. A
// half-closed one reads the body.
func serveHeadOnly(raw, end string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(c, raw)
		endConnection(c, reader, end)
	}
}

// streamText returns a stream of events with the given IDs and line end.
func streamText(lineEnd string, ids ...int) string {
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "id: %d%sdata: e%d%s%s", id, lineEnd, id, lineEnd, lineEnd)
	}
	return text.String()
}

// readEvents returns the text of the events of a response and the error that ended it.
func readEvents(response target.Response) (string, error) {
	var text strings.Builder
	for {
		event, err := response.Next()
		if err != nil {
			return text.String(), err
		}
		text.Write(event.Raw)
	}
}

// A plain response that ends with its connection is complete after an orderly close and
// truncated after a reset, also on a kept connection, which is not used again.
func TestCloseDelimitedBody(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<19)
	for _, status := range []int{http.StatusOK, http.StatusNotFound, http.StatusInternalServerError} {
		for name, body := range map[string]string{"short": "{}", "empty": "", "large": large} {
			for _, end := range []string{endClose, endHalfClose, endReset} {
				for _, kept := range []int{0, 1} {
					t.Run(fmt.Sprint(status, " ", name, " ", end, " kept ", kept), func(t *testing.T) {
						raw := fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Type: application/json\r\n\r\n%s", status, body)
						address, conns := startServer(t, serveThenEnd(kept, raw, end))
						client := newPassthroughClient(t)
						for range kept {
							response, err := client.Send(context.Background(), target.Call{Address: address})
							require.NoError(t, err)
							_, err = response.Body(1 << 10)
							require.NoError(t, err)
							response.Close()
						}
						response, err := client.Send(context.Background(), target.Call{Address: address})
						require.Len(t, conns, 1)
						if err != nil {
							// The reset may arrive before the header has been read.
							require.Equal(t, endReset, end)
							require.ErrorIs(t, err, target.ErrTruncated)
							return
						}
						require.Equal(t, status, response.Header().Status)
						got, err := response.Body(len(large))
						if end == endReset {
							require.ErrorIs(t, err, target.ErrTruncated)
						} else {
							require.NoError(t, err)
							require.True(t, string(got) == body, "the body is unchanged")
						}
						response.Close()
						_, _ = client.Send(context.Background(), target.Call{Address: address})
						require.Len(t, conns, 2, "the connection is not used again")
					})
				}
			}
		}
	}
}

// A response whose header ends with the connection is no response.
func TestCloseDelimitedHeader_IsTruncated(t *testing.T) {
	for _, header := range []string{"", "HTTP/1.1", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r"} {
		for _, end := range []string{endClose, endHalfClose, endReset} {
			t.Run(fmt.Sprintf("%q %s", header, end), func(t *testing.T) {
				address, _ := startServer(t, serveThenEnd(0, header, end))
				_, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address})
				require.ErrorIs(t, err, target.ErrTruncated)
				var sendError *target.SendError
				require.ErrorAs(t, err, &sendError)
				require.True(t, sendError.Sent)
				require.False(t, sendError.Header.NotExecuted)
			})
		}
	}
}

// A stream that ends with its connection is complete only after an orderly close
// between two events, none of which is missing.
func TestCloseDelimitedStream(t *testing.T) {
	for name, test := range map[string]struct {
		text, events string
		complete     bool
	}{
		"whole":                             {streamText("\n", 1, 2, 3), streamText("\n", 1, 2, 3), true},
		"whole, carriage returns":           {streamText("\r\n", 1, 2), streamText("\r\n", 1, 2), true},
		"empty lines after the last event":  {streamText("\n", 1) + "\n\r\n", streamText("\n", 1), true},
		"inside a line":                     {streamText("\n", 1) + "id: 2\nda", streamText("\n", 1), false},
		"inside an ID":                      {streamText("\n", 1) + "id: ", streamText("\n", 1), false},
		"without the closing empty line":    {streamText("\n", 1) + "id: 2\ndata: e2\n", streamText("\n", 1), false},
		"between carriage return and line":  {streamText("\r\n", 1) + "id: 2\r\ndata: e2\r\n\r", streamText("\r\n", 1), false},
		"inside the first event":            {"id: 1\ndata: e1", "", false},
		"an event is missing before others": {streamText("\n", 1, 3), streamText("\n", 1), false},
		"bytes after the last event":        {streamText("\n", 1) + "HTTP/1.1 200 OK", streamText("\n", 1), false},
	} {
		for _, end := range []string{endClose, endHalfClose, endReset} {
			t.Run(name+" "+end, func(t *testing.T) {
				address, conns := startServer(t, serveThenEnd(0, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+test.text, end))
				client := newPassthroughClient(t)
				response, err := client.Send(context.Background(), target.Call{Address: address})
				if err != nil {
					require.Equal(t, endReset, end)
					require.ErrorIs(t, err, target.ErrTruncated)
					return
				}
				events, err := readEvents(response)
				response.Close()
				if end == endReset {
					require.ErrorIs(t, err, target.ErrTruncated)
					require.True(t, strings.HasPrefix(test.events, events))
				} else {
					require.Equal(t, test.events, events)
					if test.complete {
						require.Equal(t, io.EOF, err)
					} else {
						require.ErrorIs(t, err, target.ErrTruncated)
					}
				}
				_, _ = client.Send(context.Background(), target.Call{Address: address})
				require.Len(t, conns, 2, "the connection is not used again")
			})
		}
	}
}

// A body without a length must not exceed the limit, nor the memory that was reserved.
func TestCloseDelimitedBody_IsLimited(t *testing.T) {
	const limit = 64 << 10
	for size, want := range map[int]error{limit: nil, limit + 1: target.ErrResponseTooLarge, 32 << 20: target.ErrResponseTooLarge} {
		address, _ := startServer(t, serveThenEnd(0, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size), endClose))
		reserved := 0
		call := target.Call{Address: address, ReserveBody: func(n int) error { reserved += n; return nil }}
		response, err := newPassthroughClient(t).Send(context.Background(), call)
		require.NoError(t, err)
		body, err := response.Body(limit)
		require.ErrorIs(t, err, want)
		if want == nil {
			require.Len(t, body, size)
		}
		require.LessOrEqual(t, reserved, limit+1)
		response.Close()
	}
}

// startPausingTarget sends the first part of a response, and the second part, after
// which it closes the connection, once resume is closed.
func startPausingTarget(t *testing.T, first, second string) (address string, resume chan struct{}) {
	resume = make(chan struct{})
	address, _ = startServer(t, func(c net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, first)
		select {
		case <-resume:
			_, _ = io.WriteString(c, second)
		case <-t.Context().Done():
		}
	})
	return address, resume
}

// readAll reads a plain response or a stream whose events have the text of a body.
func readAll(response target.Response) (string, error) {
	if !response.Header().Stream {
		body, err := response.Body(1 << 20)
		return string(body), err
	}
	text, err := readEvents(response)
	if err == io.EOF { //nolint:errorlint // The bare value is the contract.
		err = nil
	}
	return text, err
}

// A pause shorter than the timeout does not end a response without a length. A longer
// one closes the connection on this side, which must not look like its orderly end.
func TestCloseDelimitedResponse_SilentTarget(t *testing.T) {
	first, second := streamText("\n", 1, 2), streamText("\n", 3)
	for _, contentType := range []string{"text/plain", contentTypeEventStream} {
		for _, pause := range []time.Duration{time.Second, 2 * time.Second} {
			t.Run(fmt.Sprint(contentType, " ", pause), func(t *testing.T) {
				address, resume := startPausingTarget(t, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+first, second)
				clock := clockwork.NewFakeClock()
				client := NewClient(clock, WithDialect(passthroughDialect{}), WithDialTimeout(0))
				defer client.Close()
				response, err := client.Send(context.Background(), target.Call{Address: address, GapTimeout: 2 * time.Second})
				require.NoError(t, err)
				defer response.Close()
				ended := make(chan struct{})
				var text string
				go func() {
					defer close(ended)
					text, err = readAll(response)
				}()
				require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
				clock.Advance(pause)
				if pause < 2*time.Second {
					close(resume)
				}
				// The client may have begun to wait for the rest only after the pause.
				require.Eventually(t, func() bool {
					if pause >= 2*time.Second {
						clock.Advance(pause)
					}
					select {
					case <-ended:
						return true
					default:
						return false
					}
				}, 10*time.Second, time.Millisecond)
				if pause < 2*time.Second {
					require.NoError(t, err)
					require.Equal(t, first+second, text)
				} else {
					require.ErrorIs(t, err, target.ErrTimeout)
				}
			})
		}
	}
}

// A context that ends, for a deadline or a caller that is gone, closes the connection
// while the target sends or ends its response. The response is either whole or fails.
func TestCloseDelimitedResponse_CanceledWhileTargetSends(t *testing.T) {
	const rounds = 100
	first, second := streamText("\n", 1, 2), streamText("\n", 3)
	for _, contentType := range []string{"text/plain", contentTypeEventStream} {
		for _, sendsRest := range []bool{false, true} {
			t.Run(fmt.Sprint(contentType, " ", sendsRest), func(t *testing.T) {
				for range rounds {
					address, resume := startPausingTarget(t, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\n"+first, second)
					client := newPassthroughClient(t)
					ctx, cancel := context.WithCancel(context.Background())
					response, err := client.Send(ctx, target.Call{Address: address})
					require.NoError(t, err)
					go cancel()
					if sendsRest {
						go close(resume)
					}
					text, err := readAll(response)
					if err == nil {
						require.True(t, sendsRest)
						require.Equal(t, first+second, text)
					} else {
						require.ErrorIs(t, err, context.Canceled)
					}
					response.Close()
					require.Empty(t, client.pool.idle)
				}
			})
		}
	}
}
