package conn

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the state of a TCP connection that was aborted. One that only its peer has closed
// is in another state.
const tcpClose = 7

// CheckNotAborted returns ErrAborted if a connection whose input has ended was reset or has timed
// out, unless its peer had closed it in an orderly way before. The operating system reports the
// error of a connection to one system call, and an orderly end to all later ones, so that
// the end of the input alone proves nothing. It takes a pending report itself. A connection that
// was closed here tells no more, and counts as aborted; one that is no TCP socket counts as not
// aborted.
func CheckNotAborted(c net.Conn) error {
	systemConn, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := systemConn.SyscallConn()
	if err != nil {
		return nil //nolint:nilerr // It has no descriptor.
	}
	var state uint8
	var pending int
	var infoErr, pendingErr error
	err = raw.Control(func(descriptor uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
		pending, pendingErr = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	switch {
	case err != nil:
		return errors.Wrapf(ErrAborted, "%v", err)
	case infoErr != nil || pendingErr != nil || state != tcpClose:
		return nil
	case syscall.Errno(pending) == syscall.EPIPE:
		// A reset that follows an orderly end is reported in this way.
		return nil
	case pending != 0:
		return errors.Wrapf(ErrAborted, "%v", syscall.Errno(pending))
	}
	return ErrAborted
}
