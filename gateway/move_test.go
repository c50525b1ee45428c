package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/standin"
	"comfreytiller.dev/target"
	"github.com/stretchr/testify/require"
)

// newMoveFixture returns a dispatcher of a stream that its first target runs, with another
// target and with three retries in the budget.
func newMoveFixture(callerCtx context.Context, t *testing.T) (f *fixture, d *dispatcher, current *attempt) {
	f = newRouteFixture(t, 3, WithStrictRetryBudget())
	f.addTarget("engine-1", "127.0.0.1:1")
	f.addTarget("engine-2", "127.0.0.1:1")
	d = f.gateway.newDispatcher(callerCtx, &Request{
		Service: fleet.Service{Name: "Reviews"}, Call: fleet.Call{Idempotent: true}, MaxAttempts: 2, Deadline: time.Now().Add(time.Minute),
	})
	t.Cleanup(d.cancel)
	d.relaying, d.possibleRuns = true, 1
	return f, d, &attempt{permit: f.admitter.permits[0]}
}

// A sound target was given up for a move that an obstacle prevents afterwards. Each obstacle
// alone must keep the request where it is, without a permit in its name.
func TestMoveObstacle_EachAloneKeepsTheTarget(t *testing.T) {
	cases := []struct {
		name   string
		change func(f *fixture, d *dispatcher, current *attempt)
		want   retryObstacle
	}{
		{"none", func(*fixture, *dispatcher, *attempt) {}, noObstacle},
		{"target without resumes", func(_ *fixture, _ *dispatcher, current *attempt) { current.permit.SupportsResume = false }, obstacleNotResumable},
		{"attempts of the route", func(_ *fixture, d *dispatcher, _ *attempt) { d.possibleRuns = 2 }, obstacleAttempts},
		{"resumes of the host", func(_ *fixture, d *dispatcher, _ *attempt) { d.resumes = defaultMaxResumes }, obstacleAttempts},
		{"attempts of the host", func(_ *fixture, d *dispatcher, _ *attempt) {
			d.relaying, d.failedAttempts = false, defaultMaxAttempts-1
		}, obstacleAttempts},
		{"deadline", func(_ *fixture, d *dispatcher, _ *attempt) { d.cancel() }, obstacleDeadline},
		{"budget", func(f *fixture, _ *dispatcher, _ *attempt) { f.setRetryTokens("Reviews", 0) }, obstacleRetryBudget},
		{"no other target", func(f *fixture, _ *dispatcher, _ *attempt) { f.admitter.permits = f.admitter.permits[:1] }, obstacleNoPermit},
		{"owner that does not answer", func(f *fixture, _ *dispatcher, _ *attempt) { f.admitter.blockAcquire = true }, obstacleNoPermit},
		{"other target without resumes", func(f *fixture, _ *dispatcher, _ *attempt) {
			f.admitter.permits[1].SupportsResume = false
		}, obstacleNotResumable},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f, d, current := newMoveFixture(t.Context(), t)
			test.change(f, d, current)
			require.Equal(t, test.want, d.moveObstacle(current))
			if test.want != noObstacle {
				require.Nil(t, d.reserved)
			}
		})
	}
}

// An owner that does not answer holds up the events of the target, which may have gone on.
func TestMoveObstacle_OwnerIsAwaitedBriefly(t *testing.T) {
	const maxEventDelay = 120 * time.Millisecond
	require.Less(t, reservationTimeout, maxEventDelay)
	f, d, current := newMoveFixture(t.Context(), t)
	f.admitter.blockAcquire = true
	started := time.Now()
	require.Equal(t, obstacleNoPermit, d.moveObstacle(current))
	require.Less(t, time.Since(started), 10*reservationTimeout)
}

// A caller that leaves between the reservation and the next attempt must not leave a permit
// behind that its target counts as a request.
func TestExchange_CloseReleasesReservedPermit(t *testing.T) {
	callerCtx, cancelCaller := context.WithCancel(t.Context())
	f, d, current := newMoveFixture(callerCtx, t)
	require.True(t, f.gateway.tracker.tryBegin())
	x := &exchange{dispatcher: d, cancelCaller: cancelCaller, stopWatch: func() {}, cancelDispatch: func() {}}
	require.True(t, d.mayGiveUp(current))
	cancelCaller()
	x.close()
	require.Equal(t, []admission.Outcome{admission.OutcomeUnsent}, f.admitter.outcomes())
	require.Equal(t, 3, f.retriesLeft("Reviews"), "the retry was not used")
}

// A retry that was reserved for a stream that could not move was lost, so that streams of
// silent targets used up the budget although nothing was sent again.
func TestSilentTarget_RetryIsReturnedWithoutAnotherTarget(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 1, WithStrictRetryBudget())
	f.addPlain("treasury-1").Inject(standin.Fault{Kind: standin.FaultDelayed, Delay: soundSilence, Count: 1})
	status, _ := f.postAndRead("lookup/1", `{}`)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, int64(1), f.counterValue("awaited_attempts"))
	require.Equal(t, 1, f.retriesLeft("Treasury"))
}

// Callers leave a target that stays silent before their deadline. Where the budget is empty the
// target was then not counted as failed, and went on to get requests.
func TestSilentTarget_CallerThatLeavesIsFailureOfTarget(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 0, WithStrictRetryBudget())
	f.addEngine(standin.EngineSettings{Name: "engine-1"}).Inject(standin.Fault{Kind: standin.FaultStalled, AfterEvents: 3, Count: 1})
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	response, err := f.tryPost(ctx, "opinion/1", draftBody)
	require.NoError(t, err)
	defer response.Body.Close()
	eventually(t, func() bool { return f.counterValue("awaited_attempts") == 1 }, "the target is silent")
	leave()
	eventually(t, func() bool { return len(f.admitter.outcomes()) == 1 }, "the permit is released")
	require.Equal(t, []admission.Outcome{admission.OutcomeFailed}, f.admitter.outcomes())
}

// A caller that leaves a target that has gone on is no failure of the target.
func TestSilentTarget_CallerThatLeavesLaterIsNoFailureOfTarget(t *testing.T) {
	callerCtx, leave := context.WithCancel(t.Context())
	f, d, current := newMoveFixture(callerCtx, t)
	d.Service.Timeouts = fleet.Timeouts{FirstByte: time.Second, Gap: time.Second}
	current.awaited, current.sentAt, d.lastDataAt = true, d.gateway.Clock.Now(), d.gateway.Clock.Now()
	leave()
	d.abandon(current, errCallerGone)
	eventually(t, func() bool { return len(f.admitter.outcomes()) == 1 }, "the permit is released")
	require.Equal(t, []admission.Outcome{admission.OutcomeCancelled}, f.admitter.outcomes())
}

// A stream that left a silent target and failed at the next one ran a third time on a route of
// two attempts: its runs were counted before the first resume only.
func TestResume_FailedResumesCountTowardsAttemptsOfRoute(t *testing.T) {
	t.Parallel()
	f := newRouteFixture(t, 5, WithStrictRetryBudget())
	f.addEngine(standin.EngineSettings{Name: "engine-1"}).Inject(standin.Fault{Kind: standin.FaultStalled, AfterEvents: 3, Count: 1})
	f.addEngine(standin.EngineSettings{Name: "engine-2"}).Inject(standin.Fault{Kind: standin.FaultError, Count: 1})
	f.addEngine(standin.EngineSettings{Name: "engine-3"})
	_, _ = readBody(f.post("opinion/1", draftBody))
	require.Equal(t, int64(2), f.counterValue("attempts"))
}

// A permit is requested with the service of the configuration under which the request arrived,
// which may have left the configuration in force.
func TestAdmissionRequest_CarriesServiceOfArrival(t *testing.T) {
	_, d, _ := newMoveFixture(t.Context(), t)
	d.Service.Timeouts.Total = time.Hour
	require.Equal(t, &d.Service, d.admissionRequest().ServiceConfig)
}

// A stream reserves its next attempt before the silent one is given up. The line of the silent one
// had the number of the next.
func TestMove_FailedAttemptKeepsItsNumber(t *testing.T) {
	f, d, current := newMoveFixture(t.Context(), t)
	var out lockedBuffer
	logger, err := logs.New(&out, "info", "text")
	require.NoError(t, err)
	f.gateway.log = logs.ForComponent(logger, "Route")
	d.attempts, current.number = 1, 1
	require.True(t, d.mayGiveUp(current))
	d.abandon(current, target.ErrTimeout)
	require.Contains(t, out.lines()[0], "Attempt=1")
	d.releaseReservedPermit()
}
