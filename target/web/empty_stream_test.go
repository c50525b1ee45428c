package web

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

// A target that is killed as a stream begins leaves an orderly end of its connection. A stream
// from its beginning has at least one event, and the rest of a resumed one is no more than what
// such a target leaves, unless it has an event that is new or a framing that marks its end.
func TestCloseDelimitedStream_WithoutEventsIsTruncated(t *testing.T) {
	for name, test := range map[string]struct {
		header, after string
		want          error
	}{
		"from the beginning": {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "", target.ErrTruncated},
		"only empty lines":   {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n\r\n\n", "", target.ErrTruncated},
		"resumed":            {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "4", target.ErrTruncated},
		"earlier events":     {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + streamText("\n", 3, 4), "4", target.ErrTruncated},
		"resumed, a length":  {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", "4", io.EOF},
		"resumed, in chunks": {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "4", io.EOF},
		"error status":       {"HTTP/1.1 404 X\r\nContent-Type: text/event-stream\r\n\r\n", "", io.EOF},
		"with a length":      {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n", "", io.EOF},
		"in chunks":          {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", io.EOF},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, serveThenEnd(0, test.header, endClose))
			response, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address, LastEventID: test.after})
			require.NoError(t, err)
			defer response.Close()
			_, err = response.Next()
			require.ErrorIs(t, err, test.want)
		})
	}
}
