package gateway

import (
	"bufio"
	"encoding/json"
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

// rawRequest sends bytes and returns the answer.
func (b *fixture) rawRequest(raw string) (int, FailureBody) {
	connection, err := net.Dial("tcp", b.address)
	require.NoError(b.t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, raw)
	require.NoError(b.t, err)
	require.NoError(b.t, connection.SetReadDeadline(time.Now().Add(patience)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(b.t, err)
	text, err := read(response)
	require.NoError(b.t, err)
	var body FailureBody
	require.NoError(b.t, json.Unmarshal([]byte(text), &body), text)
	return response.StatusCode, body
}

func TestBadInputGetsAClearAnswer(t *testing.T) {
	const end = "Host: h\r\nComfreytiller-Workspace: Students\r\n"
	post := func(path, header, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", path, end, header, len(body), body)
	}
	pay := PathServices + "Treasury/Pay"
	cases := []struct {
		name   string
		raw    string
		status int
		code   Code
	}{
		{"a body beyond the service's limit", post(pay, "", strings.Repeat("x", 1<<10+1)), 413, CodeBodyTooLarge},
		{"a body beyond the limit, the path escaped", post(PathServices+"Tre%61sury/Pay", "", strings.Repeat("x", 1<<10+1)), 413, CodeBodyTooLarge},
		{
			"a chunked body beyond the limit",
			"POST " + pay + " HTTP/1.1\r\n" + end + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n",
			413, CodeBodyTooLarge,
		},
		{"a body announced beyond the limit", "POST " + pay + " HTTP/1.1\r\n" + end + "Content-Length: 100000\r\n\r\n", 413, CodeBodyTooLarge},
		{"a header too large", post(pay, "X-Long: "+strings.Repeat("x", 9<<10)+"\r\n", ""), 431, CodeHeaderLimit},
		{"too many header fields", post(pay, strings.Repeat("X-Many: 1\r\n", 80), ""), 431, CodeHeaderLimit},
		{"a path too long", post(pay+strings.Repeat("x", 3<<10), "", ""), 414, CodeURILimit},
		{"another method", "GET " + pay + " HTTP/1.1\r\n" + end + "\r\n", 405, CodeMethod},
		{"HTTP/1.0", strings.Replace(post(pay, "", payment), "HTTP/1.1", "HTTP/1.0", 1), 505, CodeBadRequest},
		{"an unknown path", post("/v2/else", "", ""), 404, CodeNotFound},
		{"an unknown service", post(PathServices+"Else/Pay", "", ""), 404, CodeNotFound},
		{"an unknown call", post(PathServices+"Treasury/Else", "", ""), 404, CodeNotFound},
		{"a timeout without unit", post(pay, "Comfreytiller-Timeout: 30\r\n", ""), 400, CodeBadRequest},
		{"a timeout below zero", post(pay, "Comfreytiller-Timeout: -1s\r\n", ""), 400, CodeBadRequest},
		{"a key too long", post(pay, "Idempotency-Key: "+strings.Repeat("k", 300)+"\r\n", ""), 400, CodeBadRequest},
		{"a request id too long", post(pay, "Comfreytiller-Request: "+strings.Repeat("k", 300)+"\r\n", ""), 400, CodeBadRequest},
		{"no HTTP at all", "EHLO mail\r\n\r\n", 400, CodeBadRequest},
		{"a length that is no number", "POST " + pay + " HTTP/1.1\r\n" + end + "Content-Length: ten\r\n\r\n", 400, CodeBadRequest},
		{"no workspace", "POST " + pay + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 403, CodeForbidden},
		{"a service the workspace may not use", strings.Replace(post(PathServices+"Reviews/Draft", "", ""), "Students", "Desk", 1), 403, CodeForbidden},
	}
	b := newFixture(t)
	plain := b.plain("treasury-1")
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status, body := b.rawRequest(test.raw)
			require.Equal(t, test.status, status)
			require.Equal(t, string(test.code), body.Code)
			require.Equal(t, string(RanNo), body.Ran)
			require.NotEmpty(t, body.Message)
		})
	}
	require.Zero(t, plain.TotalRuns())
	status, _ := b.get("Treasury/Pay", payment)
	require.Equal(t, 200, status, "the gateway still serves")
}

func TestARefusalNamesTheRequestToo(t *testing.T) {
	b := newFixture(t)
	for path, body := range map[string]string{
		"Treasury/Pay":  strings.Repeat("x", 1<<10+1),
		"Else/Pay":      "",
		"Treasury/Else": "",
	} {
		response := b.post(path, body, HeaderRequest, "mine-1")
		_, err := read(response)
		require.NoError(t, err)
		require.GreaterOrEqual(t, response.StatusCode, 400)
		require.Equal(t, "mine-1", response.Header.Get(HeaderRequest), path)
	}
}

func TestASlowSenderIsTimedOut(t *testing.T) {
	b := newFixture(t, WithReadTimeout(50*time.Millisecond))
	for name, raw := range map[string]string{
		"header": "POST /v1/services/Treasury/Pay HTTP/1.1\r\nHost:",
		"body":   "POST /v1/services/Treasury/Pay HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			status, body := b.rawRequest(raw)
			require.Equal(t, 408, status)
			require.Equal(t, string(CodeSlowSender), body.Code)
			require.Equal(t, string(RanNo), body.Ran)
		})
	}
}

func TestConnectionsBeyondTheLimitAreRefused(t *testing.T) {
	b := newFixture(t, WithMaxConnections(1))
	b.plain("treasury-1")
	status, _ := b.get("Treasury/Balance", `{}`)
	require.Equal(t, 200, status)
	status, body := b.rawRequest("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, 503, status)
	require.Equal(t, string(CodeConnections), body.Code)
	b.client.CloseIdleConnections()
	eventually(t, func() bool {
		response, err := http.Get("http://" + b.address + PathHealth)
		if err != nil {
			return false
		}
		_, err = read(response)
		return err == nil && response.StatusCode == 200
	}, "a closed connection makes room")
}

// neverRead asks for a long stream and reads nothing of it.
func (b *fixture) neverRead() net.Conn {
	connection, err := net.Dial("tcp", b.address)
	require.NoError(b.t, err)
	tcp, ok := connection.(*net.TCPConn)
	require.True(b.t, ok)
	require.NoError(b.t, tcp.SetReadBuffer(4<<10))
	body := `{"Tokens":100000000}`
	_, err = fmt.Fprintf(connection, "POST /v1/services/Reviews/Draft HTTP/1.1\r\nHost: h\r\n"+
		"Comfreytiller-Workspace: Students\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(b.t, err)
	return connection
}

func TestACallerThatNeverReadsIsCut(t *testing.T) {
	b := newFixture(t, WithWriteStall(100*time.Millisecond))
	engine := b.engine(standin.EngineSettings{Name: "engine-1"})
	connection := b.neverRead()
	defer connection.Close()
	eventually(t, func() bool { return engine.Stats().Requests == 1 }, "the engine is asked")
	eventually(t, func() bool { return b.gateway.InFlight() == 0 && engine.InFlight() == 0 }, "the request is over")
	eventually(t, func() bool { return len(b.admitter.outcomes()) == 1 }, "the permit is released")
}

// halfHeader opens a connection that has sent a part of a header.
func (b *fixture) halfHeader() net.Conn {
	connection, err := net.Dial("tcp", b.address)
	require.NoError(b.t, err)
	b.t.Cleanup(func() { _ = connection.Close() })
	require.NoError(b.t, connection.SetDeadline(time.Now().Add(patience)))
	_, err = io.WriteString(connection, "POST "+PathServices+"Reviews/Status HTTP/1.1\r\nHost: h\r\n")
	require.NoError(b.t, err)
	return connection
}

// The fleet bounds the time for a header, but not that for a body.
func TestTheFleetBoundsTheTimeForAHeader(t *testing.T) {
	known := exampleFleet()
	known.Requests.HeaderTime = 200 * time.Millisecond
	b := newFixtureOf(t, known)
	b.engine(standin.EngineSettings{Name: "engine-1"})
	slowBody := b.halfHeader()
	_, err := fmt.Fprintf(slowBody, "Comfreytiller-Workspace: Students\r\nContent-Length: %d\r\n\r\n", len(dossier))
	require.NoError(t, err)

	slowHeader := b.halfHeader()
	response, err := http.ReadResponse(bufio.NewReader(slowHeader), nil)
	require.NoError(t, err)
	text, err := read(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Contains(t, text, CodeSlowSender)

	// The other connection has waited as long by now.
	_, err = io.WriteString(slowBody, dossier)
	require.NoError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(slowBody), nil)
	require.NoError(t, err)
	_, err = read(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestTheFleetBoundsIdleConnections(t *testing.T) {
	known := exampleFleet()
	known.Requests.IdleTime = 200 * time.Millisecond
	b := newFixtureOf(t, known)
	b.engine(standin.EngineSettings{Name: "engine-1"})
	connection := b.halfHeader()
	reader := bufio.NewReader(connection)
	rest := fmt.Sprintf("Comfreytiller-Workspace: Students\r\nContent-Length: %d\r\n\r\n%s", len(dossier), dossier)
	serve := func() {
		_, err := io.WriteString(connection, rest)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = read(response)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	serve()
	_, err := io.WriteString(connection, "POST "+PathServices+"Reviews/Status HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	serve()
	began := time.Now()
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the host closes a connection without a request")
	require.GreaterOrEqual(t, time.Since(began), known.Requests.IdleTime/2)
}
