package sniff

import (
	"io"
	"net"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

func TestSplitterDispatchesByPrefix(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	splitter := NewSplitter(listener, "CTP1", clockwork.NewRealClock())
	matched := make(chan net.Conn, 1)
	done := make(chan error, 1)
	go func() { done <- splitter.Serve(func(conn net.Conn) { matched <- conn }) }()

	for _, send := range []string{"CTP1 and more", "POST / HTTP/1.1"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = conn.Write([]byte(send))
		require.NoError(t, err)
		require.NoError(t, conn.Close())
	}
	matching := <-matched
	got, err := io.ReadAll(matching)
	require.NoError(t, err)
	require.Equal(t, "CTP1 and more", string(got))

	unmatched, err := splitter.Unmatched().Accept()
	require.NoError(t, err)
	got, err = io.ReadAll(unmatched)
	require.NoError(t, err)
	require.Equal(t, "POST / HTTP/1.1", string(got))

	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
}
