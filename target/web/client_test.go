package web

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/conn"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// scriptedTarget is a target that answers requests with predefined raw responses.
type scriptedTarget struct {
	listener net.Listener
	conns    chan net.Conn
	// requests receives one value for each request that has arrived.
	requests chan struct{}
}

// newScriptedTarget answers the requests of all connections with the given
// responses in order. A request whose response is empty is not answered.
func newScriptedTarget(t *testing.T, responses ...string) *scriptedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &scriptedTarget{listener: listener, conns: make(chan net.Conn, 16), requests: make(chan struct{}, 16)}
	next := make(chan string, len(responses))
	for _, response := range responses {
		next <- response
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns <- c
			go s.serveConn(c, next)
		}
	}()
	t.Cleanup(func() { _ = listener.Close() })
	return s
}

func (s *scriptedTarget) serveConn(c net.Conn, next chan string) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests <- struct{}{}
		if response := <-next; response != "" {
			_, _ = io.WriteString(c, response)
		}
	}
}

func (s *scriptedTarget) call() target.Call {
	return target.Call{RequestID: "r", Address: s.listener.Addr().String(), Service: "Treasury", Name: "Pay"}
}

const okResponse = "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 2\r\n\r\n{}"

func TestClient_TimedOutConnectionIsNotReused(t *testing.T) {
	s := newScriptedTarget(t, "", okResponse)
	clock := clockwork.NewFakeClock()
	client := NewClient(clock, WithDialTimeout(0))
	defer client.Close()
	call := s.call()
	call.FirstByteTimeout = time.Second
	sendErr := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), call)
		sendErr <- err
	}()
	<-s.requests
	first := <-s.conns
	clock.Advance(time.Second)
	err := <-sendErr
	require.ErrorIs(t, err, target.ErrTimeout)
	var sendError *target.SendError
	require.ErrorAs(t, err, &sendError)
	require.True(t, sendError.Sent)

	call.FirstByteTimeout = 0
	response, err := client.Send(context.Background(), call)
	require.NoError(t, err)
	response.Close()
	second := <-s.conns
	require.NotEqual(t, first.RemoteAddr(), second.RemoteAddr())
}

func TestClient_ReusesConnectionsOnlyAfterCompleteResponseWithinIdleTime(t *testing.T) {
	const truncatedResponse = "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 5\r\n\r\n"
	s := newScriptedTarget(t, okResponse, okResponse, truncatedResponse, okResponse)
	clock := clockwork.NewFakeClock()
	client := NewClient(clock, WithDialTimeout(0), WithMaxIdleTime(time.Second))
	defer client.Close()
	sendRequest := func(fresh, read bool) {
		call := s.call()
		call.RequireNewConnection = fresh
		response, err := client.Send(context.Background(), call)
		require.NoError(t, err)
		if read {
			_, err = response.Body(100)
			require.NoError(t, err)
		}
		response.Close()
	}
	sendRequest(false, true)
	sendRequest(false, true)
	require.Len(t, s.conns, 1, "a connection must be reused after a complete response")
	clock.Advance(2 * time.Second)
	sendRequest(false, false)
	require.Len(t, s.conns, 2, "a connection must not be reused after the idle time")
	sendRequest(false, true)
	require.Len(t, s.conns, 3, "a connection must not be reused after an incomplete response")
}

func TestClient_DoesNotReuseConnectionWithPendingData(t *testing.T) {
	for name, disturb := range map[string]func(net.Conn){
		"a late duplicate": func(c net.Conn) { _, _ = io.WriteString(c, okResponse) },
		"its end":          func(c net.Conn) { _ = c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedTarget(t, okResponse, okResponse)
			client := NewClient(clockwork.NewRealClock(), WithMaxIdleTime(time.Hour))
			defer client.Close()
			sendRequest := func() {
				response, err := client.Send(context.Background(), s.call())
				require.NoError(t, err)
				_, err = response.Body(10)
				require.NoError(t, err)
				response.Close()
			}
			sendRequest()
			idleConn := client.pool.idle[s.listener.Addr().String()][0]
			disturb(<-s.conns)
			require.Eventually(t, func() bool { return !conn.IsIdle(idleConn.Conn) }, 10*time.Second, time.Millisecond)
			sendRequest()
			require.Len(t, s.conns, 1, "a new connection must be opened")
		})
	}
}

func TestClient_DeadConnectionClosesIdleConnectionsToSameTarget(t *testing.T) {
	s := newScriptedTarget(t, okResponse, okResponse, "", okResponse)
	clock := clockwork.NewFakeClock()
	client := NewClient(clock, WithDialTimeout(0), WithMaxIdleTime(time.Hour))
	defer client.Close()
	var responses []target.Response
	for range 2 {
		response, err := client.Send(context.Background(), s.call())
		require.NoError(t, err)
		responses = append(responses, response)
		<-s.requests
	}
	for _, response := range responses {
		_, err := response.Body(10)
		require.NoError(t, err)
		response.Close()
	}
	call := s.call()
	call.FirstByteTimeout = time.Second
	sendErr := make(chan error, 1)
	go func() {
		_, err := client.Send(context.Background(), call)
		sendErr <- err
	}()
	<-s.requests
	clock.Advance(time.Second)
	err := <-sendErr
	var sendError *target.SendError
	require.ErrorAs(t, err, &sendError)
	require.True(t, sendError.ConnectionReused)
	response, err := client.Send(context.Background(), s.call())
	require.NoError(t, err)
	response.Close()
	require.Len(t, s.conns, 3, "the other idle connection must not be reused")
}

func TestClient_FreshCallOpensNewConnection(t *testing.T) {
	s := newScriptedTarget(t, okResponse, okResponse)
	client := NewClient(clockwork.NewRealClock())
	defer client.Close()
	for range 2 {
		call := s.call()
		call.RequireNewConnection = true
		response, err := client.Send(context.Background(), call)
		require.NoError(t, err)
		_, err = response.Body(10)
		require.NoError(t, err)
		response.Close()
	}
	require.Len(t, s.conns, 2)
}

func TestClient_RejectsInvalidResponses(t *testing.T) {
	cases := []struct {
		name, response string
		want           error
	}{
		{"no length", "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nConnection: close\r\n\r\n{}", target.ErrMalformedResponse},
		{"another request", "HTTP/1.1 200 OK\r\nComfreytiller-Request: q\r\nContent-Length: 2\r\n\r\n{}", target.ErrRequestMismatch},
		{"no request", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", target.ErrRequestMismatch},
		{"too long", "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 2000\r\n\r\n{}", target.ErrResponseTooLarge},
		{"too long in chunks", "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nTransfer-Encoding: chunked\r\n\r\n" +
			"C8\r\n" + string(make([]byte, 200)) + "\r\n0\r\n\r\n", target.ErrResponseTooLarge},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			s := newScriptedTarget(t, test.response)
			client := NewClient(clockwork.NewRealClock())
			defer client.Close()
			response, err := client.Send(context.Background(), s.call())
			if err == nil {
				_, err = response.Body(100)
				response.Close()
			}
			require.ErrorIs(t, err, test.want)
		})
	}
}

func TestClient_SendsNothingIfBeforeSendFails(t *testing.T) {
	s := newScriptedTarget(t, okResponse)
	client := NewClient(clockwork.NewRealClock())
	defer client.Close()
	call := s.call()
	refused := io.ErrClosedPipe
	call.BeforeSend = func() error { return refused }
	_, err := client.Send(context.Background(), call)
	require.ErrorIs(t, err, target.ErrNotSent)
	require.ErrorIs(t, err, refused)
	var sendError *target.SendError
	require.ErrorAs(t, err, &sendError)
	require.False(t, sendError.Sent)
}
