package web

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A target that is killed within the export of a cache ends its connection in an orderly way. The part
// must not be imported by another target.
func TestExportCache_PartIsNoCache(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + HeaderRequestID + ": control-GET/v1/cache/c\r\n"
	for response, whole := range map[string]bool{
		head + "Content-Length: 2\r\n\r\nkv":                            true,
		head + "Content-Length: 2\r\n\r\nk":                             false,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nkv\r\n0\r\n\r\n": true,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nkv\r\n":          false,
		head + "\r\nkv": false,
		head + "\r\n":   false,
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, response)
			_ = c.Close()
		}()
		client := NewClient(clockwork.NewRealClock())
		cache, err := client.ExportCache(context.Background(), listener.Addr().String(), "c")
		client.Close()
		_ = listener.Close()
		if whole {
			require.NoError(t, err, response)
			require.Equal(t, "kv", string(cache))
			continue
		}
		require.Error(t, err, response)
		require.Nil(t, cache)
	}
}
