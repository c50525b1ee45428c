package meter

import "net"

// packetOverheadBytes is what TCP and IP add to one segment, options included.
const packetOverheadBytes = 52

// Conn counts a connection's bytes as control traffic. Each write and read
// counts one segment's headers and one acknowledgement the other way, which is
// an upper bound where segments carry several writes.
type Conn struct {
	net.Conn
	control *Control
}

// Wrap returns conn with its bytes counted.
func (c *Control) Wrap(conn net.Conn) net.Conn {
	return &Conn{Conn: conn, control: c}
}

// Read reads and counts.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.control.Received(n + packetOverheadBytes)
		c.control.Sent(packetOverheadBytes)
	}
	return n, err
}

// Write writes and counts.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.control.Sent(n + packetOverheadBytes)
		c.control.Received(packetOverheadBytes)
	}
	return n, err
}
