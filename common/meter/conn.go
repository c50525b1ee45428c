package meter

import "net"

// packetOverheadBytes is the size of the TCP and IP headers of one segment,
// including options.
const packetOverheadBytes = 52

// acknowledgementBytes is the acknowledgement traffic per segment in the opposite
// direction. TCP delays acknowledgements and sends one for two segments, or none
// where a response carries it.
const acknowledgementBytes = packetOverheadBytes / 2

// Conn counts a connection's bytes as control traffic. Each read and write is
// counted as one segment with its headers and acknowledgement share.
type Conn struct {
	net.Conn
	control *ControlTraffic
}

// WrapConn returns a connection that counts the bytes of conn.
func (c *ControlTraffic) WrapConn(conn net.Conn) net.Conn {
	return &Conn{Conn: conn, control: c}
}

// WrapAfter returns WrapConn for connections that wrap, which may be nil, has wrapped
// before.
func (c *ControlTraffic) WrapAfter(wrap func(net.Conn) net.Conn) func(net.Conn) net.Conn {
	if wrap == nil {
		return c.WrapConn
	}
	return func(conn net.Conn) net.Conn { return c.WrapConn(wrap(conn)) }
}

// Read reads from the connection and counts the bytes.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.control.AddReceived(n + packetOverheadBytes)
		c.control.AddSent(acknowledgementBytes)
	}
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.control.AddSent(n + packetOverheadBytes)
		c.control.AddReceived(acknowledgementBytes)
	}
	return n, err
}
