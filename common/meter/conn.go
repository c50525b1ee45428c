package meter

import "net"

// packetOverheadBytes is what TCP and IP add to one segment, options included.
const packetOverheadBytes = 52

// acknowledgementBytes is one segment's share of the acknowledgements that go the
// other way: TCP delays them and sends one for two segments, or none where an
// answer carries it.
const acknowledgementBytes = packetOverheadBytes / 2

// Conn counts a connection's bytes as control traffic. Each write and read
// counts as one segment with its headers and its share of acknowledgements.
type Conn struct {
	net.Conn
	control *ControlTraffic
}

// WrapConn returns conn with its bytes counted.
func (c *ControlTraffic) WrapConn(conn net.Conn) net.Conn {
	return &Conn{Conn: conn, control: c}
}

// Read reads and counts.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.control.AddReceived(n + packetOverheadBytes)
		c.control.AddSent(acknowledgementBytes)
	}
	return n, err
}

// Write writes and counts.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.control.AddSent(n + packetOverheadBytes)
		c.control.AddReceived(acknowledgementBytes)
	}
	return n, err
}
