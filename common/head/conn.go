package head

import (
	"bufio"
	"net"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// ErrUnframed reports a response with a body that only the end of its connection delimits.
var ErrUnframed = errors.New("response with neither a length nor chunks")

// Conn is a client's connection to one of our own servers that checks the heads of responses
// before its reader gets them. The client must write each request completely before it reads the
// response. Our servers frame their responses, so that one that isn't framed is refused: its end
// could not be told from a truncation.
type Conn struct {
	net.Conn
	reader *bufio.Reader
	// unread is the number of bytes of the current head that have not been read.
	unread int
	// inBody is set from the head of the final response to the next request.
	inBody bool
	// err ends the connection.
	err error
}

// NewConn returns a connection that checks the responses on c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, reader: bufio.NewReader(c)} }

// Dial opens a connection that checks responses. It fits fasthttp.Client.Dial.
func Dial(address string) (net.Conn, error) {
	c, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// Write writes a part of a request.
func (c *Conn) Write(p []byte) (int, error) {
	c.unread, c.inBody = 0, false
	return c.Conn.Write(p)
}

// Read reads a part of a response. It returns ErrMalformed within a head that violates the
// grammar, and ErrUnframed within one that doesn't frame a body.
func (c *Conn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	if c.unread == 0 && !c.inBody {
		head, err := Peek(c.reader)
		if err == nil && !head.IsFramed && head.mayHaveBody() {
			err = errors.Wrapf(ErrUnframed, "status %d", head.Status)
		}
		if err != nil {
			return c.readBeforeError(p, err)
		}
		c.unread, c.inBody = head.Size, !head.IsInterim()
	}
	if c.unread > 0 {
		p = p[:min(len(p), c.unread)]
	}
	n, err := c.reader.Read(p)
	c.unread = max(c.unread-n, 0)
	return n, err
}

// readBeforeError returns err with the next read if a part of the head has arrived. The
// HTTP library replaces any error before the first byte by that of a closed connection.
func (c *Conn) readBeforeError(p []byte, err error) (int, error) {
	if c.reader.Buffered() == 0 {
		return 0, err
	}
	c.err = errors.Wrap(err, "read response")
	return c.reader.Read(p[:min(len(p), 1)])
}
