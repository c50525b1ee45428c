package conn

import (
	"net"
	"syscall"
)

// IsClosed reports whether the peer has closed or reset a connection, as far as it is known
// here, and nothing that it sent before is left to read. It does not block. A connection that
// is no socket counts as open.
func IsClosed(c net.Conn) bool {
	closed := false
	err := peek(c, func(count int, err error) {
		closed = err == nil && count == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return err == nil && closed
}

// peek passes the result of peeking at the input of a connection to inspect. It returns an
// error if the connection is no socket.
func peek(c net.Conn, inspect func(count int, err error)) error {
	systemConn, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := systemConn.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		inspect(count, err)
		return true
	})
}
