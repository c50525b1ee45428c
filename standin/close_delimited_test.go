package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"comfreytiller.dev/target/web"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// readCloseDelimited sends a call and returns the body of the response, which must have
// neither a length nor chunked encoding, and the error that ended it.
func readCloseDelimited(t *testing.T, address, accept string) (string, error) {
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = fmt.Fprintf(connection, "POST %sS/C HTTP/1.1\r\nHost: x\r\nAccept: %s\r\n%s: r\r\nContent-Length: 2\r\n\r\n{}", web.PathServices, accept, web.HeaderRequestID)
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	require.NoError(t, err)
	require.Equal(t, "r", response.Header.Get(web.HeaderRequestID))
	require.Empty(t, response.TransferEncoding)
	require.Empty(t, response.Header.Values("Content-Length"))
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestFaultCloseDelimited(t *testing.T) {
	engine := newEngine(t, EngineSettings{DefaultTokens: 3})
	plain, err := NewPlainService(clockwork.NewRealClock(), PlainServiceSettings{Name: "plain-1"})
	require.NoError(t, err)
	t.Cleanup(plain.Close)
	for _, ending := range []Ending{EndingClose, EndingHalfClose, EndingReset} {
		fault := Fault{Kind: FaultCloseDelimited, Ending: ending, Count: 1, Delay: time.Millisecond}
		plain.Inject(fault)
		body, err := readCloseDelimited(t, plain.Address(), "*/*")
		require.Equal(t, ending == EndingReset, err != nil)
		require.JSONEq(t, fmt.Sprintf(`{"Service":"S","Call":"C","Key":"","Run":%d}`, plain.TotalRuns()), body)

		engine.Inject(fault)
		text, err := readCloseDelimited(t, engine.Address(), "text/event-stream")
		require.Equal(t, ending == EndingReset, err != nil)
		require.Equal(t, 3, strings.Count(text, "event: token\n"))
		require.Contains(t, text, `"Events":3`)

		fault.AfterEvents = 2
		engine.Inject(fault)
		text, _ = readCloseDelimited(t, engine.Address(), "text/event-stream")
		require.Equal(t, 2, strings.Count(text, "event: token\n"))
		require.NotContains(t, text, `"Events"`)
	}
	require.Equal(t, 3, engine.Stats().Completed)
}
