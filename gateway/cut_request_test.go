package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// statusHead is the head of a call whose body follows in any framing.
const statusHead = "POST /v1/services/Reviews/Status HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\n"

// soundResponse is the response of a target.
const soundResponse = "HTTP/1.1 200 OK\r\nComfreytiller-Request: {id}\r\nContent-Length: 2\r\n\r\nok"

// maxCuts limits the cuts of one request.
const maxCuts = 200

// framedRequests holds a request in each framing of a body.
var framedRequests = map[string]string{
	"length":  statusHead + "Content-Length: 12\r\n\r\nhello, world",
	"chunks":  statusHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n7\r\n, world\r\n0\r\n\r\n",
	"trailer": statusHead + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
	// The server reads the beginning of a long body before the handler is called.
	"long":     statusHead + "Content-Length: 20000\r\n\r\n" + strings.Repeat("x", 20_000),
	"continue": statusHead + "Expect: 100-continue\r\nContent-Length: 12\r\n\r\nhello, world",
}

// callerEnds holds the ways in which a caller ends its connection.
var callerEnds = map[string]func(*net.TCPConn) error{
	"close":      (*net.TCPConn).Close,
	"half-close": (*net.TCPConn).CloseWrite,
	"reset": func(c *net.TCPConn) error {
		_ = c.SetLinger(0)
		return c.Close()
	},
}

// dialCaller opens a connection to the gateway.
func (f *fixture) dialCaller() *net.TCPConn {
	c, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = c.Close() })
	require.NoError(f.t, c.SetDeadline(time.Now().Add(testTimeout)))
	return c.(*net.TCPConn)
}

// awaitNoConnections waits until the server has closed the connections of all callers.
func (f *fixture) awaitNoConnections() {
	f.t.Helper()
	eventually(f.t, func() bool { return f.gateway.server.GetOpenConnectionsCount() == 0 }, "all connections of callers are closed")
}

// A part of a request must not be run as a whole one. The server reads an error of the
// connection or, if another operation took its report, an orderly end, and neither may end a body.
func TestCutRequest_IsNotRun(t *testing.T) {
	for framing, request := range framedRequests {
		for order, end := range callerEnds {
			t.Run(framing+", "+order, func(t *testing.T) {
				t.Parallel()
				f := newFixture(t)
				var runs atomic.Int64
				f.addRawTarget("engine-1", func(*http.Request) rawResponse {
					runs.Add(1)
					return rawResponse{text: soundResponse}
				})
				for cut := 0; cut < len(request); cut += 1 + len(request)/maxCuts {
					c := f.dialCaller()
					_, err := io.WriteString(c, request[:cut])
					require.NoError(t, err)
					require.NoError(t, end(c))
					if order == "half-close" {
						_, _ = io.Copy(io.Discard, c)
						_ = c.Close()
					}
				}
				// The connection of the whole request is accepted after the others.
				c := f.dialCaller()
				_, err := io.WriteString(c, request)
				require.NoError(t, err)
				eventually(t, func() bool { return runs.Load() > 0 }, "the whole request is run")
				require.NoError(t, c.Close())
				f.awaitNoConnections()
				require.EqualValues(t, 1, runs.Load(), "only the whole request is run")
			})
		}
	}
}

// While a request is served, the watch for a disconnect reads beside the server, and takes the
// report of a reset. The server then finds an orderly end behind the part of the next
// request that has arrived, which must not be run as a whole one.
func TestCutRequest_BehindServedOneIsNotRun(t *testing.T) {
	for framing, request := range framedRequests {
		for order, end := range callerEnds {
			for _, arrival := range []string{"with the first", "during the first"} {
				t.Run(fmt.Sprintf("%s, %s, %s", framing, order, arrival), func(t *testing.T) {
					t.Parallel()
					f := newFixture(t)
					var runs atomic.Int64
					arrived, proceed := make(chan struct{}), make(chan struct{})
					f.addRawTarget("engine-1", func(*http.Request) rawResponse {
						runs.Add(1)
						arrived <- struct{}{}
						<-proceed
						return rawResponse{text: soundResponse}
					})
					cuts := 0
					for cut := len(request) - 1; cut > 0; cut -= 1 + len(request)/maxCuts {
						cuts++
						c := f.dialCaller()
						// A call that runs at most once is not cancelled when its caller leaves.
						first, rest := strings.Replace(statusHead, "Reviews/Status", "Treasury/Pay", 1)+"Content-Length: 2\r\n\r\n{}", request[:cut]
						if arrival == "with the first" {
							first, rest = first+rest, ""
						}
						_, err := io.WriteString(c, first)
						require.NoError(t, err)
						<-arrived
						_, err = io.WriteString(c, rest)
						require.NoError(t, err)
						require.NoError(t, end(c))
						proceed <- struct{}{}
						if order == "half-close" {
							_, _ = io.Copy(io.Discard, c)
							_ = c.Close()
						}
						f.awaitNoConnections()
					}
					require.EqualValues(t, cuts, runs.Load(), "the first request of each connection has run")
				})
			}
		}
	}
}
