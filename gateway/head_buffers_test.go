package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/fleet"
)

// headClient sends requests with a long header field on one connection.
type headClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (f *fixture) dialHeadClient(t *testing.T) *headClient {
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	return &headClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a payment with a header field of the given length.
func (c *headClient) send(fieldBytes int) *http.Response {
	_, err := fmt.Fprintf(c.conn, "POST %sTreasury/Pay HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\nX-Note: %s\r\nContent-Length: %d\r\n\r\n%s",
		PathServices, strings.Repeat("n", fieldBytes), len(paymentBody), paymentBody)
	require.NoError(c.t, err)
	response, err := http.ReadResponse(c.reader, nil)
	require.NoError(c.t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(c.t, err)
	require.NoError(c.t, response.Body.Close())
	return response
}

// allowHeaders puts a configuration with a limit of headers in force.
func (f *fixture) allowHeaders(bytes int) {
	changed := *f.catalog.Fleet()
	changed.Requests = fleet.RequestLimits{HeaderBytes: bytes}
	f.catalog.changed.Store(&changed)
}

// Guards against a limit of the configuration that is acknowledged and that no host keeps: requests
// with headers that it allows were refused with 431.
func TestHeadBuffers_HeadersThatTheConfigurationAllowsAreServed(t *testing.T) {
	f := newFixture(t, WithMaxHeadBuffer(128<<10))
	plain := f.addPlain("treasury-1")
	earlier, idle := f.dialHeadClient(t), f.dialHeadClient(t)
	for _, c := range []*headClient{earlier, idle} {
		response := c.send(1 << 10)
		require.Equal(t, 200, response.StatusCode)
		require.False(t, response.Close)
	}
	require.Equal(t, 431, f.dialHeadClient(t).send(40<<10).StatusCode)

	f.allowHeaders(64 << 10)
	later := f.dialHeadClient(t)
	for _, fieldBytes := range []int{40 << 10, 1 << 10, 60 << 10} {
		response := later.send(fieldBytes)
		require.Equal(t, 200, response.StatusCode, "%d bytes", fieldBytes)
		require.False(t, response.Close)
	}
	response := earlier.send(1 << 10)
	require.Equal(t, 200, response.StatusCode)
	require.True(t, response.Close, "the next request needs a connection with a larger buffer")
	runs := plain.TotalRuns()
	response = idle.send(40 << 10)
	require.Equal(t, 503, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.True(t, response.Close)
	require.Equal(t, runs, plain.TotalRuns(), "not run")
	require.Equal(t, 431, f.dialHeadClient(t).send(200<<10).StatusCode, "beyond the limit of the host")

	f.allowHeaders(8 << 10)
	require.Equal(t, 431, f.dialHeadClient(t).send(40<<10).StatusCode)
	require.NoError(t, f.gateway.Drain(t.Context()))
}

// Larger buffers are part of the memory for callers: fewer connections are admitted, and those
// that are get responses.
func TestHeadBuffers_AreHeldWithinTheMemoryForCallers(t *testing.T) {
	const memory, buffer = 4 << 20, 512 << 10
	f := newFixture(t, WithMaxHeadBuffer(buffer), WithRequestMemory(memory))
	f.addPlain("treasury-1")
	f.allowHeaders(256 << 10)
	var open []net.Conn
	for range 4 * memory / buffer {
		conn, err := net.Dial("tcp", f.address)
		require.NoError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nX-Note: "+strings.Repeat("n", 1<<10))
		require.NoError(t, err)
		open = append(open, conn)
	}
	require.Eventually(t, func() bool { return f.dialHeadClient(t).send(200<<10).StatusCode == 200 }, testTimeout, 50*time.Millisecond)
	require.LessOrEqual(t, f.gateway.memory.Used(), memory)
	require.Len(t, open, 4*memory/buffer)
}
