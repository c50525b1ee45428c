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
		require.Equal(t, 8, f.selector.byName[name].usableSlotsNow(f.clock.Now(), serviceLoads{}))
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
	require.LessOrEqual(t, f.selector.byName["e-1"].usableSlotsNow(f.clock.Now(), serviceLoads{}), 5, "the throttle has half of the slots")
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
		slots := f.selector.byName["e-1"].usableSlotsNow(f.clock.Now(), serviceLoads{})
		require.Equal(t, 8, slots, fmt.Sprint("response ", i))
	}
}
