package rpc

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"comfreytiller.dev/common/head"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A host stopped within its reply and closed the connection. A part of a reply is none.
func TestCutReply_IsNoReply(t *testing.T) {
	for name, reply := range map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\nContent-Length: 12\r\n\r\nhello, world",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nhello, world\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var at atomic.Int64
			address := startRawServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, reply[:at.Load()]) })
			for cut := range len(reply) + 1 {
				at.Store(int64(cut))
				body, err := callOnce(t, address)
				if cut < len(reply) {
					require.Error(t, err, "cut after %q", reply[:cut])
					continue
				}
				require.NoError(t, err)
				require.Equal(t, "hello, world", body)
			}
		})
	}
}

// startRawServer reads the request of each connection and lets respond write the reply,
// after which it closes the connection.
func startRawServer(t *testing.T, respond func(net.Conn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				respond(conn)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// callOnce sends a call and returns the body of the reply.
func callOnce(t *testing.T, address string) (string, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/twirp/x", strings.NewReader("hello"))
	require.NoError(t, err)
	response, err := NewClient([]byte("key"), clockwork.NewRealClock()).Do(request)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body), nil
}

// A reply whose head violates the grammar of HTTP/1 is none, as one with status 000, which
// the library reads as 200.
func TestMalformedReply_IsNoReply(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n"
	for value, text := range map[string]string{
		"HTTP/1.1 000 Odd": "HTTP/1.1 000 Odd\r\n", "HTTP/1.1 000": "HTTP/1.1 000\r\n", "HTTP/1.1  200 OK": "HTTP/1.1  200 OK\r\n",
		"HTTP/1.1 600 Odd": "HTTP/1.1 600 Odd\r\n", "HTTP/2.0 200 OK": "HTTP/2.0 200 OK\r\n",
		"X Odd": sound + "X Odd: 1\r\n", "X-Odd ": sound + "X-Odd : 1\r\n", " folded": sound + "X-Odd: 1\r\n folded\r\n", `X\x00Odd`: sound + "X\x00Odd: 1\r\n",
	} {
		address := startRawServer(t, func(conn net.Conn) { _, _ = io.WriteString(conn, text+"Content-Length: 2\r\n\r\nok") })
		_, err := callOnce(t, address)
		require.ErrorIs(t, err, head.ErrMalformed, value)
		require.ErrorContains(t, err, value)
	}
}

// A host answered without a length and reset the connection while the call was being written.
// The end of such a reply can't be told from a truncation, so that it is none in any case.
func TestReplyWithoutLength_IsNoReply(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		t.Run(name, func(t *testing.T) {
			address := startRawServer(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\nhello, wor")
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			_, err := callOnce(t, address)
			require.Error(t, err)
			if !reset {
				require.ErrorIs(t, err, head.ErrUnframed)
			}
		})
	}
}
