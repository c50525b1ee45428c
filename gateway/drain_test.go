package gateway

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
)

// drainLoad counts what callers saw while a gateway drained.
type drainLoad struct {
	whole   atomic.Int64
	refused atomic.Int64
	cut     atomic.Int64
}

// caller makes calls one after the other until it is refused.
func (l *drainLoad) caller(b *fixture) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		request, err := http.NewRequest(http.MethodPost, "http://"+b.address+PathServices+"Reviews/Draft", strings.NewReader(dossier))
		if err != nil {
			l.cut.Add(1)
			return
		}
		request.Header.Set(HeaderWorkspace, "Students")
		response, err := client.Do(request)
		if err != nil {
			l.cut.Add(1)
			return
		}
		text, err := read(response)
		switch {
		case response.StatusCode == 503 && err == nil && strings.Contains(text, `"Ran":"No"`) && response.Close:
			l.refused.Add(1)
			return
		case response.StatusCode == 200 && err == nil && strings.Contains(text, "event: end"):
			l.whole.Add(1)
		default:
			l.cut.Add(1)
			return
		}
	}
}

func TestADrainUnderLoadCutsNoRequest(t *testing.T) {
	const callers = 40
	b := newFixture(t, WithLinger(time.Second))
	b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: 2 * time.Millisecond})
	var load drainLoad
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { load.caller(b) })
	}
	eventually(t, func() bool { return load.whole.Load() >= callers }, "the callers are served")
	require.NoError(t, b.gateway.Drain(t.Context()))
	group.Wait()
	require.NoError(t, <-b.served)
	require.Zero(t, load.cut.Load())
	require.Equal(t, int64(callers), load.refused.Load())
	require.Zero(t, b.gateway.InFlight())
}

func TestADrainFailsReadinessAndFinishesStreams(t *testing.T) {
	b := newFixture(t, WithLinger(0))
	b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: 30 * time.Millisecond})
	response := b.post("Reviews/Draft", dossier)
	drained := make(chan error, 1)
	go func() { drained <- b.gateway.Drain(context.Background()) }()
	eventually(t, b.gateway.Draining, "the drain has begun")

	ready, err := http.Get("http://" + b.address + PathReady)
	require.NoError(t, err)
	text, err := read(ready)
	require.NoError(t, err)
	require.Equal(t, 503, ready.StatusCode)
	require.Contains(t, text, `"Code":"Draining"`)

	refused := b.post("Reviews/Draft", dossier)
	text, err = read(refused)
	require.NoError(t, err)
	require.Equal(t, 503, refused.StatusCode)
	require.True(t, refused.Close)
	require.Contains(t, text, `"Ran":"No"`)

	text, err = read(response)
	require.NoError(t, err)
	require.Equal(t, wantTokens(dossier, 12), parseStream(t, text).tokens)
	require.NoError(t, <-drained)
}

// Callers keep connections for later. One that comes back on such a connection
// while a long stream holds up the drain is served if that can't delay the end.
func TestALateRequestThatFitsTheDrainIsServed(t *testing.T) {
	var lines bytes.Buffer
	logger, err := logs.New(&lines, "info", "json")
	require.NoError(t, err)
	b := newFixture(t, WithLinger(0), WithDrainLimit(patience), WithLateRequests())
	b.gateway.log = logs.Part(logger, "Route")
	b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: 50 * time.Millisecond})
	b.get("Reviews/Status", dossier)
	response := b.post("Reviews/Draft", dossier)
	drained := make(chan error, 1)
	go func() { drained <- b.gateway.Drain(context.Background()) }()
	eventually(t, b.gateway.Draining, "the drain has begun")

	refused := b.post("Reviews/Status", dossier, HeaderTimeout, (2 * patience).String(), HeaderRequest, "too-long")
	text, err := read(refused)
	require.NoError(t, err)
	require.Equal(t, 503, refused.StatusCode)
	require.Contains(t, text, `"Code":"Draining"`)
	require.Contains(t, text, `"Ran":"No"`)
	require.Contains(t, text, `"RetryAfter":0.05`, "the other hosts can serve at once")

	late := b.post("Reviews/Status", dossier, HeaderTimeout, "5s")
	_, err = read(late)
	require.NoError(t, err)
	require.Equal(t, 200, late.StatusCode)
	require.True(t, late.Close, "the next request goes elsewhere")

	text, err = read(response)
	require.NoError(t, err)
	require.Equal(t, wantTokens(dossier, 12), parseStream(t, text).tokens)
	require.NoError(t, <-drained)
	require.Contains(t, lines.String(), "too-long", "the refusal has its line")
}

func TestACallerThatNeverReadsDoesNotBlockTheDrain(t *testing.T) {
	b := newFixture(t, WithWriteStall(100*time.Millisecond))
	engine := b.engine(standin.EngineSettings{Name: "engine-1"})
	connection := b.neverRead()
	defer connection.Close()
	eventually(t, func() bool { return engine.Stats().Requests == 1 }, "the engine is asked")
	require.NoError(t, b.gateway.Drain(t.Context()))
}

func TestTheDrainLimitEndsAStreamThatDoesNot(t *testing.T) {
	b := newFixture(t, WithDrainLimit(50*time.Millisecond))
	b.silence(long)
	engine := b.engine(standin.EngineSettings{Name: "engine-1", TokenInterval: long})
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	go func() { _, _ = b.tryPost(ctx, "Reviews/Draft", dossier) }()
	eventually(t, func() bool { return engine.InFlight() == 1 }, "the engine is at work")
	require.ErrorIs(t, b.gateway.Drain(t.Context()), ErrDrainLimit)
}

func TestReadinessFollowsTheLease(t *testing.T) {
	b := newFixture(t)
	get := func(path string) int {
		response, err := http.Get("http://" + b.address + path)
		require.NoError(t, err)
		_, err = read(response)
		require.NoError(t, err)
		return response.StatusCode
	}
	require.Equal(t, 200, get(PathReady))
	b.authority.over.Store(true)
	require.Equal(t, 503, get(PathReady))
	require.Equal(t, 200, get(PathHealth))
}
