package web

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/target"
)

// errConnectionReset is the error of a connection that its target resets.
var errConnectionReset = errors.New("connection reset by peer")

// steppingConn is a connection that returns given bytes in reads of at most step bytes
// and then end.
type steppingConn struct {
	net.Conn
	reader *bytes.Reader
	step   int
	end    error
}

func (c *steppingConn) Read(p []byte) (int, error) {
	n, err := c.reader.Read(p[:min(len(p), c.step)])
	if err != nil {
		err = c.end
	}
	return n, err
}

func (c *steppingConn) Write(p []byte) (int, error) { return len(p), nil }
func (c *steppingConn) Close() error                { return nil }

// FuzzCloseDelimitedStream: wherever the connection of a stream without a length ends,
// the events before are returned unchanged. The stream is complete only if the end is
// orderly and between two events, and truncated otherwise.
func FuzzCloseDelimitedStream(f *testing.F) {
	f.Add("hello", uint8(3), uint16(1000), uint8(255), false, false)
	f.Add("hello", uint8(3), uint16(1000), uint8(1), true, false)
	f.Add("hello", uint8(3), uint16(19), uint8(7), false, false)
	f.Add("hello", uint8(3), uint16(18), uint8(7), false, false)
	f.Add("hello", uint8(3), uint16(22), uint8(1), true, false)
	f.Add("hello", uint8(3), uint16(1000), uint8(3), false, true)
	f.Add("id: 2\n\ndata: x\r", uint8(4), uint16(0), uint8(1), true, false)
	f.Add(strings.Repeat("x", 9000), uint8(2), uint16(9012), uint8(255), false, false)
	f.Fuzz(func(t *testing.T, data string, count uint8, cut uint16, step uint8, carriageReturns, reset bool) {
		lineEnd, end := "\n", error(io.EOF)
		if carriageReturns {
			lineEnd = "\r\n"
		}
		if reset {
			end = errConnectionReset
		}
		data = strings.NewReplacer("\r", "", "\n", "").Replace(data)
		var text strings.Builder
		// boundaries are the lengths of the text up to the end of each event.
		var boundaries []int
		for i := range int(count%16) + 1 {
			fmt.Fprintf(&text, "id: %d%sdata: %s%s%s", i+1, lineEnd, data, lineEnd, lineEnd)
			boundaries = append(boundaries, text.Len())
		}
		sent := text.String()[:min(int(cut), text.Len())]
		whole := 0
		for _, boundary := range boundaries {
			if boundary <= len(sent) {
				whole = boundary
			}
		}

		clock := clockwork.NewFakeClock()
		client := NewClient(clock, WithDialect(passthroughDialect{}))
		raw := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + sent
		connection := &steppingConn{reader: bytes.NewReader([]byte(raw)), step: int(step) + 1, end: end}
		call := target.Call{Address: "127.0.0.1:1"}
		request := fasthttp.AcquireRequest()
		passthroughDialect{}.WriteRequest(request, &call)
		response, err := client.roundTrip(context.Background(), newTargetConn(clock, connection, call.Address), request, call, passthroughDialect{})
		require.NoError(t, err)
		events, err := readEvents(response)
		response.Close()
		require.Empty(t, client.pool.idle)
		if len(events) != whole || events != sent[:whole] {
			require.Equal(t, sent[:whole], events)
		}
		if !reset && whole > 0 && whole == len(sent) {
			require.Equal(t, io.EOF, err)
		} else {
			require.ErrorIs(t, err, target.ErrTruncated)
		}
	})
}
