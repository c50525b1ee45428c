package rpc

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// echo responds with the request body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(body)
}

func serve(t *testing.T, key string, clock clockwork.Clock) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &fasthttp.Server{Handler: NewHandler(http.HandlerFunc(echo), []byte(key), clock)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return "http://" + listener.Addr().String()
}

func post(t *testing.T, address, key string, clock clockwork.Clock) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, address+"/twirp/x", strings.NewReader("hello"))
	require.NoError(t, err)
	response, err := NewClient([]byte(key), clock).Do(request)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return response.StatusCode, string(body)
}

func TestSignedCallSucceeds(t *testing.T) {
	clock := clockwork.NewRealClock()
	status, body := post(t, serve(t, "key", clock), "key", clock)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "hello", body)
}

func TestCallWithWrongKeyRejected(t *testing.T) {
	clock := clockwork.NewRealClock()
	status, _ := post(t, serve(t, "key", clock), "other", clock)
	require.Equal(t, http.StatusUnauthorized, status)
}

func TestExpiredCallRejected(t *testing.T) {
	now := clockwork.NewRealClock()
	later := clockwork.NewFakeClockAt(now.Now().Add(maxSkew + time.Minute))
	status, _ := post(t, serve(t, "key", later), "key", now)
	require.Equal(t, http.StatusUnauthorized, status)
}
