package meter

import (
	"net"
	"syscall"
)

// handshakeBytes is what a server sends to open and close a connection: two segments for each.
const handshakeBytes = 4 * packetOverheadBytes

// listener reports what its connections send.
type listener struct {
	net.Listener
	onSent func(bytes int)
}

// WrapListener returns a listener whose connections call onSent with the bytes that they send,
// headers and acknowledgements included.
func WrapListener(inner net.Listener, onSent func(bytes int)) net.Listener {
	return &listener{Listener: inner, onSent: onSent}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // Servers look for the errors of their listeners.
	}
	l.onSent(handshakeBytes)
	return &sentConn{Conn: conn, onSent: l.onSent}, nil
}

// sentConn is a connection of a listener.
type sentConn struct {
	net.Conn
	onSent func(bytes int)
}

// Read reads from the connection and reports the acknowledgement.
func (c *sentConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.onSent(acknowledgementBytes)
	}
	return n, err
}

// Write writes to the connection and reports the bytes.
func (c *sentConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.onSent(n + packetOverheadBytes)
	}
	return n, err
}

// CloseWrite closes the connection for writing.
func (c *sentConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return syscall.EINVAL
	}
	return half.CloseWrite()
}

// SyscallConn returns the descriptor of the connection.
func (c *sentConn) SyscallConn() (syscall.RawConn, error) {
	systemConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return systemConn.SyscallConn()
}
