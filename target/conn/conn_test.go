package conn

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// closeRecorder records calls of Close.
type closeRecorder struct{ closes chan struct{} }

func newCloseRecorder() *closeRecorder { return &closeRecorder{closes: make(chan struct{}, 8)} }

func (c *closeRecorder) Close() error {
	c.closes <- struct{}{}
	return nil
}

func TestWatchdog_ClosesAfterTimeout(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCloseRecorder()
	watchdog := NewWatchdog(clock, c)
	watchdog.Arm(time.Second)
	clock.Advance(time.Second)
	<-c.closes
	require.True(t, watchdog.Expired())
}

func TestWatchdog_DisarmedOrRearmedDoesNotClose(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newCloseRecorder()
	watchdog := NewWatchdog(clock, c)
	watchdog.Arm(2 * time.Second)
	clock.Advance(time.Second)
	watchdog.Arm(2 * time.Second)
	clock.Advance(time.Second)
	watchdog.Disarm()
	clock.Advance(time.Hour)
	watchdog.Arm(0)
	clock.Advance(time.Hour)
	require.False(t, watchdog.Expired())
	watchdog.Arm(time.Second)
	clock.Advance(time.Second)
	<-c.closes
	require.Empty(t, c.closes)
}

// A read watchdog that closed its connection would lose data that has arrived.
func TestReadWatchdog_InterruptsAndCanBeReset(t *testing.T) {
	clock := clockwork.NewFakeClock()
	local, remote := connPair(t)
	watchdog := NewReadWatchdog(clock, local)
	watchdog.Arm(time.Second)
	clock.Advance(time.Second)
	buffer := make([]byte, 1)
	_, err := local.Read(buffer)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.True(t, watchdog.Expired())

	watchdog.Reset()
	require.False(t, watchdog.Expired())
	require.NoError(t, local.SetReadDeadline(time.Time{}))
	_, err = remote.Write([]byte("x"))
	require.NoError(t, err)
	_, err = local.Read(buffer)
	require.NoError(t, err)
}

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (net.Conn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	local, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	remote, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = local.Close(); _ = remote.Close() })
	return local, remote
}

func TestIsIdle_DetectsDataAndEndOfStream(t *testing.T) {
	for name, act := range map[string]func(net.Conn) error{
		"data":          func(c net.Conn) error { _, err := c.Write([]byte{1}); return err },
		"end of stream": func(c net.Conn) error { return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			local, remote := connPair(t)
			require.True(t, IsIdle(local))
			require.NoError(t, act(remote))
			require.Eventually(t, func() bool { return !IsIdle(local) }, 10*time.Second, time.Millisecond)
		})
	}
	local, _ := connPair(t)
	require.NoError(t, local.Close())
	require.False(t, IsIdle(local))
}

// A reset is reported once: whoever checks for input must get its error.
func TestPendingInput_ReportsReset(t *testing.T) {
	local, remote := connPair(t)
	pending, err := PendingInput(local)
	require.NoError(t, err)
	require.False(t, pending)
	require.NoError(t, remote.(*net.TCPConn).SetLinger(0))
	require.NoError(t, remote.Close())
	require.Eventually(t, func() bool {
		pending, err = PendingInput(local)
		return pending || err != nil
	}, 10*time.Second, time.Millisecond)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.False(t, pending)
	pending, err = PendingInput(local)
	require.NoError(t, err)
	require.True(t, pending, "an orderly end")
}
