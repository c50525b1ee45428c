package conn

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The operating system reports a reset to one operation. A caller that has reset its connection must
// count as gone whichever operation took the report, and however often it is asked.
func TestIsClosed_WhoeverTookTheReport(t *testing.T) {
	read := func(c *net.TCPConn) error { _, err := c.Read(make([]byte, 1)); return err }
	write := func(c *net.TCPConn) error { _, err := c.Write([]byte("x")); return err }
	for name, take := range map[string]func(*net.TCPConn) error{
		"read":  read,
		"write": write,
		"check for pending input": func(c *net.TCPConn) error {
			_, err := PendingInput(c)
			return err
		},
		"socket option": func(c *net.TCPConn) error {
			raw, err := c.SyscallConn()
			if err != nil {
				return err
			}
			pending := 0
			if controlErr := raw.Control(func(descriptor uintptr) {
				pending, err = syscall.GetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_ERROR)
			}); controlErr != nil || err != nil {
				return controlErr
			}
			if pending == 0 {
				return nil
			}
			return syscall.Errno(pending)
		},
		"check for a close": func(c *net.TCPConn) error {
			if IsClosed(c) {
				return syscall.ECONNRESET
			}
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			local, remote := connPair(t)
			require.NoError(t, remote.(*net.TCPConn).SetLinger(0))
			require.NoError(t, remote.Close())
			require.Eventually(t, func() bool { return take(local.(*net.TCPConn)) != nil }, 10*time.Second, time.Millisecond)
			for range 3 {
				require.True(t, IsClosed(local))
			}
		})
	}
}
