package web

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

// endStayOpen leaves the connection open until the client closes it.
const endStayOpen = "stay open"

// serveAndEnd answers a request with raw and ends the connection.
func serveAndEnd(raw, end string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(c, raw)
		if end == endStayOpen {
			_, _ = io.Copy(io.Discard, reader)
		}
		endConnection(c, reader, end)
	}
}

// A log of a response must tell a reset from an orderly end, and both from a timeout: only the
// connection delimits some responses.
func TestResponseEnd_TellsFramingAndCause(t *testing.T) {
	events := streamText("\n", 1, 2)
	bodies := map[target.Framing]struct{ whole, cut string }{
		target.FramingConnection: {"\r\n" + events, "\r\n" + events + "id: 3\n"},
		target.FramingLength:     {fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events), fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events)+1, events)},
		target.FramingChunked:    {fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events), fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(events), events)},
	}
	wholeCauses := map[target.Framing]target.EndCause{
		target.FramingConnection: target.EndClose, target.FramingLength: target.EndLength, target.FramingChunked: target.EndLastChunk,
	}
	for framing, body := range bodies {
		for _, test := range []struct {
			name, body, end string
			want            target.EndCause
		}{
			{"whole", body.whole, endClose, wholeCauses[framing]},
			{"cut and closed", body.cut, endClose, target.EndClose},
			{"cut and half-closed", body.cut, endHalfClose, target.EndClose},
			{"cut and reset", body.cut, endReset, target.EndReset},
			{"cut and silent", body.cut, endStayOpen, target.EndTimeout},
			{"malformed", "Transfer-Encoding: chunked\r\n\r\nx\r\n", endStayOpen, target.EndInvalid},
		} {
			for _, contentType := range []string{contentTypeEventStream, "text/plain"} {
				if contentType == "text/plain" && framing == target.FramingConnection && test.want == target.EndClose {
					continue // A plain body that the connection delimits is whole at an orderly end.
				}
				t.Run(fmt.Sprint(framing, " ", test.name, " ", contentType), func(t *testing.T) {
					t.Parallel()
					address, _ := startServer(t, serveAndEnd("HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n"+test.body, test.end))
					response, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address, GapTimeout: 200 * time.Millisecond, FirstByteTimeout: time.Minute})
					require.NoError(t, err)
					defer response.Close()
					_, err = readAll(response)
					end := response.End()
					require.Equal(t, test.want, end.Cause)
					require.Equal(t, test.name == "whole", err == nil)
					if test.name != "malformed" {
						require.Equal(t, framing, end.Framing)
					}
				})
			}
		}
	}
}

// The end of a response that its caller no longer waits for is none of the target's.
func TestResponseEnd_Canceled(t *testing.T) {
	address, _ := startServer(t, serveAndEnd("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+streamText("\n", 1), endStayOpen))
	ctx, cancel := context.WithCancel(context.Background())
	response, err := newPassthroughClient(t).Send(ctx, target.Call{Address: address})
	require.NoError(t, err)
	defer response.Close()
	_, err = response.Next()
	require.NoError(t, err)
	require.Empty(t, response.End().Cause)
	cancel()
	_, err = response.Next()
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, target.EndCanceled, response.End().Cause)
}

// A connection whose response lacks a part must not be kept for another call.
func TestResponseEnd_TruncatedResponseKeepsNoConnection(t *testing.T) {
	for _, contentType := range []string{contentTypeEventStream, "text/plain"} {
		address, _ := startServer(t, serveAndEnd("HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\nContent-Length: 99\r\n\r\n"+streamText("\n", 1), endClose))
		client := newPassthroughClient(t)
		response, err := client.Send(context.Background(), target.Call{Address: address})
		require.NoError(t, err)
		_, err = readAll(response)
		require.ErrorIs(t, err, target.ErrTruncated)
		response.Close()
		require.Empty(t, client.pool.idle)
	}
}
