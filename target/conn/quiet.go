package conn

import (
	"net"
	"syscall"
)

// IsIdle reports whether nothing waits to be read on an idle connection: no
// byte, no end and no error. It does not block. A connection whose bytes are
// swallowed on the way is quiet too.
func IsIdle(c net.Conn) bool {
	system, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = peekErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
