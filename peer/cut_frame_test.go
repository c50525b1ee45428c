package peer

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// encodeOnWire returns a frame as it is written to a connection.
func encodeOnWire(t *testing.T, f frame) []byte {
	data, err := encodeFrame(f, epoch)
	require.NoError(t, err)
	var text strings.Builder
	writer := bufio.NewWriter(&text)
	c := newConn("b", nil, clockwork.NewFakeClock(), nil, newTraffic(), nil)
	require.NoError(t, c.writeFrame(writer, f, data))
	require.NoError(t, writer.Flush())
	return []byte(text.String())
}

// A connection carries many calls, and its writer may take the report of a reset, after which its
// reader finds an orderly end. Neither may deliver the part of a frame that has arrived, and
// the pending calls must fail.
func TestConn_CutFrameIsNotDelivered(t *testing.T) {
	status := []byte(strings.Repeat("status ", 200))
	for name, f := range map[string]frame{
		"reply":            {callID: 1, isReply: true, message: StatusResponse{Status: status[:20]}},
		"compressed reply": {callID: 1, isReply: true, message: StatusResponse{Status: status}},
		"message":          {message: RosterUpdate{Entries: newEntries(2)}},
	} {
		for order, end := range map[string]func(*net.TCPConn) error{
			"close":      (*net.TCPConn).Close,
			"half-close": (*net.TCPConn).CloseWrite,
			"reset":      func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
		} {
			for _, writes := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, writes beside: %t", name, order, writes), func(t *testing.T) {
					t.Parallel()
					listener, err := net.Listen("tcp", "127.0.0.1:0")
					require.NoError(t, err)
					defer func() { _ = listener.Close() }()
					text := encodeOnWire(t, f)
					for cut := 0; cut < len(text); cut += 1 + len(text)/100 {
						local, err := net.Dial("tcp", listener.Addr().String())
						require.NoError(t, err)
						remote, err := listener.Accept()
						require.NoError(t, err)
						var delivered []Message
						handler := func(_ string, message Message, _ Reply) { delivered = append(delivered, message) }
						c := newConn("b", local, clockwork.NewFakeClock(), handler, newTraffic(), nil)
						replies := make(chan Message, 1)
						id, err := c.registerCall(replies)
						require.NoError(t, err)
						require.EqualValues(t, 1, id)
						_, err = remote.Write(text[:cut])
						require.NoError(t, err)
						require.NoError(t, end(remote.(*net.TCPConn)))
						if writes {
							require.NoError(t, c.send(VersionsRequest{}))
						}
						c.run()
						require.Empty(t, delivered, "cut after %d bytes", cut)
						reply, isOpen := <-replies
						require.False(t, isOpen, "cut after %d bytes: %v", cut, reply)
						_, err = c.call(context.Background(), VersionsRequest{})
						require.ErrorIs(t, err, ErrClosed)
						_ = remote.Close()
					}
				})
			}
		}
	}
}
