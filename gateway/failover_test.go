package gateway

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// addBlackhole inserts a proxy that can drop connections silently in front of
// the last added target.
func (f *fixture) addBlackhole(address string) *standin.Blackhole {
	blackhole, err := standin.NewBlackhole(address)
	require.NoError(f.t, err)
	f.t.Cleanup(blackhole.Close)
	f.admitter.mu.Lock()
	defer f.admitter.mu.Unlock()
	f.admitter.permits[len(f.admitter.permits)-1].Address = blackhole.Address()
	return blackhole
}

func TestIdempotentCall_RetriedOnNewConnectionIfUnresponsive(t *testing.T) {
	f := newFixture(t)
	f.setTargetTimeout(shortTargetTimeout)
	plain := f.addPlain("treasury-1")
	blackhole := f.addBlackhole(plain.Address())
	f.postAndRead("Treasury/Balance", `{}`)
	require.Equal(t, 1, blackhole.AcceptedCount())
	f.postAndRead("Treasury/Balance", `{}`)
	require.Equal(t, 1, blackhole.AcceptedCount(), "the connection is reused")

	blackhole.DropOpenConnections()
	status, _ := f.postAndRead("Treasury/Balance", `{}`, HeaderIdempotencyKey, "ask")
	require.Equal(t, 200, status)
	eventually(t, func() bool { return blackhole.AcceptedCount() == 1+2 }, "one connection to cancel the lost request and one for the retry")
	require.Equal(t, 1, plain.RunsByKey("ask"))
}

func TestAtMostOnce_UsesNewConnection(t *testing.T) {
	f := newFixture(t)
	f.setTargetTimeout(shortTargetTimeout)
	plain := f.addPlain("treasury-1")
	blackhole := f.addBlackhole(plain.Address())
	f.postAndRead("Treasury/Balance", `{}`)
	blackhole.DropOpenConnections()
	status, _ := f.postAndRead("Treasury/Pay", payment, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
	require.Equal(t, 2, blackhole.AcceptedCount())
}

func TestStream_ResumedIfConnectionUnresponsive(t *testing.T) {
	f := newFixture(t)
	f.setTargetTimeout(shortTargetTimeout)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: 20 * time.Millisecond})
	blackhole := f.addBlackhole(engine.Address())
	response := f.post("Reviews/Draft", dossier)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	blackhole.DropOpenConnections()
	var rest strings.Builder
	rest.WriteString(line)
	_, err = reader.WriteTo(&rest)
	require.NoError(t, err)
	stream := parseStream(t, rest.String())
	require.Equal(t, expectedTokens(dossier, 12), stream.tokens)
	require.NotEmpty(t, stream.end)
	require.Equal(t, int64(1), f.counterValue("resumed_streams"))
}

func TestStreams_FailOverIfEngineCloses(t *testing.T) {
	testStreamsFailOver(t, func(failing *standin.Engine) { failing.Close() })
}

// A failing engine may still accept connections for a moment and cut them
// before an event. This is not charged to the retry budget, since it has the
// same cause as the first cut and happens once per stream.
func TestStreams_FailOverIfEngineCutsTwice(t *testing.T) {
	testStreamsFailOver(t, func(failing *standin.Engine) {
		failing.Inject(standin.Fault{Kind: standin.FaultConnectionClosed})
		failing.CrashAndRestart(false)
	})
}

// testStreamsFailOver checks that every stream of a failing engine completes,
// even though there are more streams than retries in the budget.
func testStreamsFailOver(t *testing.T, failEngine func(*standin.Engine)) {
	const streams = 30
	f := newFixture(t)
	failing := f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: 100 * time.Millisecond})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	var group, started sync.WaitGroup
	var completed atomic.Int64
	started.Add(streams)
	for range streams {
		group.Go(func() {
			response := f.post("Reviews/Draft", dossier)
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			first, err := reader.ReadString('\n')
			started.Done()
			if err != nil {
				return
			}
			rest, err := io.ReadAll(reader)
			stream := parseStream(t, first+string(rest))
			if err == nil && stream.end != "" && slices.Equal(expectedTokens(dossier, 12), stream.tokens) {
				completed.Add(1)
			}
		})
	}
	// A request that has not received an event is charged to the retry budget.
	started.Wait()
	require.Equal(t, streams, failing.InFlight())
	failEngine(failing)
	group.Wait()
	require.Equal(t, int64(streams), completed.Load())
}

// The engine fails before the first event of any request. Retries stay within
// the budget, and the remaining callers receive a failure.
func TestStreams_FailOverBeforeFirstEventIsLimitedByRetryBudget(t *testing.T) {
	const streams = 30
	const allowedRetries = streams / 10
	f := newFixture(t, WithRetries(defaultMaxAttempts, float64(allowedRetries)/streams))
	failing := f.addEngine(standin.EngineSettings{Name: "engine-1", FirstByte: time.Minute})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	var group sync.WaitGroup
	var completed, failedCount atomic.Int64
	for range streams {
		group.Go(func() {
			response := f.post("Reviews/Draft", dossier)
			text, err := readBody(response)
			switch {
			case response.StatusCode == http.StatusOK && err == nil && parseStream(t, text).end != "":
				completed.Add(1)
			case response.StatusCode == http.StatusBadGateway && err == nil:
				failedCount.Add(1)
			}
		})
	}
	eventually(t, func() bool { return failing.InFlight() == streams }, "the engine processes the request")
	failing.Close()
	group.Wait()
	require.Equal(t, int64(allowedRetries), completed.Load())
	require.Equal(t, int64(streams-allowedRetries), failedCount.Load())
}

func TestUnresponsiveTarget_ReturnsFailure(t *testing.T) {
	f := newFixture(t)
	f.setTargetTimeout(shortTargetTimeout)
	plain := f.addPlain("treasury-1")
	blackhole := f.addBlackhole(plain.Address())
	blackhole.DropConnections(true)
	status, text := f.postAndRead("Treasury/Balance", `{}`)
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Zero(t, plain.TotalRuns())
}
