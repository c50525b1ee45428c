package head

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// A reply may have a field that seems to frame its body and doesn't: the library then reads to the
// end of the connection, which can't be told from a truncation.
func TestDial_FieldThatDoesNotFrame(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: identity\r\n",
		"HTTP/1.2 200 OK\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length:\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: x\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n",
	} {
		local, remote := net.Pipe()
		go func() {
			request, err := http.ReadRequest(bufio.NewReader(remote))
			if err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(remote, head+"\r\n2\r\nok")
			}
			_ = remote.Close()
		}()
		client := &fasthttp.Client{Dial: func(string) (net.Conn, error) { return NewConn(local), nil }}
		_, body, err := post(client, "127.0.0.1:1")
		require.Error(t, err, "%q gave %q", head, body)
	}
}
