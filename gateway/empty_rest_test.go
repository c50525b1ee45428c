package gateway

import (
	"fmt"
	"net/http"
	"testing"

	"comfreytiller.dev/target/web"
	"github.com/stretchr/testify/require"
)

// A stream broke off, and the next target sent only the end of it. That completes a stream
// whose next event may have been its end, but not one with an event behind a gap.
func TestBrokenStream_EndWithoutEvents(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nComfreytiller-Request: {id}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }
	event := func(id string, i int) string {
		return string(web.AppendEvent(nil, web.EventID(id, i), "token", []byte(fmt.Sprint(i))))
	}
	for name, test := range map[string]struct {
		more      func(id string) string
		completes bool
	}{
		"between events":            {func(string) string { return "" }, true},
		"between events, last":      {func(string) string { return "0\r\n\r\n" }, true},
		"within a line":             {func(string) string { return chunk("id: ") }, true},
		"between lines":             {func(id string) string { return chunk("id: " + web.EventID(id, 2) + "\n") }, true},
		"between lines, last chunk": {func(id string) string { return chunk("id: "+web.EventID(id, 2)+"\n") + "0\r\n\r\n" }, true},
		"gap":                       {func(id string) string { return chunk(event(id, 3)) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.setRetryTokens("Reviews", 10)
			respond := func(request *http.Request) rawResponse {
				id := request.Header.Get(web.HeaderRequestID)
				if request.Header.Get(web.HeaderOffset) == "" {
					return rawResponse{text: header + chunk(event(id, 0)+event(id, 1)) + test.more(id)}
				}
				end := web.AppendEvent(nil, web.EventID(id, 2), web.EndEventName, fmt.Appendf(nil, `{"Request":%q,"Events":2}`, id))
				return rawResponse{text: header + chunk(string(end)) + "0\r\n\r\n"}
			}
			f.addRawTarget("engine-1", respond)
			f.addRawTarget("engine-2", respond)
			body, err := readBody(f.post("Reviews/Draft", `{}`))
			require.Equal(t, test.completes, err == nil)
			parsed := parseStream(t, body)
			require.Equal(t, []string{"0", "1"}, parsed.tokens)
			require.Equal(t, test.completes, parsed.endData != "")
		})
	}
}
