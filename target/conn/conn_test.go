package conn

import (
	"net"
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
	for name, disturb := range map[string]func(net.Conn) error{
		"a byte":  func(c net.Conn) error { _, err := c.Write([]byte{1}); return err },
		"its end": func(c net.Conn) error { return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			local, remote := connPair(t)
			require.True(t, IsIdle(local))
			require.NoError(t, disturb(remote))
			require.Eventually(t, func() bool { return !IsIdle(local) }, 10*time.Second, time.Millisecond)
		})
	}
	local, _ := connPair(t)
	require.NoError(t, local.Close())
	require.False(t, IsIdle(local))
}
