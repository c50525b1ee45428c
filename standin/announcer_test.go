package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"comfreytiller.dev/common/head"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A malformed response of a host doesn't confirm a message.
func TestAnnouncer_MalformedResponse(t *testing.T) {
	for start, want := range map[string]error{"HTTP/1.1 200 OK": nil, "HTTP/1.1 000 Odd": head.ErrMalformed, "HTTP/1.1 200 OK\r\nX Odd: 1": head.ErrMalformed} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, start+"\r\nContent-Length: 14\r\n\r\n{\"Known\":true}")
			}
		}()
		a := newAnnouncer(clockwork.NewRealClock(), nil, "", 0, nil, nil)
		known, err := a.postTo(listener.Addr().String(), "/x", nil)
		require.ErrorIs(t, err, want)
		require.Equal(t, want == nil, known)
	}
}
