package intake

import (
	"bytes"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"
)

// pipeConn is a connection whose client has sent all of its bytes, and which gives them in
// pieces.
type pipeConn struct {
	net.Conn
	in    io.Reader
	reads int
}

func (c *pipeConn) Read(p []byte) (int, error) {
	c.reads++
	return c.in.Read(p)
}
func (c *pipeConn) SetReadDeadline(time.Time) error { return nil }
func (c *pipeConn) Close() error                    { return nil }

// newTestConn returns a connection within a budget.
func newTestConn(t require.TestingT, limit int, in io.Reader) *Conn {
	c, err := NewConn(&pipeConn{in: in}, NewBudget(BudgetConfig{Limit: limit}), nil, 32<<10)
	require.NoError(t, err)
	require.NoError(t, c.Enter(Head))
	return c
}

// A head that arrives byte by byte reaches the server in two parts, so that it is not parsed for
// each byte: the first line, which is checked at once, and the rest.
func TestConn_HeadReachesServerWhole(t *testing.T) {
	const line, rest = "GET / HTTP/1.1\r\n", "Host: h\r\nA:\r\n\r\n"
	c := newTestConn(t, 1<<20, iotest.OneByteReader(strings.NewReader("\r\n"+line+rest)))
	buffer := make([]byte, 1<<10)
	n, err := c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, line, string(buffer[:n]))
	n, err = c.Read(buffer)
	require.NoError(t, err)
	require.Equal(t, rest, string(buffer[:n]))
}

// Empty lines without end before a request end the connection, without a buffer for them.
func TestConn_EmptyLinesWithoutEnd(t *testing.T) {
	c := newTestConn(t, 1<<20, iotest.OneByteReader(strings.NewReader(strings.Repeat("\r\n", 1<<10))))
	n, err := c.Read(make([]byte, 1<<10))
	require.ErrorIs(t, err, ErrLeadingLines)
	require.Zero(t, n)
}

// Lines are held at their cost in memory, which is many times their size.
func TestConn_LinesAreHeldAtTheirCost(t *testing.T) {
	const lines = 4000
	head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", lines) + "\r\n"
	c := newTestConn(t, 4<<20, strings.NewReader(head))
	_, err := c.Read(make([]byte, 32<<10))
	require.NoError(t, err)
	require.GreaterOrEqual(t, c.holding.budget.Used(), (lines-freeLines)*lineBytes)
	require.NoError(t, c.Enter(Serving))
	require.NoError(t, c.Enter(Waiting))
	require.Equal(t, c.baseBytes(), c.holding.budget.Used())

	c = newTestConn(t, 1<<20, strings.NewReader(head))
	_, err = c.Read(make([]byte, 32<<10))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.True(t, c.Shed())
	require.NoError(t, c.Close())
	require.Zero(t, c.holding.budget.Used())
}

// A head that begins in the server's buffer, behind the request before, can't be scanned: it is held
// at the most that it may cost.
func TestConn_PipelinedHeadIsHeldAtTheMost(t *testing.T) {
	c := newTestConn(t, 8<<20, strings.NewReader(""))
	require.NoError(t, c.Enter(Body))
	require.NoError(t, c.Enter(Serving))
	require.NoError(t, c.Enter(Waiting))
	require.NoError(t, c.Enter(Head))
	require.GreaterOrEqual(t, c.holding.budget.Used(), 32<<10/shortestLine*lineBytes)
}

// FuzzHeadScanner checks that the end of a head and its lines are found at the same place
// however it is cut, and that they agree with a search in the whole text.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\nbody\n\n"), uint8(1))
	f.Add([]byte("GET / HTTP/1.1\nA:\n\r\n"), uint8(3))
	f.Add([]byte("a\r\r\n\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, text []byte, size uint8) {
		scan := func(size int) headScanner {
			s := headScanner{}
			for rest := text; len(rest) > 0; {
				n := min(size, len(rest))
				s.scan(s.skipLeading(bytes.Clone(rest[:n])))
				rest = rest[n:]
			}
			return s
		}
		whole, cut := scan(max(len(text), 1)), scan(int(size)+1)
		require.Equal(t, whole.hasEnded, cut.hasEnded)
		require.Equal(t, whole.lines, cut.lines)
		require.Equal(t, whole.leading, cut.leading)
		head := bytes.TrimLeft(text, "\r\n")
		require.Equal(t, len(text)-len(head), whole.leading)
		lines, ended := 0, false
		for !ended {
			line, rest, found := bytes.Cut(head, []byte("\n"))
			if !found {
				break
			}
			lines++
			ended = len(line) == 0 || string(line) == "\r"
			head = rest
		}
		require.Equal(t, ended, whole.hasEnded)
		require.Equal(t, lines, whole.lines)
	})
}

// FuzzReadBody checks that a body is read as it was sent or refused, never allocated far beyond
// what has arrived, and that a refused one holds nothing.
func FuzzReadBody(f *testing.F) {
	f.Add([]byte("body"), 4, 100, uint8(1), 1<<20)
	f.Add(bytes.Repeat([]byte("x"), 20_000), -1, 30_000, uint8(255), 1<<20)
	f.Add(bytes.Repeat([]byte("x"), 20_000), 40_000, 50_000, uint8(0), 60<<10)
	f.Fuzz(func(t *testing.T, text []byte, length, limit int, size uint8, memory int) {
		length, limit = max(length, -1), max(limit, 0)
		if length > limit || memory < 50<<10 || memory > 1<<30 {
			return
		}
		c := newTestConn(t, memory, nil)
		require.NoError(t, c.Enter(Body))
		before := c.holding.budget.Used()
		sent := text
		if length >= 0 {
			sent = text[:min(length, len(text))]
		}
		body, err := readBody(&pieces{text: sent, size: int(size) + 1}, c, length, limit)
		if err != nil {
			require.Nil(t, body)
			require.Equal(t, before, c.holding.budget.Used())
			return
		}
		require.Equal(t, string(sent), string(body))
		require.LessOrEqual(t, cap(body), max(2*len(body), firstBodyBytes)+1)
		require.Equal(t, before+cap(body), c.holding.budget.Used())
	})
}

// pieces gives a text in pieces.
type pieces struct {
	text []byte
	size int
}

func (p *pieces) Read(to []byte) (int, error) {
	if len(p.text) == 0 {
		return 0, io.EOF
	}
	n := copy(to, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}
