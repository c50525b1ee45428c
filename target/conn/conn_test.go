package conn

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// closed counts the closings.
type closed struct{ closings chan struct{} }

func newClosed() *closed { return &closed{closings: make(chan struct{}, 8)} }

func (c *closed) Close() error {
	c.closings <- struct{}{}
	return nil
}

func TestAGuardClosesAfterItsBudget(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newClosed()
	guard := NewWatchdog(clock, c)
	guard.Arm(time.Second)
	clock.Advance(time.Second)
	<-c.closings
	require.True(t, guard.Expired())
}

func TestAGuardThatIsDisarmedOrArmedAgainDoesNotClose(t *testing.T) {
	clock := clockwork.NewFakeClock()
	c := newClosed()
	guard := NewWatchdog(clock, c)
	guard.Arm(2 * time.Second)
	clock.Advance(time.Second)
	guard.Arm(2 * time.Second)
	clock.Advance(time.Second)
	guard.Disarm()
	clock.Advance(time.Hour)
	guard.Arm(0)
	clock.Advance(time.Hour)
	require.False(t, guard.Expired())
	guard.Arm(time.Second)
	clock.Advance(time.Second)
	<-c.closings
	require.Empty(t, c.closings)
}

// pair returns the two ends of a connection.
func pair(t *testing.T) (net.Conn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far
}

func TestQuietSeesBytesAndTheEnd(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn) error{
		"a byte":  func(c net.Conn) error { _, err := c.Write([]byte{1}); return err },
		"its end": func(c net.Conn) error { return c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := pair(t)
			require.True(t, IsIdle(near))
			require.NoError(t, disturb(far))
			require.Eventually(t, func() bool { return !IsIdle(near) }, 10*time.Second, time.Millisecond)
		})
	}
	near, _ := pair(t)
	require.NoError(t, near.Close())
	require.False(t, IsIdle(near))
}
