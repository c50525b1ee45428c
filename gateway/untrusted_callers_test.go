package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// crowdBody is the body of a member of a crowd, of legal size.
const crowdBody = 60 << 10

// openCrowd has connections send a body without its last byte.
func (f *fixture) openCrowd(members int) []net.Conn {
	var crowd []net.Conn
	for range members {
		connection, err := net.Dial("tcp", f.address)
		require.NoError(f.t, err)
		f.t.Cleanup(func() { _ = connection.Close() })
		_, _ = fmt.Fprintf(connection, "POST /v1/services/Reviews/Status HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\n"+
			"Content-Length: %d\r\n\r\n%s", crowdBody, strings.Repeat("x", crowdBody-1))
		crowd = append(crowd, connection)
	}
	return crowd
}

// When memory is short, unfinished bodies are refused with 503 and Retry-After and have not run, and
// the response reaches a client that still sends. Ordinary requests are served meanwhile.
func TestRequestMemory_UnfinishedBodiesAreRefusedForOthers(t *testing.T) {
	const members = 60
	f := newFixture(t, WithRequestMemory(3<<20))
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	crowd := f.openCrowd(members)
	for range 20 {
		status, _ := f.postAndRead("Reviews/Status", draftBody)
		require.Equal(t, http.StatusOK, status)
	}
	require.LessOrEqual(t, f.gateway.memory.Used(), 3<<20+3<<17)
	refused := 0
	for _, connection := range crowd {
		require.NoError(t, connection.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			continue
		}
		text, err := readBody(response)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, text)
		require.NotEmpty(t, response.Header.Get("Retry-After"))
		require.Contains(t, text, CodeMemory)
		require.Contains(t, text, `"Ran":"No"`)
		require.True(t, response.Close)
		refused++
	}
	require.Positive(t, refused)
	require.Equal(t, 20, int(engine.Stats().Requests), "no refused request has run")
	for _, connection := range crowd {
		_ = connection.Close()
	}
	f.client.CloseIdleConnections()
	eventually(t, func() bool { return f.gateway.memory.Used() == 0 }, "all memory is returned")
}

// A declared length is not held before its bytes arrive.
func TestRequestMemory_DeclaredLengthIsNotHeld(t *testing.T) {
	f := newFixture(t, WithRequestMemory(8<<20))
	f.addEngine(standin.EngineSettings{Name: "engine-1"})
	for range 40 {
		connection, err := net.Dial("tcp", f.address)
		require.NoError(t, err)
		defer func() { _ = connection.Close() }()
		_, err = fmt.Fprintf(connection, "POST /v1/services/Reviews/Status HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\n"+
			"Content-Length: %d\r\n\r\nx", 64<<10)
		require.NoError(t, err)
	}
	eventually(t, func() bool { return f.gateway.memory.Used() >= 40*(8<<10) }, "the connections are accepted")
	require.Less(t, f.gateway.memory.Used(), 40*(32<<10))
}

// A body in chunks with trailers, one that the client announces with Expect, and requests that follow
// on the same connection must be read as before.
func TestRequestBodies_FramingOnOneConnection(t *testing.T) {
	f := newFixture(t)
	f.addEngine(standin.EngineSettings{Name: "engine-1"})
	connection, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
	reader := bufio.NewReader(connection)
	const head = "POST /v1/services/Reviews/Status HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\n"
	requireServed := func() {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		text, err := readBody(response)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, text)
	}
	for _, request := range []string{
		head + "Transfer-Encoding: chunked\r\n\r\n1;a=b\r\n{\r\n1\r\n}\r\n0\r\nX-Trailer: t\r\n\r\n",
		"\r\n" + head + "Content-Length: 2\r\n\r\n{}",
		head + "Content-Length: 20000\r\n\r\n{" + strings.Repeat(" ", 19_998) + "}",
		head + "\r\n",
	} {
		_, err = io.WriteString(connection, request)
		require.NoError(t, err)
		requireServed()
	}
	_, err = io.WriteString(connection, head+"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	require.NoError(t, err)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	_, err = io.WriteString(connection, "{}")
	require.NoError(t, err)
	requireServed()
	_, err = io.WriteString(connection, strings.Repeat(head+"Content-Length: 2\r\n\r\n{}", 5))
	require.NoError(t, err)
	for range 5 {
		requireServed()
	}
}
