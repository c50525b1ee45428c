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

// lossy puts a relay that can lose connections before a target.
func (b *fixture) lossy(address string) *standin.Blackhole {
	hole, err := standin.NewBlackhole(address)
	require.NoError(b.t, err)
	b.t.Cleanup(hole.Close)
	b.admitter.mu.Lock()
	defer b.admitter.mu.Unlock()
	b.admitter.targets[len(b.admitter.targets)-1].Address = hole.Address()
	return hole
}

func TestIdempotentWorkMovesFromASilentConnectionToANewOne(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	plain := b.plain("treasury-1")
	hole := b.lossy(plain.Address())
	b.get("Treasury/Balance", `{}`)
	require.Equal(t, 1, hole.AcceptedCount())
	b.get("Treasury/Balance", `{}`)
	require.Equal(t, 1, hole.AcceptedCount(), "the connection is used again")

	hole.DropOpenConnections()
	status, _ := b.get("Treasury/Balance", `{}`, HeaderKey, "ask")
	require.Equal(t, 200, status)
	eventually(t, func() bool { return hole.AcceptedCount() == 1+2 }, "one more to stop the lost request and one to ask again")
	require.Equal(t, 1, plain.RunsByKey("ask"))
}

func TestAPaymentNeverGoesOnAnOldConnection(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	plain := b.plain("treasury-1")
	hole := b.lossy(plain.Address())
	b.get("Treasury/Balance", `{}`)
	hole.DropOpenConnections()
	status, _ := b.get("Treasury/Pay", payment, HeaderKey, "pay-1")
	require.Equal(t, 200, status)
	require.Equal(t, 1, plain.RunsByKey("pay-1"))
	require.Equal(t, 2, hole.AcceptedCount())
}

func TestAStreamOnAConnectionThatGoesSilentIsResumed(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	engine := b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: 20 * time.Millisecond})
	hole := b.lossy(engine.Address())
	response := b.post("Reviews/Draft", dossier)
	defer response.Body.Close()
	reader := bufio.NewReader(response.Body)
	line, err := reader.ReadString('\n')
	require.NoError(t, err)
	hole.DropOpenConnections()
	var rest strings.Builder
	rest.WriteString(line)
	_, err = reader.WriteTo(&rest)
	require.NoError(t, err)
	stream := parseStream(t, rest.String())
	require.Equal(t, wantTokens(dossier, 12), stream.tokens)
	require.NotEmpty(t, stream.end)
	require.Equal(t, int64(1), b.counter("resumed_streams"))
}

func TestStreamsMoveFromAnEngineThatDies(t *testing.T) {
	streamsMove(t, func(dying *standin.Engine) { dying.Close() })
}

// An engine that dies may still take connections for a moment and cut them
// without an event. That is no other failure than the first one, and each stream
// meets it once.
func TestStreamsMoveFromAnEngineThatCutsThemTwice(t *testing.T) {
	streamsMove(t, func(dying *standin.Engine) {
		dying.Inject(standin.Fault{Kind: standin.FaultConnectionClosed})
		dying.CrashAndRestart(false)
	})
}

// streamsMove checks that every stream of an engine is whole although the engine
// fails, and more of them than the budget has retries.
func streamsMove(t *testing.T, failEngine func(*standin.Engine)) {
	const streams = 30
	b := newFixture(t)
	dying := b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: 100 * time.Millisecond})
	b.engine(standin.EngineSettings{Name: "engine-2"})
	var group, begun sync.WaitGroup
	var whole atomic.Int64
	begun.Add(streams)
	for range streams {
		group.Go(func() {
			response := b.post("Reviews/Draft", dossier)
			defer response.Body.Close()
			reader := bufio.NewReader(response.Body)
			first, err := reader.ReadString('\n')
			begun.Done()
			if err != nil {
				return
			}
			rest, err := io.ReadAll(reader)
			stream := parseStream(t, first+string(rest))
			if err == nil && stream.end != "" && slices.Equal(wantTokens(dossier, 12), stream.tokens) {
				whole.Add(1)
			}
		})
	}
	// A request without an event is not a stream yet: its retry is paid for.
	begun.Wait()
	require.Equal(t, streams, dying.InFlight())
	failEngine(dying)
	group.Wait()
	require.Equal(t, int64(streams), whole.Load())
}

// An engine dies before the first event of any request. Their retries stay
// within the budget, and the callers of the others are told.
func TestRequestsWithoutAnEventMoveWithinTheRetryBudget(t *testing.T) {
	const streams = 30
	const paid = streams / 10
	b := newFixture(t, WithRetries(defaultAttempts, float64(paid)/streams))
	dying := b.engine(standin.EngineSettings{Name: "engine-1", FirstByte: time.Minute})
	b.engine(standin.EngineSettings{Name: "engine-2"})
	var group sync.WaitGroup
	var whole, told atomic.Int64
	for range streams {
		group.Go(func() {
			response := b.post("Reviews/Draft", dossier)
			text, err := read(response)
			switch {
			case response.StatusCode == http.StatusOK && err == nil && parseStream(t, text).end != "":
				whole.Add(1)
			case response.StatusCode == http.StatusBadGateway && err == nil:
				told.Add(1)
			}
		})
	}
	eventually(t, func() bool { return dying.InFlight() == streams }, "the engine is at work")
	dying.Close()
	group.Wait()
	require.Equal(t, int64(paid), whole.Load())
	require.Equal(t, int64(streams-paid), told.Load())
}

func TestATargetThatIsSilentAltogetherIsGivenUp(t *testing.T) {
	b := newFixture(t)
	b.silence(shortSilence)
	plain := b.plain("treasury-1")
	hole := b.lossy(plain.Address())
	hole.DropConnections(true)
	status, text := b.get("Treasury/Balance", `{}`)
	require.Equal(t, 502, status)
	require.Contains(t, text, `"Ran":"Unknown"`)
	require.Zero(t, plain.TotalRuns())
}
