package gateway

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"comfreytiller.dev/target/web"
	"github.com/stretchr/testify/require"
)

// A target may answer the rest of a stream with a plain response, such as an error. It
// is no part of the stream: the caller must get neither its bytes nor an event twice.
func TestResume_PlainResponseIsNoPartOfTheStream(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			f := newFixture(t)
			f.setRetryTokens("Reviews", 10)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			offsets := make(chan string, 16)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				if request.URL.Path != web.PathServices+"Reviews/Draft" {
					return
				}
				id := request.Header.Get(web.HeaderRequestID)
				w.Header().Set(web.HeaderRequestID, id)
				offset := request.Header.Get(web.HeaderOffset)
				offsets <- offset
				if offset != "" {
					w.WriteHeader(status)
					_, _ = w.Write([]byte(`{"Error":"unknown event"}`))
					return
				}
				w.Header().Set("Content-Type", contentStream)
				for i := range 2 {
					_, _ = w.Write(web.AppendEvent(nil, web.EventID(id, i), "token", []byte(fmt.Sprint(i))))
				}
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})}
			go func() { _ = server.Serve(listener) }()
			t.Cleanup(func() { _ = server.Close() })
			f.addTarget("engine-1", listener.Addr().String())

			text, err := readBody(f.post("Reviews/Draft", `{}`))
			require.Error(t, err, "the stream is incomplete")
			stream := parseStream(t, text)
			require.Equal(t, []string{"0", "1"}, stream.tokens)
			require.Empty(t, stream.endData)
			require.Contains(t, stream.failureData, `"Ran":"Unknown"`)
			require.Contains(t, text, "id: 2\nevent: error\n", "the number of events before the failure")
			for range len(offsets) {
				require.Contains(t, []string{"", "2"}, <-offsets)
			}
			eventually(t, func() bool { return len(f.admitter.outcomes()) == f.admitter.grants() }, "every permit is released")
		})
	}
}
