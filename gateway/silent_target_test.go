package gateway

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/standin"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	// routeTargetTimeout is the first-byte and gap timeout of the routes below.
	routeTargetTimeout = shortTargetTimeout
	// soundSilence is how long a sound target is silent.
	soundSilence = 2 * routeTargetTimeout
	// callerPatience is the shortest gap after which callers give a stream up.
	callerPatience = 2 * time.Second
)

// routeCodec resolves requests by the routes of the fleet configuration, with short
// timeouts.
type routeCodec struct {
	Codec
	table *fleet.Table
}

// ParseRequest implements Codec.
func (c *routeCodec) ParseRequest(ctx *fasthttp.RequestCtx, r *Request) *Failure {
	r.CallerID = r.ID
	query := RouteQuery{HostName: "desk", Path: strings.TrimPrefix(string(ctx.Path()), strings.TrimSuffix(PathServices, "/"))}
	if f := ResolveRoute(r, c.table, query); f != nil {
		return f
	}
	r.Body = ctx.PostBody()
	r.Service.Timeouts.FirstByte, r.Service.Timeouts.Gap = routeTargetTimeout, routeTargetTimeout
	return nil
}

// newRouteFixture returns a fixture with a resumable stream and an idempotent route of
// two attempts each, and with the given number of retries in the budgets.
func newRouteFixture(t *testing.T, retries int, options ...Option) *fixture {
	route := func(name string, kind fleet.RouteKind, service string) fleet.Route {
		return fleet.Route{
			Name: name, HostName: "desk", PathPrefix: "/" + name + "/", Kind: kind, Resumable: true, Attempts: 2, Public: true,
			Objective: 300 * time.Millisecond, Pause: 300 * time.Millisecond, Timeout: testTimeout,
			Split: []fleet.WeightedService{{Service: service, Weight: 1}},
		}
	}
	config := exampleFleet()
	config.Routes = []fleet.Route{route("opinion", fleet.RouteStream, "Reviews"), route("lookup", fleet.RouteIdempotent, "Treasury")}
	f := newFixtureWithFleet(t, config, append([]Option{WithRetries(defaultMaxAttempts, 0)}, options...)...)
	f.gateway.Codec = &routeCodec{Codec: f.gateway.Codec, table: fleet.NewTable(config)}
	f.setRetryTokens("Reviews", retries)
	f.setRetryTokens("Treasury", retries)
	return f
}

// postBeside makes four calls at the same time and returns their complete bodies. All
// must succeed.
func (f *fixture) postBeside(path, body string) []string {
	bodies, statuses, failures := make([]string, 4), make([]int, 4), make([]error, 4)
	var group sync.WaitGroup
	for i := range bodies {
		group.Go(func() {
			response, err := f.tryPost(f.t.Context(), path, body)
			if err != nil {
				failures[i] = err
				return
			}
			statuses[i] = response.StatusCode
			bodies[i], failures[i] = readBody(response)
		})
	}
	group.Wait()
	for i := range bodies {
		require.NoError(f.t, failures[i])
		require.Equal(f.t, http.StatusOK, statuses[i], bodies[i])
	}
	return bodies
}

// requireWholeStreams requires that a stream with the fault and sound streams beside it
// are complete.
func (f *fixture) requireWholeStreams(engine *standin.Engine, fault standin.Fault) {
	fault.Count = 1
	engine.Inject(fault)
	for _, body := range f.postBeside("opinion/1", draftBody) {
		stream := parseStream(f.t, body)
		require.Equal(f.t, expectedTokens(draftBody, 12), stream.tokens)
		require.NotEmpty(f.t, stream.endData)
		require.Empty(f.t, stream.failureData)
	}
}

// retriesLeft returns the retries in the budget of a service.
func (f *fixture) retriesLeft(service string) int {
	bucket := f.gateway.retryBudgets.forService(service)
	bucket.mu.Lock()
	defer bucket.mu.Unlock()
	return bucket.tokens / retryCost
}

// A stream of a target that was silent for a while was closed before the budget was asked
// whether it may go on elsewhere; with an empty one the caller lost its response.
func TestSilentTarget_StreamWaitsWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 0, WithStrictRetryBudget())
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	f.requireWholeStreams(engine, standin.Fault{Kind: standin.FaultPaused, AfterEvents: 3, Delay: soundSilence})
	require.Zero(t, f.counterValue("silent_attempts"))
}

// A target that requests wait for in silence looked sound until one of them ended.
func TestSilentTarget_SilenceIsReportedWhileRequestWaits(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 0, WithStrictRetryBudget())
	var reported sync.Map
	f.gateway.OnTargetSilence = func(permit admission.Permit) { reported.Store(permit.Target, true) }
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	f.requireWholeStreams(engine, standin.Fault{Kind: standin.FaultPaused, AfterEvents: 3, Delay: soundSilence})
	_, found := reported.Load("engine-1")
	require.True(t, found)
	_, found = reported.Load("engine-2")
	require.False(t, found)
}

// A request whose target was silent before its first event was answered 502 although the
// target would have responded.
func TestSilentTarget_FirstEventIsAwaitedWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 0, WithStrictRetryBudget())
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	f.requireWholeStreams(engine, standin.Fault{Kind: standin.FaultDelayed, Delay: soundSilence})
	require.Zero(t, f.counterValue("silent_attempts"))
}

// A stream that had moved once was cut when its second target was silent too, since the
// attempts of the route were counted after its connection was closed.
func TestSilentTarget_StreamWaitsWhenAttemptsAreUsedUp(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 5, WithStrictRetryBudget())
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"}).Inject(standin.Fault{Kind: standin.FaultPaused, AfterEvents: 6, Delay: soundSilence, Count: 1})
	f.requireWholeStreams(engine, standin.Fault{Kind: standin.FaultStalled, AfterEvents: 3})
	require.Equal(t, int64(1), f.counterValue("resumed_streams"))
	require.Equal(t, int64(1), f.counterValue("silent_attempts"))
}

// A stream of a silent target was closed although no other target admitted it.
func TestSilentTarget_StreamWaitsWithoutAnotherTarget(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 5, WithStrictRetryBudget())
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.admitter.onGrant = func() {
		f.admitter.refusal = &admission.Refusal{Code: admission.RefusedNoTarget, RetryAfter: time.Second}
	}
	engine.Inject(standin.Fault{Kind: standin.FaultPaused, AfterEvents: 3, Delay: soundSilence, Count: 1})
	text, err := readBody(f.post("opinion/1", draftBody))
	require.NoError(t, err)
	require.Equal(t, expectedTokens(draftBody, 12), parseStream(t, text).tokens)
	require.GreaterOrEqual(t, f.retriesLeft("Reviews"), 4, "at most one retry is reserved")
}

// An idempotent call was answered 502 for its target's silence although no retry was left.
func TestSilentTarget_IdempotentCallWaitsWithoutRetryBudget(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 0, WithStrictRetryBudget())
	f.addPlain("treasury-1").Inject(standin.Fault{Kind: standin.FaultDelayed, Delay: soundSilence, Count: 1})
	f.addPlain("treasury-2")
	f.postBeside("lookup/1", `{}`)
	require.Zero(t, f.counterValue("silent_attempts"))
}

// A host that waits for every silent target would lose the streams of those that are lost
// without notice.
func TestSilentTarget_StreamMovesBeforeItsCallerLeaves(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 1, WithStrictRetryBudget())
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	started := time.Now()
	f.requireWholeStreams(engine, standin.Fault{Kind: standin.FaultStalled, AfterEvents: 3})
	require.Less(t, time.Since(started), callerPatience)
	require.Equal(t, int64(1), f.counterValue("resumed_streams"))
	require.Zero(t, f.retriesLeft("Reviews"), "the move is charged")
}

// The move of an idempotent call must be charged once, or the budget holds half of what it
// promises.
func TestSilentTarget_IdempotentCallMovesAndIsChargedOnce(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 3, WithStrictRetryBudget())
	f.addPlain("treasury-1").Inject(standin.Fault{Kind: standin.FaultNoResponse, Count: 1})
	f.addPlain("treasury-2")
	status, _ := f.postAndRead("lookup/1", `{}`)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, 2, f.retriesLeft("Treasury"))
	require.Equal(t, 2, f.admitter.grants())
}

// The first resume of a budget that is not strict is free, for silent targets too.
func TestSilentTarget_FirstMoveIsFree(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 0)
	engine := f.addEngine(standin.EngineSettings{Name: "engine-1"})
	f.addEngine(standin.EngineSettings{Name: "engine-2"})
	f.requireWholeStreams(engine, standin.Fault{Kind: standin.FaultStalled, AfterEvents: 3})
	require.Equal(t, int64(1), f.counterValue("resumed_streams"))
}

// A stream whose next target does not resume, or whose deadline passes before it moves,
// must return the permit that it reserved, or the target counts a request too many.
func TestSilentTarget_UnusedPermitIsReleased(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 3, WithStrictRetryBudget())
	f.addTarget("engine-1", "127.0.0.1:1")
	f.addTarget("engine-2", "127.0.0.1:1")
	f.admitter.permits[1].SupportsResume = false
	request := &Request{
		Service: fleet.Service{Name: "Reviews"}, Call: fleet.Call{Idempotent: true}, MaxAttempts: 2, Deadline: time.Now().Add(time.Minute),
	}
	d := f.gateway.newDispatcher(t.Context(), request)
	defer d.cancel()
	d.relaying = true
	current := &attempt{permit: f.admitter.permits[0]}
	require.False(t, d.mayGiveUp(current))
	require.Equal(t, []admission.Outcome{admission.OutcomeUnsent}, f.admitter.outcomes())

	f.admitter.permits[1].SupportsResume = true
	require.True(t, d.mayGiveUp(current))
	require.Equal(t, 2, f.retriesLeft("Reviews"), "one retry is reserved, however often it is asked")
	require.Len(t, f.admitter.outcomes(), 1)
	d.releaseReservedPermit()
	require.Len(t, f.admitter.outcomes(), 2)
}

// A sound target may be silent for a second; a host that takes it for lost reads the prompt
// again elsewhere. One that waits too long loses the caller.
func TestRouteTimeouts_OutlastASoundSilenceAndLeaveTimeToMove(t *testing.T) {
	const (
		longestSoundSilence = time.Second
		// timeToMove is reserved for the first event of the next target.
		timeToMove = 700 * time.Millisecond
	)
	for _, objective := range []time.Duration{100 * time.Millisecond, 300 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, pause := range []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, 400 * time.Millisecond, time.Second} {
			timeouts := routeTimeouts(&fleet.Route{
				Kind: fleet.RouteStream, Resumable: true, Attempts: 2, Timeout: time.Minute, Objective: objective, Pause: pause,
			})
			patience := max(callerPatience, 4*objective, 8*pause)
			for _, timeout := range []time.Duration{timeouts.FirstByte, timeouts.Gap} {
				require.Greater(t, timeout, longestSoundSilence, "objective %v, pause %v", objective, pause)
				require.LessOrEqual(t, timeout, patience-timeToMove, "objective %v, pause %v", objective, pause)
			}
		}
	}
}

// A stream whose second attempt failed before an event was sent a third time, although its
// route allows two.
func TestStream_ResumesStayWithinAttemptsOfRoute(t *testing.T) {
	f := newRouteFixture(t, 5, WithStrictRetryBudget())
	f.addEngine(standin.EngineSettings{Name: "engine-1"}).Inject(standin.Fault{Kind: standin.FaultConnectionClosed, AfterEvents: 3})
	f.addEngine(standin.EngineSettings{Name: "engine-2"}).Inject(standin.Fault{Kind: standin.FaultConnectionClosed})
	third := f.addEngine(standin.EngineSettings{Name: "engine-3"})
	_, err := readBody(f.post("opinion/1", draftBody))
	require.Error(t, err)
	require.Equal(t, int64(2), f.counterValue("attempts"))
	require.Zero(t, third.Stats().Resumed)
}
