package conn

import (
	"net"
	"syscall"
)

// IsIdle reports whether an unused connection has no pending input: no data, no end
// of stream and no error. It does not block. A connection whose packets are lost on
// the network also appears idle.
func IsIdle(c net.Conn) bool {
	systemConn, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := systemConn.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
