package gateway

import (
	"bufio"
	"fmt"
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
	"github.com/valyala/fasthttp"
)

// addBlackhole inserts a proxy in front of the last added target. The proxy can
// drop the data of connections without closing them.
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
	status, _ := f.postAndRead("Treasury/Pay", paymentBody, HeaderIdempotencyKey, "pay-1")
	require.Equal(t, 200, status)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
	require.Equal(t, 2, blackhole.AcceptedCount())
}

func TestStream_ResumedIfConnectionUnresponsive(t *testing.T) {
	f := newFixture(t)
	f.setTargetTimeout(shortTargetTimeout)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: 20 * time.Millisecond})
	blackhole := f.addBlackhole(engine.Address())
	response := f.post("Reviews/Draft", draftBody)
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
	require.Equal(t, expectedTokens(draftBody, 12), stream.tokens)
	require.NotEmpty(t, stream.endData)
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
			response := f.post("Reviews/Draft", draftBody)
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			first, err := reader.ReadString('\n')
			started.Done()
			if err != nil {
				return
			}
			rest, err := io.ReadAll(reader)
			stream := parseStream(t, first+string(rest))
			if err == nil && stream.endData != "" && slices.Equal(expectedTokens(draftBody, 12), stream.tokens) {
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

// attemptsCodec limits the number of targets that may run a request.
type attemptsCodec struct {
	Codec
	maxAttempts int
}

// ParseRequest implements Codec.
func (c attemptsCodec) ParseRequest(ctx *fasthttp.RequestCtx, r *Request) *Failure {
	r.MaxAttempts = c.maxAttempts
	return c.Codec.ParseRequest(ctx, r)
}

// A stream fails midway, and the target that resumes it fails before an event. Guards
// against a resume on more targets than may run the request, which spreads a request that
// crashes its targets.
func TestStream_ResumesStayWithinMaxAttempts(t *testing.T) {
	f := newFixture(t)
	f.gateway.Codec = attemptsCodec{Codec: f.gateway.Codec, maxAttempts: 2}
	engines := make([]*standin.Engine, 3)
	for i := range engines {
		engines[i] = f.addEngine(standin.EngineSettings{Name: fmt.Sprint("engine-", i+1)})
	}
	f.setRetryTokens("Reviews", 5)
	// A mismatch excludes its target from the next attempts, unlike a cut connection.
	engines[0].Inject(standin.Fault{Kind: standin.FaultRequestMismatch, AfterEvents: 4, Count: 1})
	engines[1].Inject(standin.Fault{Kind: standin.FaultConnectionClosed, Count: 1})
	text, err := readBody(f.post("Reviews/Draft", draftBody))
	require.Equal(t, 2, f.admitter.grants(), "two targets may run the request")
	require.Error(t, err, "the connection closes without the last chunk")
	require.Equal(t, expectedTokens(draftBody, 4), parseStream(t, text).tokens)
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
			response := f.post("Reviews/Draft", draftBody)
			text, err := readBody(response)
			switch {
			case response.StatusCode == http.StatusOK && err == nil && parseStream(t, text).endData != "":
				completed.Add(1)
			case response.StatusCode == http.StatusBadGateway && err == nil:
				failedCount.Add(1)
			}
		})
	}
	eventually(t, func() bool { return failing.InFlight() == streams }, "the engine processes all requests")
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
