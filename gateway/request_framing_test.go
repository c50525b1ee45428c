package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestFramingProblem(t *testing.T) {
	for header, valid := range map[string]bool{
		"Host: a\r\nContent-Length: 5\r\n\r\n":                                  true,
		"Host: a\r\nTransfer-Encoding: chunked\r\n\r\n":                         true,
		"Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n":    false,
		"Host: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\n":             false,
		"Host: a\r\nTransfer-Encoding: identity\r\n\r\n":                        false,
		"Host: a\r\nTransfer-Encoding: chunked, chunked\r\n\r\n":                false,
		"Host: a\r\nContent-Length : 5\r\n\r\n":                                 false,
		"Host: a\r\ntransfer-encoding: chunked\r\ncontent-length: 7\r\n\r\n":    false,
		"Host: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n": false,
	} {
		require.Equal(t, valid, framingProblem([]byte(header)) == "", "%q", header)
	}
}

// A request whose end another recipient may find elsewhere ended its head early, so that bytes
// that may be its body were read as another request.
func TestAmbiguousFraming_NothingIsReadAfterIt(t *testing.T) {
	f := newFixture(t)
	const next = "GET /nope HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	start := "POST " + PathServices + "Treasury/Pay HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\n"
	for request, want := range map[string]int{
		start + "Transfer-Encoding: identity\r\n\r\n":                                        http.StatusBadRequest,
		start + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":           http.StatusBadRequest,
		start + "X-Odd: 1\r\n Content-Length: 99\r\n\r\n":                                    http.StatusBadRequest,
		start + "Content-Length x: 99\r\n\r\n":                                               http.StatusBadRequest,
		start + "Content-Length: 2\r\n\n{}":                                                  http.StatusBadRequest,
		strings.Replace(start, "HTTP/1.1", "HTTP/1.0", 1) + "Connection: keep-alive\r\n\r\n": http.StatusHTTPVersionNotSupported,
	} {
		connection, err := net.Dial("tcp", f.address)
		require.NoError(t, err)
		require.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
		_, err = io.WriteString(connection, request+next)
		require.NoError(t, err)
		reader := bufio.NewReader(connection)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err, "%q", request)
		_, err = readBody(response)
		require.NoError(t, err)
		require.Equal(t, want, response.StatusCode, "%q", request)
		_, err = reader.ReadByte()
		require.ErrorIs(t, err, io.EOF, "%q", request)
		require.NoError(t, connection.Close())
	}
}
