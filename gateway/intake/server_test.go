package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const testTimeout = 10 * time.Second

// startServer starts a server that echoes bodies and returns its address.
func startServer(t *testing.T, memory, maxBody, maxConnections int) (string, *Budget) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	budget := NewBudget(BudgetConfig{Limit: memory})
	server := NewServer(ServerConfig{
		Handler:      func(ctx *fasthttp.RequestCtx) { ctx.SetBody(ctx.PostBody()) },
		MaxBodyBytes: maxBody, MaxConnections: maxConnections,
	})
	done := make(chan error, 1)
	go func() {
		done <- server.Serve(NewListener(listener, ListenerConfig{Budget: budget, MaxConnections: maxConnections}))
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return listener.Addr().String(), budget
}

// exchange sends requests over one connection and returns the statuses and bodies.
func exchange(t *testing.T, address string, requests ...string) (statuses []int, bodies []string) {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(connection)
	for _, request := range requests {
		_, _ = io.WriteString(connection, request)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		statuses, bodies = append(statuses, response.StatusCode), append(bodies, string(body))
	}
	return statuses, bodies
}

// Operators and targets must get what they send, in any framing, and a clear status otherwise.
func TestServer_BodiesAndRefusals(t *testing.T) {
	const maxBody = 100_000
	address, budget := startServer(t, 4<<20, maxBody, 0)
	const head = "PUT /a HTTP/1.1\r\nHost: h\r\n"
	large := strings.Repeat("x", maxBody)
	statuses, bodies := exchange(
		t, address, head+"Content-Length: 2\r\n\r\nab", head+"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, maxBody, large), head+"\r\n",
		fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, maxBody, large),
	)
	require.Equal(t, []int{200, 200, 200, 200, 200}, statuses)
	require.Equal(t, []string{"ab", "abc", large, "", large}, bodies)
	for request, status := range map[string]int{
		fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, maxBody+1):                                  413,
		fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%sx\r\n", head, maxBody+1, large):      413,
		head + "X: " + strings.Repeat("x", 8<<10) + "\r\n\r\n":                                        431,
		strings.Repeat("\r\n", 100) + head + "\r\n":                                                   400,
		head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n":                                             400,
		head + "Content-Length: 3\r\n\r\n" + "abc" + head + "Content-Length: x\r\n\r\n" + head + "\n": 200,
	} {
		statuses, _ := exchange(t, address, request)
		require.Equal(t, status, statuses[0], request[:min(len(request), 80)])
	}
	require.Eventually(t, func() bool { return budget.Used() == 0 }, testTimeout, time.Millisecond, "all memory is returned")
}

// Silent connections must not keep a health check away.
func TestListener_SilentConnectionGoesForNewOne(t *testing.T) {
	const maxConnections = 4
	address, _ := startServer(t, 4<<20, 100, maxConnections)
	for range 5 * maxConnections {
		connection, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer func() { _ = connection.Close() }()
	}
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + address + "/")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, testTimeout, 10*time.Millisecond)
}

// A handler that checks whether its client has left needs the descriptor of the connection. Without
// it, a hub carried out calls that the operator had given up.
func TestServer_HandlerReachesDescriptor(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	accepted, err := NewListener(listener, ListenerConfig{Budget: NewBudget(BudgetConfig{Limit: 1 << 20})}).Accept()
	require.NoError(t, err)
	systemConn, ok := accepted.(syscall.Conn)
	require.True(t, ok)
	_, err = systemConn.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, accepted.Close())
}
