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

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// rawRequest sends raw bytes on a new connection and returns the status and
// failure body of the response.
func (f *fixture) rawRequest(raw string) (int, FailureBody) {
	connection, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	defer connection.Close()
	_, err = io.WriteString(connection, raw)
	require.NoError(f.t, err)
	require.NoError(f.t, connection.SetReadDeadline(time.Now().Add(testTimeout)))
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(f.t, err)
	text, err := readBody(response)
	require.NoError(f.t, err)
	var body FailureBody
	require.NoError(f.t, json.Unmarshal([]byte(text), &body), text)
	return response.StatusCode, body
}

func TestInvalidRequest_ReturnsFailure(t *testing.T) {
	const commonHeader = "Host: h\r\nComfreytiller-Workspace: Students\r\n"
	post := func(path, header, body string) string {
		return fmt.Sprintf("POST %s HTTP/1.1\r\n%s%sContent-Length: %d\r\n\r\n%s", path, commonHeader, header, len(body), body)
	}
	pay := PathServices + "Treasury/Pay"
	cases := []struct {
		name   string
		raw    string
		status int
		code   Code
	}{
		{"body larger than the limit of the service", post(pay, "", strings.Repeat("x", 1<<10+1)), 413, CodeBodyTooLarge},
		{"body larger than the limit, escaped path", post(PathServices+"Tre%61sury/Pay", "", strings.Repeat("x", 1<<10+1)), 413, CodeBodyTooLarge},
		{
			"chunked body larger than the limit",
			"POST " + pay + " HTTP/1.1\r\n" + commonHeader + "Transfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n",
			413, CodeBodyTooLarge,
		},
		{"content length larger than the limit", "POST " + pay + " HTTP/1.1\r\n" + commonHeader + "Content-Length: 100000\r\n\r\n", 413, CodeBodyTooLarge},
		{"header too large", post(pay, "X-Long: "+strings.Repeat("x", 9<<10)+"\r\n", ""), 431, CodeHeaderTooLarge},
		{"too many header fields", post(pay, strings.Repeat("X-Many: 1\r\n", 80), ""), 431, CodeHeaderTooLarge},
		{"path too long", post(pay+strings.Repeat("x", 3<<10), "", ""), 414, CodeURITooLong},
		{"method not allowed", "GET " + pay + " HTTP/1.1\r\n" + commonHeader + "\r\n", 405, CodeMethodNotAllowed},
		{"HTTP/1.0", strings.Replace(post(pay, "", paymentBody), "HTTP/1.1", "HTTP/1.0", 1), 505, CodeBadRequest},
		{"unknown path", post("/v2/else", "", ""), 404, CodeNotFound},
		{"unknown service", post(PathServices+"Else/Pay", "", ""), 404, CodeNotFound},
		{"unknown call", post(PathServices+"Treasury/Else", "", ""), 404, CodeNotFound},
		{"timeout without unit", post(pay, "Comfreytiller-Timeout: 30\r\n", ""), 400, CodeBadRequest},
		{"negative timeout", post(pay, "Comfreytiller-Timeout: -1s\r\n", ""), 400, CodeBadRequest},
		{"idempotency key too long", post(pay, "Idempotency-Key: "+strings.Repeat("k", 300)+"\r\n", ""), 400, CodeBadRequest},
		{"request ID too long", post(pay, "Comfreytiller-Request: "+strings.Repeat("k", 300)+"\r\n", ""), 400, CodeBadRequest},
		{"not HTTP", "EHLO mail\r\n\r\n", 400, CodeBadRequest},
		{"content length is not a number", "POST " + pay + " HTTP/1.1\r\n" + commonHeader + "Content-Length: ten\r\n\r\n", 400, CodeBadRequest},
		{"no workspace", "POST " + pay + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", 403, CodeForbidden},
		{"service not allowed for the workspace", strings.Replace(post(PathServices+"Reviews/Draft", "", ""), "Students", "Desk", 1), 403, CodeForbidden},
	}
	f := newFixture(t)
	plain := f.addPlain("treasury-1")
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			status, body := f.rawRequest(test.raw)
			require.Equal(t, test.status, status)
			require.Equal(t, string(test.code), body.Code)
			require.Equal(t, string(RanNo), body.Ran)
			require.NotEmpty(t, body.Message)
		})
	}
	require.Zero(t, plain.TotalRuns())
	status, _ := f.postAndRead("Treasury/Pay", paymentBody)
	require.Equal(t, 200, status, "the gateway still serves valid requests")
}

func TestInvalidRequest_EchoesRequestID(t *testing.T) {
	f := newFixture(t)
	for path, body := range map[string]string{
		"Treasury/Pay":  strings.Repeat("x", 1<<10+1),
		"Else/Pay":      "",
		"Treasury/Else": "",
	} {
		response := f.post(path, body, HeaderRequest, "mine-1")
		_, err := readBody(response)
		require.NoError(t, err)
		require.GreaterOrEqual(t, response.StatusCode, 400)
		require.Equal(t, "mine-1", response.Header.Get(HeaderRequest), path)
	}
}

func TestSlowSender_TimesOut(t *testing.T) {
	f := newFixture(t, WithReadTimeout(50*time.Millisecond))
	for name, raw := range map[string]string{
		"header": "POST /v1/services/Treasury/Pay HTTP/1.1\r\nHost:",
		"body":   "POST /v1/services/Treasury/Pay HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			status, body := f.rawRequest(raw)
			require.Equal(t, 408, status)
			require.Equal(t, string(CodeSlowSender), body.Code)
			require.Equal(t, string(RanNo), body.Ran)
		})
	}
}

func TestMaxConnections_RefusesFurtherConnections(t *testing.T) {
	f := newFixture(t, WithMaxConnections(1))
	f.addPlain("treasury-1")
	status, _ := f.postAndRead("Treasury/Balance", `{}`)
	require.Equal(t, 200, status)
	status, body := f.rawRequest("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, 503, status)
	require.Equal(t, string(CodeTooManyConnections), body.Code)
	f.client.CloseIdleConnections()
	eventually(t, func() bool {
		response, err := http.Get("http://" + f.address + PathHealth)
		if err != nil {
			return false
		}
		_, err = readBody(response)
		return err == nil && response.StatusCode == 200
	}, "a closed connection frees its slot")
}

// openUnreadStream requests a long stream and does not read the response.
func (f *fixture) openUnreadStream() net.Conn {
	connection, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	tcp, ok := connection.(*net.TCPConn)
	require.True(f.t, ok)
	require.NoError(f.t, tcp.SetReadBuffer(4<<10))
	body := `{"Tokens":100000000}`
	_, err = fmt.Fprintf(connection, "POST /v1/services/Reviews/Draft HTTP/1.1\r\nHost: h\r\n"+
		"Comfreytiller-Workspace: Students\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	require.NoError(f.t, err)
	return connection
}

func TestWriteTimeout_CancelsRequest(t *testing.T) {
	f := newFixture(t, WithWriteTimeout(100*time.Millisecond))
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	connection := f.openUnreadStream()
	defer connection.Close()
	eventually(t, func() bool { return engine.Stats().Requests == 1 }, "the engine receives the request")
	eventually(t, func() bool { return f.gateway.InFlight() == 0 && engine.InFlight() == 0 }, "the request has ended")
	eventually(t, func() bool { return len(f.admitter.outcomes()) == 1 }, "the permit is released")
}

// sendPartialHeader opens a connection and sends part of a request header.
func (f *fixture) sendPartialHeader() net.Conn {
	connection, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = connection.Close() })
	require.NoError(f.t, connection.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(connection, "POST "+PathServices+"Reviews/Status HTTP/1.1\r\nHost: h\r\n")
	require.NoError(f.t, err)
	return connection
}

// The header timeout of the fleet configuration must not apply to the request
// body.
func TestHeaderTime_LimitsHeaderOnly(t *testing.T) {
	config := exampleFleet()
	config.Requests.HeaderTime = 200 * time.Millisecond
	f := newFixtureWithFleet(t, config)
	f.addEngine(standin.EngineSettings{Name: "engine-1"})
	slowBody := f.sendPartialHeader()
	_, err := fmt.Fprintf(slowBody, "Comfreytiller-Workspace: Students\r\nContent-Length: %d\r\n\r\n", len(draftBody))
	require.NoError(t, err)

	slowHeader := f.sendPartialHeader()
	response, err := http.ReadResponse(bufio.NewReader(slowHeader), nil)
	require.NoError(t, err)
	text, err := readBody(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
	require.Contains(t, text, CodeSlowSender)

	// The other connection has been waiting for longer than HeaderTime.
	_, err = io.WriteString(slowBody, draftBody)
	require.NoError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(slowBody), nil)
	require.NoError(t, err)
	_, err = readBody(response)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// Neither the header timeout nor the idle timeout of the fleet configuration must apply to
// the body of a request whose header, or a part of it, arrives with the request before.
func TestCallerTimeouts_DoNotLimitBodyOfPipelinedRequest(t *testing.T) {
	header := fmt.Sprintf("POST "+PathServices+"Reviews/Status HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\nContent-Length: %d\r\n\r\n", len(draftBody))
	cases := []struct {
		name string
		// split is the number of bytes of the second header that arrive with the first
		// request.
		split int
	}{
		{"part of the header", len(header) / 2},
		{"whole header", len(header)},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			config := exampleFleet()
			config.Requests = fleet.RequestLimits{HeaderTime: 200 * time.Millisecond, IdleTime: 200 * time.Millisecond}
			f := newFixtureWithFleet(t, config)
			f.addEngine(standin.EngineSettings{Name: "engine-1"})
			connection, err := net.Dial("tcp", f.address)
			require.NoError(t, err)
			defer connection.Close()
			require.NoError(t, connection.SetDeadline(time.Now().Add(testTimeout)))
			reader := bufio.NewReader(connection)
			requireServed := func() {
				response, err := http.ReadResponse(reader, nil)
				require.NoError(t, err)
				text, err := readBody(response)
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, response.StatusCode, text)
			}
			_, err = io.WriteString(connection, header+draftBody+header[:test.split])
			require.NoError(t, err)
			if test.split < len(header) {
				requireServed()
			}
			_, err = io.WriteString(connection, header[test.split:]+draftBody[:1])
			require.NoError(t, err)

			// The timeouts have passed once a later connection is timed out.
			response, err := http.ReadResponse(bufio.NewReader(f.sendPartialHeader()), nil)
			require.NoError(t, err)
			_, err = readBody(response)
			require.NoError(t, err)
			require.Equal(t, http.StatusRequestTimeout, response.StatusCode)
			_, err = io.WriteString(connection, draftBody[1:])
			require.NoError(t, err)
			if test.split == len(header) {
				requireServed()
			}
			requireServed()
		})
	}
}

func TestIdleTime_ClosesIdleConnection(t *testing.T) {
	config := exampleFleet()
	config.Requests.IdleTime = 200 * time.Millisecond
	f := newFixtureWithFleet(t, config)
	f.addEngine(standin.EngineSettings{Name: "engine-1"})
	connection := f.sendPartialHeader()
	reader := bufio.NewReader(connection)
	rest := fmt.Sprintf("Comfreytiller-Workspace: Students\r\nContent-Length: %d\r\n\r\n%s", len(draftBody), draftBody)
	serve := func() {
		_, err := io.WriteString(connection, rest)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = readBody(response)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
	}
	serve()
	_, err := io.WriteString(connection, "POST "+PathServices+"Reviews/Status HTTP/1.1\r\nHost: h\r\n")
	require.NoError(t, err)
	serve()
	began := time.Now()
	_, err = reader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the host closes an idle connection")
	require.GreaterOrEqual(t, time.Since(began), config.Requests.IdleTime/2)
}
