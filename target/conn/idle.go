package conn

import (
	"net"
	"syscall"

	"github.com/go-faster/errors"
)

// errNoSocket reports a connection without a descriptor.
var errNoSocket = errors.New("the connection is no socket")

// PendingInput reports whether a connection has input that was not read: data or its end. It
// returns the error of a connection that has failed, such as a reset, which the operating system
// reports only once: the next read would find an orderly end. It does not block. A
// connection that is no socket, or that was closed here, counts as one with input.
func PendingInput(c net.Conn) (pending bool, err error) {
	pending = true
	peekErr := peek(c, func(_ int, inputErr error) {
		switch inputErr {
		case syscall.EAGAIN:
			pending = false
		case nil, syscall.EINTR:
		default:
			pending, err = false, inputErr
		}
	})
	if peekErr != nil {
		return true, nil
	}
	return pending, err
}

// IsIdle reports whether an unused connection has no pending input: no data, no end
// of stream and no error. It does not block. A connection whose packets are lost on
// the network also appears idle.
func IsIdle(c net.Conn) bool {
	pending, err := PendingInput(c)
	return err == nil && !pending
}
