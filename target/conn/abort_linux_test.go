package conn

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// takeReport takes the error of a connection from the operating system, as any system call on
// it may.
func takeReport(t *testing.T, c net.Conn) syscall.Errno {
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	var reported int
	require.NoError(t, raw.Control(func(descriptor uintptr) {
		reported, err = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
	}))
	require.NoError(t, err)
	return syscall.Errno(reported)
}

// reset resets the connection of a peer.
func reset(t *testing.T, peer net.Conn) {
	require.NoError(t, peer.(*net.TCPConn).SetLinger(0))
	require.NoError(t, peer.Close())
}

// Once another operation has taken the report of a reset, reads find an orderly end. The check
// must not depend on who took it, and must leave orderly ends alone.
func TestCheckNotAborted_FindsResetThatWasReported(t *testing.T) {
	takers := map[string]func(t *testing.T, c net.Conn){
		"nobody":      func(*testing.T, net.Conn) {},
		"read":        func(_ *testing.T, c net.Conn) { _, _ = c.Read(make([]byte, 1)) },
		"write":       func(_ *testing.T, c net.Conn) { _, _ = c.Write([]byte("x")) },
		"check":       func(_ *testing.T, c net.Conn) { _, _ = PendingInput(c) },
		"system call": func(t *testing.T, c net.Conn) { takeReport(t, c) },
	}
	for name, take := range takers {
		t.Run(name, func(t *testing.T) {
			local, remote := connPair(t)
			require.NoError(t, CheckNotAborted(local), "open")
			reset(t, remote)
			require.Eventually(t, func() bool { return !IsIdle(local) || CheckNotAborted(local) != nil }, 10*time.Second, time.Millisecond)
			take(t, local)
			require.ErrorIs(t, CheckNotAborted(local), ErrAborted)
			require.ErrorIs(t, CheckNotAborted(local), ErrAborted, "also when asked again")
		})
	}
	for name, end := range map[string]func(t *testing.T, peer net.Conn){
		"closed":      func(t *testing.T, peer net.Conn) { require.NoError(t, peer.Close()) },
		"half-closed": func(t *testing.T, peer net.Conn) { require.NoError(t, peer.(*net.TCPConn).CloseWrite()) },
		"reset after an orderly end": func(t *testing.T, peer net.Conn) {
			require.NoError(t, peer.(*net.TCPConn).CloseWrite())
			reset(t, peer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			local, remote := connPair(t)
			end(t, remote)
			require.Eventually(t, func() bool { return !IsIdle(local) }, 10*time.Second, time.Millisecond)
			require.NoError(t, CheckNotAborted(local))
		})
	}
	pipe, _ := net.Pipe()
	require.NoError(t, CheckNotAborted(pipe), "no socket")
	local, _ := connPair(t)
	require.NoError(t, local.Close())
	require.ErrorIs(t, CheckNotAborted(local), ErrAborted, "closed here")
}

// awaitClosed waits until the operating system has noticed the reset of a connection, without taking
// the report.
func awaitClosed(t *testing.T, c net.Conn) {
	raw, err := c.(syscall.Conn).SyscallConn()
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		var state uint8
		require.NoError(t, raw.Control(func(descriptor uintptr) {
			info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
			require.NoError(t, err)
			state = info.State
		}))
		return state == tcpClose
	}, 10*time.Second, time.Millisecond)
}

// A reset that nobody was told of must not pass for one that follows an orderly end, which is
// pending as well, nor the other way round.
func TestCheckNotAborted_TellsPendingResets(t *testing.T) {
	for name, test := range map[string]struct {
		closesBefore bool
		want         error
	}{
		"open": {false, ErrAborted}, "half-closed": {true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			local, remote := connPair(t)
			if test.closesBefore {
				require.NoError(t, remote.(*net.TCPConn).CloseWrite())
				require.Eventually(t, func() bool { return !IsIdle(local) }, 10*time.Second, time.Millisecond)
			}
			reset(t, remote)
			awaitClosed(t, local)
			require.ErrorIs(t, CheckNotAborted(local), test.want)
		})
	}
}
