package intake

import (
	"bytes"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// ErrLeadingLines is returned by reads if a client sends too many empty lines before a request.
var ErrLeadingLines = errors.New("too many empty lines before a request")

const (
	// stackBytes is what a connection holds besides its buffer: the stack of its goroutine,
	// the state of the HTTP server and a buffer for writing.
	stackBytes = 12 << 10
	// lineBytes is the memory of a header line beyond its bytes: fasthttp's field and its
	// copies, our copy of the field, and that which is sent on. Estimated with the shortest lines.
	lineBytes = 320
	// freeLines is the number of lines that are not counted. Ordinary requests have fewer.
	freeLines = 64
	// shortestLine is the size of the shortest header line.
	shortestLine = 4
	// maxBufferedReads limits the reads of a head that begins in the buffer of the server, and
	// maxFramingReads those of the framing between two parts of a body. Each costs the server
	// another pass over what it has.
	maxBufferedReads = 256
	maxFramingReads  = 4096
	// streamBytes is the most that a server writes at once of a stream, of which it holds no more.
	streamBytes = 4 << 10
	// writeBytes is the part of a response after which the client is seen to read.
	writeBytes = 64 << 10
)

// Conn accounts for what a connection holds. It fills the server's buffer with a whole head
// before it returns, so that the server parses it once. Its owner calls Enter.
type Conn struct {
	net.Conn
	holding holding
	// bufferBytes is the size of the server's buffer.
	bufferBytes int
	phase       Phase
	scanner     headScanner
	// linesHeld are the bytes that are held for header lines.
	linesHeld int
	isFirst   bool
	// hasLine is set once the first line was returned to the server, which checks it at once.
	hasLine bool
	// isBuffered is set if the head begins in the server's buffer, where it can't be scanned.
	isBuffered bool
	reads      int
	// isChunked is set if a body in chunks is being read.
	isChunked bool
	// framingLines are the lines read since the body has last given a part.
	framingLines int

	mu     sync.Mutex
	isShed bool
	// lingers is set if the response must not be lost to a reset.
	lingers   bool
	closeOnce sync.Once
	lingerers *lingerers
}

// NewConn accounts for a connection in a budget. owner identifies its listener, bufferBytes is the
// size of the server's buffer for reading.
func NewConn(inner net.Conn, budget *Budget, owner any, bufferBytes int) (*Conn, error) {
	c := &Conn{Conn: inner, bufferBytes: bufferBytes, isFirst: true}
	c.holding.owner, c.holding.shed = owner, c.shed
	if err := budget.open(&c.holding, c.baseBytes()); err != nil {
		return nil, err
	}
	return c, nil
}

// BufferBytes returns the size of the server's buffer for reading.
func (c *Conn) BufferBytes() int { return c.bufferBytes }

// baseBytes is what a connection holds without a request.
func (c *Conn) baseBytes() int { return c.bufferBytes + stackBytes }

// shed ends the connection's request: a read fails, and the response that follows says so. A
// connection that does not take its response is closed.
func (c *Conn) shed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isShed = true
	if c.holding.phase == Serving {
		_ = c.Conn.Close()
		return
	}
	// This fails only on a closed connection.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// Shed reports whether the connection's request was shed.
func (c *Conn) Shed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isShed
}

// SetReadDeadline sets the deadline of reads, except on a connection that was shed.
func (c *Conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isShed {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline) //nolint:wrapcheck // The server recognizes timeouts by their type.
}

// Enter begins a phase.
func (c *Conn) Enter(phase Phase) error {
	c.phase = phase
	c.holding.enter(phase, c.baseBytes())
	switch phase {
	case Waiting:
		c.scanner, c.linesHeld, c.hasLine, c.isBuffered, c.isFirst = headScanner{}, 0, false, false, false
	case Head:
		c.reads = 0
		if !c.isFirst && !c.scanner.hasBegun {
			// The head begins behind the request before, and may be any.
			c.isBuffered = true
			return c.holdLines(c.bufferBytes / shortestLine)
		}
	case Body, Serving:
		c.reads, c.framingLines, c.isChunked = 0, 0, false
	}
	return nil
}

// Observe tells of bytes of the next head that were read while the request before was served.
func (c *Conn) Observe(p []byte) { c.scanner.scan(c.scanner.skipLeading(p)) }

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	if c.phase == Serving {
		return c.Conn.Read(p)
	}
	if c.Shed() {
		return 0, os.ErrDeadlineExceeded
	}
	switch {
	case c.phase == Body:
		return c.readBody(p)
	case c.isBuffered:
		if c.reads++; c.reads > maxBufferedReads {
			return 0, os.ErrDeadlineExceeded
		}
		return c.Conn.Read(p)
	}
	return c.readHead(p)
}

// readHead reads until the first line, the head or the buffer is complete.
func (c *Conn) readHead(p []byte) (int, error) {
	total := 0
	for {
		n, err := c.Conn.Read(p[total:])
		read := p[total : total+n]
		kept := c.scanner.skipLeading(read)
		if c.scanner.isOverLeading() {
			c.linger()
			return total, ErrLeadingLines
		}
		total += copy(read, kept)
		c.scanner.scan(p[total-len(kept) : total])
		if c.scanner.lines > freeLines && err == nil {
			err = c.holdLines(c.scanner.lines - freeLines)
		}
		isLine := !c.hasLine && c.scanner.lines > 0
		if err != nil || c.scanner.hasEnded || isLine || total == len(p) || (c.phase == Waiting && total > 0) {
			c.hasLine = c.hasLine || isLine
			return total, err
		}
	}
}

// holdLines reserves memory for header lines.
func (c *Conn) holdLines(lines int) error {
	more := lines*lineBytes - c.linesHeld
	if more <= 0 {
		return nil
	}
	if err := c.holding.take(more, 0); err != nil {
		c.refuse()
		return os.ErrDeadlineExceeded
	}
	c.linesHeld += more
	return nil
}

// refuse ends the connection's own request.
func (c *Conn) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isShed = true
}

// readBody reads a part of a body or of its framing. Trailers have lines like a head, which the
// server keeps while it waits for the rest.
func (c *Conn) readBody(p []byte) (int, error) {
	if !c.isChunked {
		return c.Conn.Read(p)
	}
	if c.reads++; c.reads > 1 && c.framingLines > freeLines {
		if err := c.holdLines(c.linesHeld/lineBytes + c.framingLines); err != nil {
			return 0, err
		}
		c.framingLines = 0
	}
	if c.reads > maxFramingReads {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	c.framingLines += bytes.Count(p[:n], []byte{'\n'})
	return n, err
}

// progressed tells that the body has given a part.
func (c *Conn) progressed() { c.reads, c.framingLines = 0, 0 }

// Hold reserves memory for a response. It waits for clients that don't read theirs.
func (c *Conn) Hold(bytes int) error { return c.holding.take(bytes, maxResponseWait) }

// Write writes to the connection in parts, which show that the client reads.
func (c *Conn) Write(p []byte) (int, error) {
	if len(p) <= streamBytes {
		return c.Conn.Write(p)
	}
	written := 0
	for written < len(p) {
		n, err := c.writePart(p[written:min(written+writeBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

func (c *Conn) writePart(p []byte) (int, error) {
	c.holding.write(true)
	defer c.holding.write(false)
	return c.Conn.Write(p)
}

// linger makes Close wait until the client has read the response.
func (c *Conn) linger() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingers = true
}

// SyscallConn returns the descriptor of the connection, by which a handler sees whether its client
// has left.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	systemConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return systemConn.SyscallConn()
}

// Close closes the connection and returns what it holds.
func (c *Conn) Close() error {
	phase := c.holding.close()
	c.mu.Lock()
	lingers := c.lingers || (c.isShed && phase != Serving)
	c.mu.Unlock()
	var err error
	c.closeOnce.Do(func() {
		if lingers && c.lingerers != nil && c.lingerers.tryClose(c.Conn) {
			return
		}
		err = c.Conn.Close()
	})
	return err
}
