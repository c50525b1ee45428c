package web

import (
	"context"
	"strconv"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

// malformedHeads are heads that violate the grammar of HTTP/1, by the part that errors name.
var malformedHeads = map[string]string{
	"HTTP/1.1 000 Odd":  "HTTP/1.1 000 Odd\r\n",
	"HTTP/1.1 000":      "HTTP/1.1 000\r\n",
	"HTTP/1.1  200 OK":  "HTTP/1.1  200 OK\r\n",
	"HTTP/1.1 600 Odd":  "HTTP/1.1 600 Odd\r\n",
	"HTTP/1.1 099 Odd":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 099 Odd\r\n",
	"HTTP/2.0 200 Fine": "HTTP/2.0 200 Fine\r\n",
	"X Odd":             "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	"X-Odd ":            "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
	`X-Odd\t`:           "HTTP/1.1 200 OK\r\nX-Odd\t: 1\r\n",
	" folded":           "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n folded\r\n",
	`X\x00Odd`:          "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n",
	"X-Interim ":        "HTTP/1.1 103 Early Hints\r\nX-Interim : 1\r\n\r\nHTTP/1.1 200 OK\r\n",
}

// A target in trouble answered with a malformed head. No request that a host sends to
// targets may take it for a success: calls, orders, cancellations and transfers of caches.
func TestClient_MalformedHeadIsNoResponse(t *testing.T) {
	const path = "/v1/cache/c"
	for value, head := range malformedHeads {
		respond := func(id, body string) string {
			return head + HeaderRequestID + ": " + id + "\r\n" + body
		}
		for name, test := range map[string]struct {
			response string
			send     func(client *Client, address string) error
		}{
			"call": {respond("r", "Content-Length: 2\r\n\r\n{}"), func(client *Client, address string) error {
				_, err := client.Send(context.Background(), target.Call{RequestID: "r", Address: address, Service: "s", Name: "n"})
				return err
			}},
			"stream": {respond("r", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"), func(client *Client, address string) error {
				_, err := client.Send(context.Background(), target.Call{RequestID: "r", Address: address, Service: "s", Name: "n", Stream: true})
				return err
			}},
			"order": {respond("control-POST"+PathOrders, "Content-Length: 27\r\n\r\n"+`{"ID":"o-1","State":"Done"}`), func(client *Client, address string) error {
				_, err := client.SendOrder(context.Background(), address, target.Order{ID: "o-1", Kind: target.OrderUnload})
				return err
			}},
			"cancellation": {respond("control-POST"+PathCancel+"r/1", "Content-Length: 0\r\n\r\n"), func(client *Client, address string) error {
				return client.Cancel(context.Background(), address, "r", 1)
			}},
			"export of a cache": {respond("control-GET"+path, "Content-Length: 2\r\n\r\nkv"), func(client *Client, address string) error {
				_, err := client.ExportCache(context.Background(), address, "c")
				return err
			}},
			"import of a cache": {respond("control-POST"+path, "Content-Length: 0\r\n\r\n"), func(client *Client, address string) error {
				return client.ImportCache(context.Background(), address, "c", []byte("kv"))
			}},
		} {
			t.Run(name+" "+strconv.Quote(value), func(t *testing.T) {
				sound := strings.Replace(test.response, head, "HTTP/1.1 200 OK\r\n", 1)
				for _, response := range []string{sound, test.response} {
					s := newScriptedTarget(t, response)
					client := NewClient(clockwork.NewRealClock())
					defer client.Close()
					err := test.send(client, s.listener.Addr().String())
					if response == sound {
						require.NoError(t, err)
						continue
					}
					require.ErrorIs(t, err, target.ErrMalformedResponse)
					require.ErrorContains(t, err, value)
					var sendError *target.SendError
					require.ErrorAs(t, err, &sendError)
					require.True(t, sendError.Sent)
					require.Zero(t, sendError.Header)
				}
			})
		}
	}
}

// A response whose framing only the library refuses counted as a connection that its target
// closed, as by a crash: a rollout excuses those, and the request was suspected of the crash.
func TestClient_RefusedFramingIsNoLostConnection(t *testing.T) {
	for _, fields := range []string{
		"Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: +2\r\n", "Content-Length: 2, 2\r\n", "Content-Length:\r\n",
		"Transfer-Encoding: gzip\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 2\r\nTrailer: Content-Length\r\n",
	} {
		s := newScriptedTarget(t, "HTTP/1.1 200 OK\r\n"+HeaderRequestID+": r\r\n"+fields+"\r\n{}")
		client := NewClient(clockwork.NewRealClock())
		defer client.Close()
		_, err := client.Send(context.Background(), target.Call{RequestID: "r", Address: s.listener.Addr().String(), Service: "s", Name: "n"})
		require.ErrorIs(t, err, target.ErrMalformedResponse, "%q", fields)
		require.NotErrorIs(t, err, target.ErrTruncated, "%q", fields)
	}
}
