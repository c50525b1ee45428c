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

// Connections that send nothing must not take all descriptors of a process: the oldest of them is
// closed for a new one.
func TestSplitter_OldestUnknownConnectionIsClosedForNewOne(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	splitter := NewSplitter(listener, "CTP1", clockwork.NewRealClock(), WithMaxUnknown(2))
	matched := make(chan net.Conn, 1)
	done := make(chan error, 1)
	go func() { done <- splitter.Serve(func(conn net.Conn) { matched <- conn }) }()
	var silent []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		silent = append(silent, conn)
	}
	_, err = silent[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = silent[1].Write([]byte("CTP1"))
	require.NoError(t, err)
	require.NotNil(t, <-matched)
	require.NoError(t, listener.Close())
	require.ErrorIs(t, <-done, net.ErrClosed)
}
