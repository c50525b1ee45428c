package web

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

// A target may send interim responses before the final one. They are not the response,
// and what follows them is not their body.
func TestClient_SkipsInterimResponses(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nComfreytiller-Request: r\r\nLink: </x>\r\n\r\n"
	for name, raw := range map[string]string{
		"close-delimited": "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\n\r\nbody",
		"with a length":   "HTTP/1.1 200 OK\r\nComfreytiller-Request: r\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, serveThenEnd(0, interim+raw, endClose))
			response, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address})
			require.NoError(t, err)
			defer response.Close()
			require.Equal(t, http.StatusOK, response.Header().Status)
			body, err := response.Body(1 << 10)
			require.NoError(t, err)
			require.Equal(t, "body", string(body))
		})
	}
	t.Run("native", func(t *testing.T) {
		s := newScriptedTarget(t, interim+okResponse)
		client := NewClient(clockwork.NewRealClock())
		defer client.Close()
		response, err := client.Send(context.Background(), s.call())
		require.NoError(t, err)
		defer response.Close()
		body, err := response.Body(1 << 10)
		require.NoError(t, err)
		require.Equal(t, "{}", string(body))
	})
	for name, raw := range map[string]string{
		"another protocol that was not asked for": "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"interim responses without end":           strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 1<<10),
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := startServer(t, serveThenEnd(0, raw, endHalfClose))
			_, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address})
			require.ErrorIs(t, err, target.ErrMalformedResponse)
		})
	}
	t.Run("nothing after an interim response", func(t *testing.T) {
		address, _ := startServer(t, serveThenEnd(0, interim, endClose))
		_, err := newPassthroughClient(t).Send(context.Background(), target.Call{Address: address})
		require.ErrorIs(t, err, target.ErrTruncated)
	})
}
