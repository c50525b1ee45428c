package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"

	"comfreytiller.dev/target/web"
	"github.com/stretchr/testify/require"
)

// rawResponse is a response as a target writes it to its connection. "{id}" in text stands
// for the request ID.
type rawResponse struct {
	text string
	// reset resets the connection after the response instead of closing it.
	reset bool
}

// addRawTarget adds a target that writes one raw response to each connection and ends it.
// Calls to cancel a request are not answered.
func (f *fixture) addRawTarget(name string, respond func(request *http.Request) rawResponse) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if !strings.HasPrefix(request.URL.Path, web.PathServices) {
			return
		}
		response := respond(request)
		_, _ = io.WriteString(conn, strings.ReplaceAll(response.text, "{id}", request.Header.Get(web.HeaderRequestID)))
		if response.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	f.addTarget(name, listener.Addr().String())
}
