//go:build !linux

package conn

import "net"

// CheckNotAborted returns nil: the state of a connection is known only on Linux.
func CheckNotAborted(net.Conn) error { return nil }
