package intake

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// Announcements of targets and orders of operators arrive here. A part of one must not reach its
// handler, by whichever end of the connection, since a body may be sound without its rest.
func TestServer_CutRequestIsNotHandled(t *testing.T) {
	const head = "PUT /a HTTP/1.1\r\nHost: h\r\n"
	for framing, request := range map[string]string{
		"no body":  head + "\r\n",
		"length":   head + "Content-Length: 12\r\n\r\nhello, world",
		"chunks":   head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
		"continue": head + "Expect: 100-continue\r\nContent-Length: 12\r\n\r\nhello, world",
	} {
		for order, end := range map[string]func(*net.TCPConn) error{
			"close":      (*net.TCPConn).Close,
			"half-close": (*net.TCPConn).CloseWrite,
			"reset":      func(c *net.TCPConn) error { _ = c.SetLinger(0); return c.Close() },
		} {
			t.Run(framing+", "+order, func(t *testing.T) {
				t.Parallel()
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer func() { _ = listener.Close() }()
				var handled atomic.Int64
				server := NewServer(ServerConfig{MaxBodyBytes: 100, MaxConnections: 1 << 10, Handler: func(*fasthttp.RequestCtx) { handled.Add(1) }})
				budget := NewBudget(BudgetConfig{Limit: 1 << 30})
				go func() {
					_ = server.Serve(NewListener(listener, ListenerConfig{Budget: budget, MaxConnections: 1 << 10}))
				}()
				dial := func() *net.TCPConn {
					c, err := net.Dial("tcp", listener.Addr().String())
					require.NoError(t, err)
					require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
					return c.(*net.TCPConn)
				}
				for cut := range len(request) {
					c := dial()
					_, err = io.WriteString(c, request[:cut])
					require.NoError(t, err)
					require.NoError(t, end(c))
					if order == "half-close" {
						_, _ = io.Copy(io.Discard, c)
						require.NoError(t, c.Close())
					}
				}
				// The connection of the whole request is accepted after the others.
				c := dial()
				_, err = io.WriteString(c, request)
				require.NoError(t, err)
				require.Eventually(t, func() bool { return handled.Load() > 0 }, testTimeout, time.Millisecond)
				require.NoError(t, c.Close())
				require.Eventually(t, func() bool { return server.GetOpenConnectionsCount() == 0 }, testTimeout, time.Millisecond)
				require.EqualValues(t, 1, handled.Load(), "only the whole request is handled")
			})
		}
	}
}
