package meter_test

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/common/meter"
)

// Responses to thousands of targets were not counted when bulk messages were sent, and the two
// together exceeded the link. Guards as well against a connection that hides its descriptor, by
// which a handler sees whether its caller has left.
func TestWrapListener_ReportsWhatIsSent(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var sent atomic.Int64
	listener := meter.WrapListener(inner, func(bytes int) { sent.Add(int64(bytes)) })
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	conn, err := listener.Accept()
	require.NoError(t, err)
	before := sent.Load()
	require.Positive(t, before, "the handshake")
	_, err = conn.Write(make([]byte, 1000))
	require.NoError(t, err)
	require.Greater(t, sent.Load(), before+1000)
	systemConn, ok := conn.(syscall.Conn)
	require.True(t, ok)
	_, err = systemConn.SyscallConn()
	require.NoError(t, err)
	half, ok := conn.(interface{ CloseWrite() error })
	require.True(t, ok)
	require.NoError(t, half.CloseWrite())
	received, err := io.ReadAll(client)
	require.NoError(t, err)
	require.Len(t, received, 1000)
}
