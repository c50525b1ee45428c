package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target"
)

// respond records the header of a response of a target.
func (f *fixture) respond(target string, header target.ResponseHeader) {
	header.Status = 200
	f.selector.recordResponse(admission.Permit{Target: target, Incarnation: 1, Service: "engines"}, header)
}

// describe returns what the decision for a request sees of a target.
func (f *fixture) describe(name string) route.LocalTarget {
	s := f.selector.byName[name]
	service := f.view.Fleet.Services[0]
	return f.selector.describeCandidate(f.clock.Now(), s, f.view, &service, &admission.Request{Service: s.Service}, serviceLoads{hosts: 1})
}

// usableSlots returns the slots of a target that the throttle counts.
func (f *fixture) usableSlots(name string) int {
	service := f.view.Fleet.Services[0]
	return f.selector.usableSlotsNow(f.clock.Now(), f.selector.byName[name], &service, serviceLoads{})
}

// Guards against a change for deployments whose targets report three figures or none.
func TestDescribeCandidate_ThreeFiguresTellNoSlowdown(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1), f.newRosterEntry("e-2", "engines", "a", 1))
	f.respond("e-1", target.ResponseHeader{Load: &target.Load{Running: 3, Queued: 1, Slots: 8}})
	for _, name := range []string{"e-1", "e-2"} {
		local := f.describe(name)
		require.Zero(t, local.Slowdown)
		require.Zero(t, local.HomeSlowdown)
		require.False(t, local.SharedFigure)
		require.Equal(t, 8, f.usableSlots(name))
	}
}

// Guards against the fourth figure being read but not used.
func TestDescribeCandidate_FourthFigureIsSlowdown(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1))
	for range 100 {
		f.clock.Advance(100 * time.Millisecond)
		f.respond("e-1", target.ResponseHeader{Load: &target.Load{Running: 3, Slots: 8, Slowdown: 2}})
	}
	local := f.describe("e-1")
	require.InDelta(t, 2, local.Slowdown, 0.05)
	require.InDelta(t, 2, local.HomeSlowdown, 0.05)
	require.True(t, local.SharedFigure)
	require.InDelta(t, 3, local.InFlight, 0.01)
	require.LessOrEqual(t, f.usableSlots("e-1"), 5, "the throttle has half of the slots")
	permit, refusal := f.acquire(t, "r", "engines")
	require.Nil(t, refusal)
	require.InDelta(t, 2, permit.Inputs.Slowdown, 0.05)
	require.InDelta(t, 2, permit.Inputs.ToldSlowdown, 0)
}

// Guards against a malformed header counting as a load of zero, and against one log line
// for each response.
func TestRecordResponse_MalformedLoadIsCountedAndIgnored(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1))
	f.respond("e-1", target.ResponseHeader{Load: &target.Load{Running: 5, Slots: 8, Slowdown: 2}})
	before := f.describe("e-1")
	for range 3 {
		f.respond("e-1", target.ResponseHeader{LoadProblem: `"5,x,8" has a figure that is not a whole number in range`})
	}
	require.Equal(t, before, f.describe("e-1"))
	scope, ok := f.daemon.Scope.(tally.TestScope)
	require.True(t, ok)
	require.EqualValues(t, 3, scope.Snapshot().Counters()["malformed_target_loads+"].Value())
}

// Guards against a target that claims to be fast having more room than its slots.
func TestUsableSlotsNow_ClaimGivesNoRoom(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1))
	for i := range 100 {
		f.clock.Advance(100 * time.Millisecond)
		f.respond("e-1", target.ResponseHeader{Load: &target.Load{Running: i, Slots: 8, Slowdown: 0.01}})
		slots := f.usableSlots("e-1")
		require.Equal(t, 8, slots, fmt.Sprint("response ", i))
	}
}

// complete sends a request of a plain service and completes it after the given time.
func (f *fixture) complete(t *testing.T, id string, exclude []string, firstByte func(target string) time.Duration) string {
	permit, refusal := f.acquire(t, id, "treasury", exclude...)
	require.Nil(t, refusal)
	f.clock.Advance(5 * time.Millisecond)
	f.selector.Release(admission.Release{
		RequestID: id, Service: "treasury", Target: permit.Target, Incarnation: permit.Incarnation, Outcome: admission.OutcomeDone,
		FirstByte: firstByte(permit.Target), Duration: firstByte(permit.Target), Succeeded: true, Inputs: permit.Inputs,
	})
	return permit.Target
}

// plainFixture returns a host with three targets of a plain service, of which the given one
// takes 1.5 times as long. Each has responded to 3,000 requests, in turn.
func plainFixture(t *testing.T, slow string) (f *fixture, firstByte func(name string) time.Duration) {
	f = newFixture(t)
	names := []string{"t-1", "t-2", "t-3"}
	for _, name := range names {
		f.applyEntries(f.newRosterEntry(name, "treasury", "a", 1))
	}
	firstByte = func(name string) time.Duration {
		took := time.Duration(38+f.clock.Now().UnixNano()/1e6%5) * time.Millisecond
		if name == slow {
			took += took / 2
		}
		return took
	}
	for i := range 9000 {
		f.complete(t, fmt.Sprint(i), []string{names[(i+1)%3], names[(i+2)%3]}, firstByte)
	}
	return f, firstByte
}

// A target of a plain service that always takes 1.5 times as long gets fewer requests, and
// counts with fewer slots in the throttle.
func TestAcquire_SlowPlainTargetGetsFewerRequests(t *testing.T) {
	f, _ := plainFixture(t, "")
	for _, name := range []string{"t-1", "t-2", "t-3"} {
		require.Zero(t, f.describePlain(name).Slowdown, "equal targets have no slowdown")
	}
	f, firstByte := plainFixture(t, "t-1")
	require.InDelta(t, 1.45, f.describePlain("t-1").Slowdown, 0.1)
	require.False(t, f.describePlain("t-1").SharedFigure)
	got := map[string]int{}
	for i := range 100 {
		got[f.complete(t, fmt.Sprint("free-", i), nil, firstByte)]++
	}
	require.Zero(t, got["t-1"])
	service := f.view.Fleet.Services[1]
	require.Equal(t, 6, f.selector.usableSlotsNow(f.clock.Now(), f.selector.byName["t-1"], &service, serviceLoads{}))
}

// Guards against engines without a figure being judged by response times, which depend on
// their prompts.
func TestRecordWorkTime_EngineWithoutFigureIsNotJudged(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1), f.newRosterEntry("e-2", "engines", "a", 1))
	for i := range 1000 {
		permit, refusal := f.acquire(t, fmt.Sprint(i), "engines")
		require.Nil(t, refusal)
		f.clock.Advance(10 * time.Millisecond)
		f.selector.Release(admission.Release{Service: "engines", Target: permit.Target, Incarnation: 1, Outcome: admission.OutcomeDone, FirstByte: time.Second, Duration: time.Second, Succeeded: true, Inputs: permit.Inputs})
	}
	require.Empty(t, f.selector.responseTimes)
	require.Zero(t, f.describe("e-1").Slowdown)
}

// describePlain returns what the decision for a request sees of a plain target.
func (f *fixture) describePlain(name string) route.LocalTarget {
	service := f.view.Fleet.Services[1]
	return f.selector.describeCandidate(f.clock.Now(), f.selector.byName[name], f.view, &service, &admission.Request{Service: service.Name}, serviceLoads{hosts: 1})
}

// A target that claims to take a quarter of the usual time, but responds as fast as the
// others, must lose most of its advantage.
func TestDescribeCandidate_ResponseTimesOutweighFalseClaim(t *testing.T) {
	f := newFixture(t)
	names := []string{"t-1", "t-2", "t-3"}
	for _, name := range names {
		f.applyEntries(f.newRosterEntry(name, "treasury", "a", 1))
	}
	for i := range 9000 {
		name := f.complete(t, fmt.Sprint(i), []string{names[(i+1)%3], names[(i+2)%3]}, func(string) time.Duration { return time.Duration(38+i%5) * time.Millisecond })
		claim := 1.0
		if name == "t-1" {
			claim = 0.25
		}
		f.respond(name, target.ResponseHeader{Load: &target.Load{Running: 1, Slots: 8, Slowdown: claim}})
	}
	require.InDelta(t, 0.25, f.selector.byName["t-1"].speed.told.At(f.clock.Now()), 0.01)
	require.Greater(t, f.describePlain("t-1").Slowdown, 0.7)
	require.InDelta(t, 1, f.describePlain("t-2").Slowdown, 0.6)
}
