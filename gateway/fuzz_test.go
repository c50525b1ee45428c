package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// memoryConn is a connection whose caller has already sent all of its data.
type memoryConn struct {
	net.Conn
	in  *bytes.Reader
	out bytes.Buffer
}

func (c *memoryConn) Read(p []byte) (int, error)       { return c.in.Read(p) }
func (c *memoryConn) Write(p []byte) (int, error)      { return c.out.Write(p) }
func (c *memoryConn) Close() error                     { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *memoryConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }

// cuttingSender cuts every call after sending it.
type cuttingSender struct{ sent int }

func (s *cuttingSender) Send(_ context.Context, call target.Call) (target.Response, error) {
	if err := call.BeforeSend(); err != nil {
		return nil, &target.SendError{Err: err}
	}
	s.sent++
	return nil, &target.SendError{Sent: true, Err: target.ErrTruncated}
}

func (s *cuttingSender) Cancel(context.Context, string, string, int) error { return nil }

// FuzzRequest checks that any input is answered with valid HTTP and a valid
// failure body, and that "not run" is returned only if nothing was sent to a
// target.
func FuzzRequest(f *testing.F) {
	const head = " HTTP/1.1\r\nHost: h\r\nComfreytiller-Workspace: Students\r\n"
	f.Add([]byte("POST /v1/services/Treasury/Pay" + head + "Content-Length: 2\r\n\r\n{}"))
	f.Add([]byte("POST /v1/services/Treasury/Balance" + head + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("GET /readyz" + head + "\r\nGET /healthz" + head + "\r\n"))
	f.Add([]byte("POST /v1/services/Treasury/Pay" + head + "Idempotency-Key: k\r\nComfreytiller-Timeout: 1h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		sender := &cuttingSender{}
		entry := New(Dependencies{
			Admitter: &fakeAdmitter{permits: []admission.Permit{{Target: "treasury-1"}}}, Catalog: &fakeCatalog{fleet: exampleFleet()},
			Authority: &fakeAuthority{}, Claims: &fakeClaims{claims: map[ClaimKey]Claim{}}, Sender: sender, Clock: clockwork.NewRealClock(),
		}, WithBackoff(0))
		caller := &memoryConn{in: bytes.NewReader(raw)}
		_ = entry.server.ServeConn(caller)
		checkResponses(t, caller.out.Bytes(), sender.sent)
	})
}

func checkResponses(t *testing.T, out []byte, sent int) {
	reader := bufio.NewReader(bytes.NewReader(out))
	notRun, responses := 0, 0
	for reader.Buffered() > 0 || responses == 0 {
		response, err := http.ReadResponse(reader, nil)
		if responses == 0 && err != nil && len(out) == 0 {
			return
		}
		require.NoError(t, err)
		text, err := readBody(response)
		require.NoError(t, err)
		responses++
		if response.StatusCode < 400 || text == "" {
			continue
		}
		var body FailureBody
		require.NoError(t, json.Unmarshal([]byte(text), &body), text)
		require.NotEmpty(t, body.Code)
		if body.Ran == string(RanNo) {
			notRun++
		}
	}
	require.LessOrEqual(t, sent, responses-notRun)
}
