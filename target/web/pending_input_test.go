package web

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"comfreytiller.dev/target/conn"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// targetConnPair returns a connection to a target whose reads have a timeout of one
// second, and the target's end.
func targetConnPair(t *testing.T, clock clockwork.Clock) (c *targetConn, remote net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	local, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	remote, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = local.Close(); _ = remote.Close() })
	return newTargetConn(clock, local, listener.Addr().String()), remote
}

// A timer of a process that had no processor for a while fired before the response was read
// that had arrived in the meantime, and the connection was closed.
func TestTargetConn_ArrivedDataIsReadAfterTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, remote := targetConnPair(t, clock)
	c.arm(time.Second)
	_, err := remote.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !conn.IsIdle(c.Conn) }, 10*time.Second, time.Millisecond)
	clock.Advance(time.Second)
	require.Eventually(t, c.watchdog.Expired, 10*time.Second, time.Millisecond)
	data, err := c.reader.ReadByte()
	require.NoError(t, err)
	require.Equal(t, byte('x'), data)
	c.arm(time.Second)
	require.False(t, c.watchdog.Expired())
}

// A target that sends bytes without end would be read until the deadline of the request.
func TestTargetConn_PendingInputExtendsTimeoutOnce(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, remote := targetConnPair(t, clock)
	_, err := remote.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return !conn.IsIdle(c.Conn) }, 10*time.Second, time.Millisecond)
	c.arm(time.Second)
	for _, continues := range []bool{true, false} {
		clock.Advance(time.Second)
		require.Eventually(t, c.watchdog.Expired, 10*time.Second, time.Millisecond)
		require.Equal(t, continues, c.continueReading())
	}
}

// The operating system reports a reset once. If the check for pending input takes the
// report, the next read must not find an orderly end.
func TestTargetConn_ResetFoundByTimeoutIsNoOrderlyEnd(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, remote := targetConnPair(t, clock)
	c.arm(time.Second)
	require.NoError(t, remote.(*net.TCPConn).SetLinger(0))
	require.NoError(t, remote.Close())
	clock.Advance(time.Second)
	require.Eventually(t, c.watchdog.Expired, 10*time.Second, time.Millisecond)
	require.True(t, c.continueReading())
	_, err := c.reader.ReadByte()
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// The operating system reports a reset once. A reader that reads on after the error, as buffered
// ones may, must not find an orderly end.
func TestTargetConn_ErrorOfReadEndsInput(t *testing.T) {
	c, remote := targetConnPair(t, clockwork.NewFakeClock())
	require.NoError(t, remote.(*net.TCPConn).SetLinger(0))
	require.NoError(t, remote.Close())
	for range 2 {
		_, err := c.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
	}
}

// A timer that fires between two operations must not end the one that follows.
func TestTargetConn_LateInterruptDoesNotEndNextRead(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, remote := targetConnPair(t, clock)
	c.arm(time.Second)
	clock.Advance(time.Second)
	require.Eventually(t, c.watchdog.Expired, 10*time.Second, time.Millisecond)
	c.arm(time.Second)
	require.False(t, c.watchdog.Expired(), "the next operation has a timeout of its own")
	require.NoError(t, c.SetReadDeadline(time.Unix(1, 0)))
	read := make(chan error, 1)
	go func() {
		_, err := c.reader.ReadByte()
		read <- err
	}()
	_, err := remote.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, <-read)
}

func TestTargetConn_SilentTargetTimesOut(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, _ := targetConnPair(t, clock)
	c.arm(time.Second)
	read := make(chan error, 1)
	go func() {
		_, err := c.reader.ReadByte()
		read <- err
	}()
	clock.Advance(time.Second)
	require.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
	require.True(t, c.watchdog.Expired())
}

// A call that can't go on elsewhere would lose its response to a target that is silent for
// a while.
func TestTargetConn_WaitsOnUntilCallMayBeGivenUp(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c, remote := targetConnPair(t, clock)
	mayGiveUp, asked := false, make(chan struct{}, 1)
	c.mayGiveUp = func() bool {
		asked <- struct{}{}
		return mayGiveUp
	}
	c.arm(time.Second)
	read := make(chan error, 1)
	readByte := func() {
		_, err := c.reader.ReadByte()
		read <- err
	}
	go readByte()
	clock.Advance(time.Second)
	<-asked
	for range 2 {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(time.Second / giveUpChecksPerTimeout)
		<-asked
	}
	_, err := remote.Write([]byte("x"))
	require.NoError(t, err)
	require.NoError(t, <-read, "the data of a target that goes on is read")

	c.arm(time.Second)
	mayGiveUp = true
	go readByte()
	clock.Advance(time.Second)
	<-asked
	require.ErrorIs(t, <-read, os.ErrDeadlineExceeded)
	require.True(t, c.watchdog.Expired())
}
