package head

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// startRawServer answers each request with the next of the replies, the last of them again,
// and returns the number of requests.
func startRawServer(t *testing.T, replies ...string) (address string, requests *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests = &atomic.Int64{}
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		reader := bufio.NewReader(c)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			i := min(int(requests.Add(1)), len(replies))
			if _, err := io.WriteString(c, replies[i-1]); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return listener.Addr().String(), requests
}

// post sends a request with a client that checks heads.
func post(client *fasthttp.Client, address string) (status int, body string, err error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + address + "/")
	request.SetBodyString("hello")
	err = client.DoTimeout(request, response, 10*time.Second)
	return response.StatusCode(), string(response.Body()), err
}

const soundReply = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok"

// A client of the library took status 000 for 200. A malformed response is an error that
// names the line, and the request isn't sent again.
func TestDial_MalformedResponse(t *testing.T) {
	for _, malformed := range []string{
		"HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n",
	} {
		for _, kept := range []bool{false, true} {
			client := &fasthttp.Client{Dial: Dial}
			replies := []string{malformed}
			if kept {
				replies = []string{soundReply, malformed}
			}
			address, requests := startRawServer(t, replies...)
			if kept {
				_, _, err := post(client, address)
				require.NoError(t, err)
			}
			_, _, err := post(client, address)
			require.ErrorIs(t, err, ErrMalformed, malformed)
			require.ErrorContains(t, err, "HTTP/1.1 000")
			require.EqualValues(t, len(replies), requests.Load())
			client.CloseIdleConnections()
		}
	}
}

// Responses to requests on one connection are read as without the check.
func TestDial_SoundResponses(t *testing.T) {
	var dialed atomic.Int64
	client := &fasthttp.Client{Dial: func(address string) (net.Conn, error) {
		dialed.Add(1)
		return Dial(address)
	}}
	defer client.CloseIdleConnections()
	address, _ := startRawServer(t, soundReply,
		"HTTP/1.1 100 Continue\r\n\r\n"+soundReply,
		"HTTP/1.1 201 Created\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
		soundReply)
	for range 4 {
		status, body, err := post(client, address)
		require.NoError(t, err)
		require.Equal(t, 201, status)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, dialed.Load())
}

// The end of a response that the end of its connection delimits can't be told from a
// truncation: the library takes it for complete also if the connection was reset while the request
// was being written.
func TestDial_UnframedResponse(t *testing.T) {
	for reply, want := range map[string]error{
		"HTTP/1.1 200 OK\r\n\r\nok": ErrUnframed, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n": ErrUnframed,
		// The library ignores the coding and reads on to the end of the connection.
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\no": ErrMalformed,
		"HTTP/1.1 204 No Content\r\n\r\n":                             nil, "HTTP/1.1 304 Not Modified\r\n\r\n": nil,
	} {
		address, requests := startRawServer(t, reply)
		client := &fasthttp.Client{Dial: Dial}
		_, _, err := post(client, address)
		client.CloseIdleConnections()
		require.ErrorIs(t, err, want, reply)
		require.EqualValues(t, 1, requests.Load())
	}
}

// A connection that ends before a response is told from one that ends within its head.
func TestDial_ConnectionEnds(t *testing.T) {
	for reply, want := range map[string]error{
		"": fasthttp.ErrConnectionClosed, "HTTP/1.1 2": io.ErrUnexpectedEOF, "HTTP/1.1 201 Created\r\nContent-": io.ErrUnexpectedEOF,
	} {
		local, remote := net.Pipe()
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(remote))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(remote, reply)
			}
			_ = remote.Close()
		}()
		client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return NewConn(local), nil }}
		_, _, err := post(client, "127.0.0.1:1")
		require.ErrorIs(t, err, want, reply)
	}
}
