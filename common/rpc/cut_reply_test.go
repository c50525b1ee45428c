package rpc

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

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
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			var at atomic.Int64
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(conn, reply[:at.Load()])
					}
					_ = conn.Close()
				}
			}()
			client := NewClient([]byte("key"), clockwork.NewRealClock())
			for cut := range len(reply) + 1 {
				at.Store(int64(cut))
				request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/twirp/x", listener.Addr()), strings.NewReader("hello"))
				require.NoError(t, err)
				response, err := client.Do(request)
				if cut < len(reply) {
					require.Error(t, err, "cut after %q", reply[:cut])
					continue
				}
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.Equal(t, "hello, world", string(body))
			}
		})
	}
}
