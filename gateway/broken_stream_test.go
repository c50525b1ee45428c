package gateway

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"comfreytiller.dev/target/web"
	"github.com/stretchr/testify/require"
)

// A target stopped within the header of its response and ended its connection. No part of a
// header is a response: the call fails, and one that runs at most once is sent once and may
// have run.
func TestCutHeader_IsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nComfreytiller-Request: {id}\r\n"
	for name, header := range map[string]string{
		"length":            sound + "Content-Length: 1234\r\n\r\n",
		"no body":           sound + "Content-Length: 0\r\n\r\n",
		"stream":            sound + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		"204":               "HTTP/1.1 204 No Content\r\nComfreytiller-Request: {id}\r\n\r\n",
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nComfreytiller-Request: {id}\r\n\r\n" + sound + "Content-Length: 0\r\n\r\n",
		"refusal":           "HTTP/1.1 503 Full\r\nComfreytiller-Not-Executed: true\r\nComfreytiller-Request: {id}\r\nContent-Length: 0\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, " ", reset), func(t *testing.T) {
				t.Parallel()
				f := newFixture(t, WithRetries(1, 0))
				var at, arrivals atomic.Int64
				f.addRawTarget("target-1", func(*http.Request) rawResponse {
					arrivals.Add(1)
					return rawResponse{header[:at.Load()], reset}
				})
				for cut := range len(header) {
					at.Store(int64(cut))
					for _, path := range []string{"Treasury/Pay", "Treasury/Balance", "Reviews/Draft", "Reviews/File"} {
						arrivals.Store(0)
						status, text := f.postAndRead(path, `{}`)
						place := fmt.Sprintf("%s cut after %q", path, header[:cut])
						require.Equal(t, http.StatusBadGateway, status, place)
						require.Equal(t, "Unknown", executionResult(status, text), place)
						require.EqualValues(t, 1, arrivals.Load(), place)
					}
				}
			})
		}
	}
}

// A stream broke off, and the next target answered with something else than its rest. The
// caller gets the events before that, no part of an error and no end.
func TestBrokenStream_ErrorOfNextTargetIsNoPartOfIt(t *testing.T) {
	const oops = "oops: no such stream\n\n"
	header := func(status int, contentType string) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nComfreytiller-Request: {id}\r\nContent-Type: %s\r\n", status, contentType)
	}
	chunked := func(data string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(data), data)
	}
	event := func(id string, i int) string {
		return string(web.AppendEvent(nil, web.EventID(id, i), "token", []byte(fmt.Sprint(i))))
	}
	text := func(id string, first, last int) (text string) {
		for i := first; i <= last; i++ {
			text += event(id, i)
		}
		return text
	}
	end := func(id string, events int) string {
		return string(web.AppendEvent(nil, web.EventID(id, events), web.EndEventName, fmt.Appendf(nil, `{"Request":%q,"Events":%d}`, id, events)))
	}
	stream := header(http.StatusOK, contentStream)
	broken := map[string]func(id string) rawResponse{
		"last chunk missing": func(id string) rawResponse { return rawResponse{text: stream + chunked(text(id, 0, 1))} },
		"reset":              func(id string) rawResponse { return rawResponse{stream + chunked(text(id, 0, 1)), true} },
		"no end event":       func(id string) rawResponse { return rawResponse{text: stream + chunked(text(id, 0, 1)) + "0\r\n\r\n"} },
		"last chunk cut": func(id string) rawResponse {
			return rawResponse{text: stream + chunked(text(id, 0, 1)+end(id, 2)) + "0\r\n"}
		},
		"half an event": func(id string) rawResponse { return rawResponse{text: stream + chunked(text(id, 0, 1)+"id: "+id)} },
		"header within the stream": func(id string) rawResponse {
			return rawResponse{text: stream + chunked(text(id, 0, 1)+"HTTP/1.1 500 Oops\r\nContent-Length: 4\r\n\r\noops")}
		},
		"header for a chunk": func(id string) rawResponse {
			return rawResponse{text: stream + chunked(text(id, 0, 1)) + "HTTP/1.1 500 Oops\r\n\r\noops"}
		},
		"gap": func(id string) rawResponse { return rawResponse{text: stream + chunked(text(id, 0, 1)+text(id, 3, 4))} },
	}
	rests := map[string]func(id string) rawResponse{
		"closed at once":  func(string) rawResponse { return rawResponse{} },
		"not HTTP":        func(string) rawResponse { return rawResponse{text: oops} },
		"header cut":      func(string) rawResponse { return rawResponse{text: stream} },
		"empty":           func(string) rawResponse { return rawResponse{text: stream + "Content-Length: 0\r\n\r\n"} },
		"text":            func(string) rawResponse { return rawResponse{text: stream + chunked(oops) + "0\r\n\r\n"} },
		"close-delimited": func(id string) rawResponse { return rawResponse{text: stream + "\r\n" + text(id, 2, 4) + end(id, 5)} },
		"gap": func(id string) rawResponse {
			return rawResponse{text: stream + chunked(text(id, 3, 4)+end(id, 5)) + "0\r\n\r\n"}
		},
		"of another request": func(string) rawResponse {
			return rawResponse{text: stream + chunked(text("another", 2, 4)) + "0\r\n\r\n"}
		},
		"end of a longer one": func(id string) rawResponse { return rawResponse{text: stream + chunked(end(id, 5)) + "0\r\n\r\n"} },
		"interim only":        func(string) rawResponse { return rawResponse{text: "HTTP/1.1 103 X\r\n\r\n"} },
		"error after interim": func(string) rawResponse {
			return rawResponse{text: "HTTP/1.1 103 X\r\n\r\n" + header(500, "text/plain") + chunked(oops) + "0\r\n\r\n"}
		},
		"reset after a header": func(string) rawResponse { return rawResponse{stream + "Transfer-Encoding: chunked\r\n\r\n", true} },
	}
	for _, status := range []int{204, 206, 302, 404, 421, 429, 500, 503} {
		for _, contentType := range []string{"text/plain", contentStream} {
			head := header(status, contentType)
			rests[fmt.Sprint(status, " ", contentType, " text")] = func(string) rawResponse { return rawResponse{text: head + chunked(oops) + "0\r\n\r\n"} }
			rests[fmt.Sprint(status, " ", contentType, " events")] = func(id string) rawResponse {
				return rawResponse{text: head + chunked(text(id, 2, 4)+end(id, 5)) + "0\r\n\r\n"}
			}
			rests[fmt.Sprint(status, " ", contentType, " cut")] = func(string) rawResponse { return rawResponse{text: head[:len(head)-1]} }
		}
	}
	for name, begin := range broken {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var rest atomic.Pointer[func(id string) rawResponse]
			respond := func(request *http.Request) rawResponse {
				id := request.Header.Get(web.HeaderRequestID)
				if request.Header.Get(web.HeaderOffset) == "" {
					return begin(id)
				}
				return (*rest.Load())(id)
			}
			f.addRawTarget("engine-1", respond)
			f.addRawTarget("engine-2", respond)
			for restName, response := range rests {
				rest.Store(&response)
				f.setRetryTokens("Reviews", 10)
				place := fmt.Sprint(name, ", then ", restName)
				got := f.post("Reviews/Draft", `{}`)
				body, err := readBody(got)
				if got.StatusCode != http.StatusOK {
					// A reset may discard what was sent before it.
					require.Equal(t, http.StatusBadGateway, got.StatusCode, place)
					continue
				}
				require.Error(t, err, place)
				parsed := parseStream(t, body)
				require.Empty(t, parsed.endData, place)
				require.Contains(t, parsed.failureData, `"Ran":"Unknown"`, place)
				require.Equal(t, []string{"0", "1"}[:len(parsed.tokens)], parsed.tokens, place)
				events, _, found := strings.Cut(body, "event: "+errorEvent)
				require.True(t, found, place)
				require.NotContains(t, events, "HTTP/1.1", place)
				require.NotContains(t, events, "oops", place)
			}
		})
	}
}
