package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/comfreytiller/platform"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target"
)

// newFairFixture returns a host with fair admission and two plain targets with 8 slots
// each, to which it sends all requests of the fleet.
func newFairFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.daemon.Protocol.Features = func([]string) protocol.Features { return protocol.Features{FairAdmission: true} }
	f.selector = newTargetSelector(f.daemon)
	f.daemon.selector = f.selector
	f.selector.hosts.record(1)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1), f.newRosterEntry("t-2", "treasury", "b", 1))
	return f
}

// digest tells the host how many requests of other hosts are on each target.
func (f *fixture) digest(inFlight int) {
	f.selector.applyLoads(byKey(map[string]int{"t-1": inFlight, "t-2": inFlight}), 0, nil)
}

// overload sends 100 requests a second to targets that take half of that, for 20 s.
func (f *fixture) overload(t *testing.T) {
	inFlight := 0
	for at := range 40 {
		f.clock.Advance(500 * time.Millisecond)
		for i := range 50 {
			if _, err := f.selector.Acquire(t.Context(), f.fairRequest(fmt.Sprint("o-", at, "-", i), "w-1", 0)); err == nil {
				inFlight++
			}
		}
		inFlight = max(inFlight-25, 0)
		for _, s := range f.selector.byName {
			s.ownInFlight = 0
		}
		f.digest(inFlight / 2)
	}
}

func (f *fixture) fairRequest(id, workspace string, priority int) admission.Request {
	now := f.clock.Now()
	return admission.Request{ID: id, Service: "treasury", Workspace: workspace, Priority: priority, Started: now, Deadline: now.Add(3 * time.Second)}
}

func (f *fixture) refusals(t *testing.T, n int, workspace string, priority int) []*admission.Refusal {
	var refusals []*admission.Refusal
	for i := range n {
		permit, err := f.selector.Acquire(t.Context(), f.fairRequest(fmt.Sprint("r-", i), workspace, priority))
		refusal := &admission.Refusal{}
		if err != nil {
			require.ErrorAs(t, err, &refusal)
			refusals = append(refusals, refusal)
			continue
		}
		f.release(permit, admission.OutcomeDone)
	}
	return refusals
}

// Guards against refusals by the new admission where a deployment has not asked for it: the
// throttle works as before.
func TestFairAdmission_IsOffWithoutTheFeature(t *testing.T) {
	require.False(t, new(protocol.Protocol).EnabledFeatures([]string{"pressure"}).FairAdmission)
	platformProtocol := platform.Protocol()
	require.False(t, platformProtocol.EnabledFeatures(nil).FairAdmission)
	require.False(t, platformProtocol.EnabledFeatures([]string{"Pressure", "other"}).FairAdmission, "unknown names are ignored")
	require.True(t, platformProtocol.EnabledFeatures([]string{"other", "pressure"}).FairAdmission)

	f := newFixture(t)
	require.Nil(t, f.selector.fair)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1))
	f.digest(60)
	require.Less(t, f.selector.throttles["treasury"].AdmitRate(), 1.0, "the throttle is in use")
}

// Guards against a throttle that is blind to rank: a less urgent request was served as
// often as an urgent one.
func TestFairAdmission_UrgentRequestsAreServedFirst(t *testing.T) {
	f := newFairFixture(t)
	f.overload(t)
	urgent, usual := f.refusals(t, 200, "w-2", 1), f.refusals(t, 200, "w-1", 0)
	require.Empty(t, urgent)
	require.Greater(t, len(usual), 60)
	for _, refusal := range usual {
		require.Equal(t, admission.RefusedQueueFull, refusal.Code)
		require.Positive(t, refusal.RetryAfter)
		require.LessOrEqual(t, refusal.RetryAfter, time.Second, "callers wait for a third of their time at most")
	}
	require.Empty(t, f.selector.throttles, "the throttle is not in use")
}

// Guards against refusals while half of the slots are free.
func TestFairAdmission_NothingIsRefusedWithFreePlaces(t *testing.T) {
	f := newFairFixture(t)
	f.overload(t)
	require.NotEmpty(t, f.refusals(t, 200, "w-1", 0))
	f.digest(3)
	require.Empty(t, f.refusals(t, 500, "w-1", 0))
}

// Guards against a retry that is refused after its first attempt had been admitted.
func TestFairAdmission_RetryIsNotDecidedAgain(t *testing.T) {
	f := newFairFixture(t)
	f.overload(t)
	for i := range 100 {
		request := f.fairRequest(fmt.Sprint("r-", i), "w-1", 0)
		request.Exclude = []string{"t-1"}
		permit, err := f.selector.Acquire(t.Context(), request)
		require.NoError(t, err)
		f.release(permit, admission.OutcomeDone)
	}
}

// Guards against a hub that is gone: the last digest must not stay in force, and targets
// that reject requests tell that they are full.
func TestFairAdmission_RecoversWithoutDigests(t *testing.T) {
	f := newFairFixture(t)
	f.overload(t)
	require.NotEmpty(t, f.refusals(t, 200, "w-1", 0))
	f.clock.Advance(4 * time.Second)
	for range 200 {
		f.clock.Advance(100 * time.Millisecond)
		f.refusals(t, 1, "w-1", 0)
	}
	require.Empty(t, f.refusals(t, 200, "w-1", 0))
	for range 10 {
		if permit, err := f.selector.Acquire(t.Context(), f.fairRequest("r", "w-1", 0)); err == nil {
			f.release(permit, admission.OutcomeRefused)
		}
		f.clock.Advance(200 * time.Millisecond)
	}
	require.NotEmpty(t, f.refusals(t, 200, "w-1", 0))
}

// Guards against retries that use the room that is missing.
func TestFairAdmission_RetryBudgetShrinksWithTheRoom(t *testing.T) {
	f := newFairFixture(t)
	require.InDelta(t, 1, f.selector.fair.retryShare("treasury"), 0)
	f.overload(t)
	require.Less(t, f.selector.fair.retryShare("treasury"), 0.7)
	f.digest(0)
	require.InDelta(t, 1, f.selector.fair.retryShare("treasury"), 0)
	require.InDelta(t, 1, f.selector.fair.retryShare("unknown"), 0)

	retries := func(room float64) int {
		budget := newRetryBudget(settings.Retries{Share: 0.2, Extra: 100, Window: 10 * time.Second}, func() int { return 1 }, f.clock)
		budget.room = func(string) float64 { return room }
		for range 500 {
			budget.RecordRequest("treasury")
		}
		taken := 0
		for budget.TakeRetry("treasury") {
			taken++
		}
		return taken
	}
	require.Equal(t, 40, retries(1))
	require.LessOrEqual(t, retries(0.1), 4, "what was earned before is cut as well")
}

// waitingRequest starts a request with an objective that lets it wait, and returns the
// channel of its result once it waits; nil if it does not.
func (f *fixture) waitingRequest(ctx context.Context, t *testing.T, id string) <-chan error {
	for i := range 100 {
		before := f.waitingCount()
		result := make(chan error, 1)
		request := f.fairRequest(fmt.Sprint(id, i), "w-1", 0)
		request.Objective = 2 * time.Second
		go func() {
			_, err := f.selector.Acquire(ctx, request)
			result <- err
		}()
		require.Eventually(t, func() bool { return len(result) > 0 || f.waitingCount() > before }, 5*time.Second, time.Millisecond)
		if f.waitingCount() > before {
			return result
		}
	}
	return nil
}

func (f *fixture) waitingCount() int {
	f.selector.fair.mu.Lock()
	defer f.selector.fair.mu.Unlock()
	return f.selector.fair.waiting
}

// Guards against requests that stay in the queue: when their caller has left, when a place
// is free, when their time is over, and when the host drains.
func TestFairAdmission_WaitEnds(t *testing.T) {
	tests := map[string]struct {
		end     func(f *fixture, leave func())
		refused bool
		left    bool
	}{
		"a digest shows free places": {end: func(f *fixture, _ func()) { f.digest(0) }},
		"its time is over": {end: func(f *fixture, _ func()) {
			s := f.selector.fair.services["treasury"]
			// The request may set its timer only after the clock has moved.
			require.Eventually(t, func() bool {
				f.selector.fair.mu.Lock()
				for w := range s.granted {
					w.ExpiresAt = f.clock.Now()
				}
				f.selector.fair.mu.Unlock()
				f.clock.Advance(5 * time.Millisecond)
				return f.waitingCount() == 0
			}, 5*time.Second, time.Millisecond)
		}, refused: true},
		"the caller leaves": {end: func(_ *fixture, leave func()) { leave() }, left: true},
		"the host drains":   {end: func(f *fixture, _ func()) { f.selector.fair.drain() }, refused: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFairFixture(t)
			f.overload(t)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			result := f.waitingRequest(ctx, t, "w")
			require.NotNil(t, result, "no request has waited")
			test.end(f, leave)
			err := <-result
			switch {
			case test.left:
				require.ErrorIs(t, err, context.Canceled)
			case test.refused:
				refusal := &admission.Refusal{}
				if err != nil {
					require.ErrorAs(t, err, &refusal)
				}
			default:
				require.NoError(t, err)
			}
			require.Zero(t, f.waitingCount())
			require.Zero(t, f.selector.fair.waitingBytes)
		})
	}
}

// Guards against a host that dies with a queue, or a caller that leaves it, when something of
// the request was sent or holds a place: it takes no permit before it has its place.
func TestFairAdmission_WaitingRequestHoldsNoPlace(t *testing.T) {
	f := newFairFixture(t)
	f.overload(t)
	inFlight := func() int {
		f.selector.mu.Lock()
		defer f.selector.mu.Unlock()
		sum := 0
		for _, s := range f.selector.byName {
			sum += s.ownInFlight
		}
		return sum
	}
	ctx, leave := context.WithCancel(t.Context())
	result := f.waitingRequest(ctx, t, "w")
	require.NotNil(t, result)
	before := inFlight()
	leave()
	require.ErrorIs(t, <-result, context.Canceled)
	require.Equal(t, before, inFlight())
}

// Guards against a load header of a target that is ignored: requests that wait there are
// no free places.
func TestFairLoad_CountsQueuedRequests(t *testing.T) {
	f := newFairFixture(t)
	permit, _ := f.acquire(t, "r", "treasury")
	f.selector.recordResponse(permit, target.ResponseHeader{Status: 200, Load: &target.Load{Running: 3, Queued: 5, Slots: 8}})
	f.digest(2)
	load := f.selector.fair.services["treasury"].Load()
	require.InDelta(t, 5, load.Queued, 0.01)
	require.Equal(t, 16, load.Slots)
}

// Guards against callers that all return at the same time, or after their deadline, when
// no target can take their requests.
func TestFairAdmission_CallersReturnSpread(t *testing.T) {
	f := newFairFixture(t)
	pauses := map[time.Duration]bool{}
	after := f.selector.fair.retryAfterFunc()
	for range 50 {
		request := f.fairRequest("r", "w-1", 0)
		request.Exclude = []string{"t-1", "t-2"}
		_, err := f.selector.Acquire(t.Context(), request)
		refusal := &admission.Refusal{}
		require.ErrorAs(t, err, &refusal)
		require.LessOrEqual(t, refusal.RetryAfter, time.Second)
		pauses[refusal.RetryAfter] = true
		require.LessOrEqual(t, after("treasury", request.Deadline), time.Second)
		require.LessOrEqual(t, after("unknown", request.Deadline), time.Second)
	}
	require.Greater(t, len(pauses), 40)
	require.Nil(t, (*fairAdmission)(nil).retryAfterFunc(), "without the feature the gateway has its own")
	require.Equal(t, noTargetRetryAfter, (*fairAdmission)(nil).spreadPause(noTargetRetryAfter, time.Time{}))
}

// Guards against a log that floods under overload, and against an operator who can't tell
// from it who is refused and why.
func TestFairAdmission_LogsWhoIsRefusedAtIntervals(t *testing.T) {
	f := newFairFixture(t)
	hook := logrustest.NewLocal(f.selector.fair.log)
	f.overload(t)
	lines := hook.AllEntries()
	require.NotEmpty(t, lines)
	require.LessOrEqual(t, len(lines), int(20*time.Second/fairLogInterval)+1)
	last := lines[len(lines)-1].Data
	require.Equal(t, "treasury", last["Service"])
	require.Equal(t, "w-1", last["MostRefused"])
	require.Positive(t, last["MostRefusedCount"])
	require.NotEmpty(t, last["Outcomes"])
	require.Contains(t, last["LastRefused"], "o-")

	scope, ok := f.daemon.Scope.(tally.TestScope)
	require.True(t, ok)
	refused, admitted := int64(0), int64(0)
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() != "fair_admission.requests" {
			continue
		}
		require.Equal(t, "treasury", counter.Tags()["service"])
		require.Equal(t, "0", counter.Tags()["rank"])
		if counter.Tags()["outcome"] == string(outcomeAdmitted) {
			admitted += counter.Value()
		} else {
			refused += counter.Value()
		}
	}
	require.Positive(t, refused)
	require.Equal(t, int64(39*50), admitted+refused, "all requests after the first digest")
}
