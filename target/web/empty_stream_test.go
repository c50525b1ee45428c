package web

import (
	"context"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

// A target that crashes as a stream begins may close its connection in an orderly way.
// A stream from its beginning has at least one event, so that nothing at all is a
// truncated one. The rest of a resumed stream, and a stream whose framing marks its end,
// may be empty.
func TestCloseDelimitedStream_WithoutEventsIsTruncated(t *testing.T) {
	for name, test := range map[string]struct {
		header, after string
		want          error
	}{
		"from the beginning": {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "", target.ErrTruncated},
		"only empty lines":   {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n\r\n\n", "", target.ErrTruncated},
		"resumed":            {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "4", io.EOF},
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
