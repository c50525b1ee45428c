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

// drainCallers counts the results of calls during a drain.
type drainCallers struct {
	completed atomic.Int64
	refused   atomic.Int64
	cut       atomic.Int64
}

// callUntilRefused makes consecutive calls until one is refused.
func (l *drainCallers) callUntilRefused(f *fixture) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.address+PathServices+"Reviews/Draft", strings.NewReader(dossier))
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
		text, err := readBody(response)
		switch {
		case response.StatusCode == 503 && err == nil && strings.Contains(text, `"Ran":"No"`) && response.Close:
			l.refused.Add(1)
			return
		case response.StatusCode == 200 && err == nil && strings.Contains(text, "event: end"):
			l.completed.Add(1)
		default:
			l.cut.Add(1)
			return
		}
	}
}

func TestDrain_UnderLoadCutsNoRequest(t *testing.T) {
	const callers = 40
	f := newFixture(t, WithMinDrainDuration(time.Second))
	f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: 2 * time.Millisecond})
	var load drainCallers
	var group sync.WaitGroup
	for range callers {
		group.Go(func() { load.callUntilRefused(f) })
	}
	eventually(t, func() bool { return load.completed.Load() >= callers }, "the callers are served")
	require.NoError(t, f.gateway.Drain(t.Context()))
	group.Wait()
	require.NoError(t, <-f.served)
	require.Zero(t, load.cut.Load())
	require.Equal(t, int64(callers), load.refused.Load())
	require.Zero(t, f.gateway.InFlight())
}

func TestDrain_FailsReadinessAndFinishesStreams(t *testing.T) {
	f := newFixture(t, WithMinDrainDuration(0))
	f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: 30 * time.Millisecond})
	response := f.post("Reviews/Draft", dossier)
	drained := make(chan error, 1)
	go func() { drained <- f.gateway.Drain(context.Background()) }()
	eventually(t, f.gateway.Draining, "the drain has started")

	ready, err := http.Get("http://" + f.address + PathReady)
	require.NoError(t, err)
	text, err := readBody(ready)
	require.NoError(t, err)
	require.Equal(t, 503, ready.StatusCode)
	require.Contains(t, text, `"Code":"Draining"`)

	refused := f.post("Reviews/Draft", dossier)
	text, err = readBody(refused)
	require.NoError(t, err)
	require.Equal(t, 503, refused.StatusCode)
	require.True(t, refused.Close)
	require.Contains(t, text, `"Ran":"No"`)

	text, err = readBody(response)
	require.NoError(t, err)
	require.Equal(t, expectedTokens(dossier, 12), parseStream(t, text).tokens)
	require.NoError(t, <-drained)
}

// A request on a kept-alive connection, while a long stream delays the drain,
// is served if its deadline is before the end of the drain.
func TestDrain_ServesRequestThatEndsBeforeTimeout(t *testing.T) {
	var lines bytes.Buffer
	logger, err := logs.New(&lines, "info", "json")
	require.NoError(t, err)
	f := newFixture(t, WithMinDrainDuration(0), WithDrainTimeout(testTimeout), WithRequestsDuringDrain())
	f.gateway.log = logs.ForComponent(logger, "Route")
	f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: 50 * time.Millisecond})
	f.postAndRead("Reviews/Status", dossier)
	response := f.post("Reviews/Draft", dossier)
	drained := make(chan error, 1)
	go func() { drained <- f.gateway.Drain(context.Background()) }()
	eventually(t, f.gateway.Draining, "the drain has started")

	refused := f.post("Reviews/Status", dossier, HeaderTimeout, (2 * testTimeout).String(), HeaderRequest, "too-long")
	text, err := readBody(refused)
	require.NoError(t, err)
	require.Equal(t, 503, refused.StatusCode)
	require.Contains(t, text, `"Code":"Draining"`)
	require.Contains(t, text, `"Ran":"No"`)
	require.Contains(t, text, `"RetryAfter":0.05`, "the other hosts can serve at once")

	late := f.post("Reviews/Status", dossier, HeaderTimeout, "5s")
	_, err = readBody(late)
	require.NoError(t, err)
	require.Equal(t, 200, late.StatusCode)
	require.True(t, late.Close, "the connection is closed so that the next request uses another host")

	text, err = readBody(response)
	require.NoError(t, err)
	require.Equal(t, expectedTokens(dossier, 12), parseStream(t, text).tokens)
	require.NoError(t, <-drained)
	require.Contains(t, lines.String(), "too-long", "the refusal is logged")
}

func TestDrain_NotBlockedByCallerThatDoesNotRead(t *testing.T) {
	f := newFixture(t, WithWriteTimeout(100*time.Millisecond))
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	connection := f.openUnreadStream()
	defer connection.Close()
	eventually(t, func() bool { return engine.Stats().Requests == 1 }, "the engine receives the request")
	require.NoError(t, f.gateway.Drain(t.Context()))
}

func TestDrain_TimeoutWithOpenStream(t *testing.T) {
	f := newFixture(t, WithDrainTimeout(50*time.Millisecond))
	f.setTargetTimeout(neverElapses)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1", TokenInterval: neverElapses})
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	go func() { _, _ = f.tryPost(ctx, "Reviews/Draft", dossier) }()
	eventually(t, func() bool { return engine.InFlight() == 1 }, "the engine processes the request")
	require.ErrorIs(t, f.gateway.Drain(t.Context()), ErrDrainTimeout)
}

func TestReadiness_FailsIfLeaseExpired(t *testing.T) {
	f := newFixture(t)
	get := func(path string) int {
		response, err := http.Get("http://" + f.address + path)
		require.NoError(t, err)
		_, err = readBody(response)
		require.NoError(t, err)
		return response.StatusCode
	}
	require.Equal(t, 200, get(PathReady))
	f.authority.leaseExpired.Store(true)
	require.Equal(t, 503, get(PathReady))
	require.Equal(t, 200, get(PathHealth))
}
