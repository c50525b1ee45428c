package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target/roster"
)

// newRolloutFixture returns a host with targets of the service "treasury": old ones of version
// v1 and new ones of v2 that come up later.
func newRolloutFixture(t testing.TB, old, next int) *fixture {
	f := newFixture(t)
	f.daemon.Settings.Rollouts = &settings.Rollouts{ExposedShare: 0.1, ExposedExtra: 50, RevertWithin: 5 * time.Second}
	f.selector = newTargetSelector(f.daemon)
	f.daemon.selector = f.selector
	f.applyVersion("v1", old)
	f.clock.Advance(startupSlack + time.Second)
	f.applyVersion("v2", next)
	return f
}

func (f *fixture) applyVersion(version string, count int) {
	var entries []roster.Entry
	for i := range count {
		entry := f.newRosterEntry(fmt.Sprintf("%s-%d", version, i), "treasury", "a", 1)
		entry.Version, entry.Capacity = version, 1000
		entries = append(entries, entry)
	}
	f.applyEntries(entries...)
}

// setRollout puts a rollout in force.
func (f *fixture) setRollout(rollout registry.Rollout) {
	view := *f.view
	view.Rollouts = map[string]registry.Rollout{"treasury": rollout}
	f.daemon.view.replace(&view)
}

// counts sends requests and returns how many went to each version, "" for refusals.
func (f *fixture) counts(requests int, change func(*admission.Request)) map[string]int {
	counts := map[string]int{}
	for i := range requests {
		request := admission.Request{ID: fmt.Sprint(i), Service: "treasury", Attempt: 1}
		if change != nil {
			change(&request)
		}
		permit, err := f.selector.Acquire(nil, request) //nolint:staticcheck // The selector uses no context.
		if err != nil {
			counts[""]++
			continue
		}
		counts[permit.Version]++
		f.release(permit, admission.OutcomeDone)
	}
	return counts
}

// Guards against requests to a version before its rollout: its targets announce themselves
// while the order is on its way.
func TestRollout_UnorderedVersionGetsNothing(t *testing.T) {
	f := newRolloutFixture(t, 3, 3)
	require.Equal(t, map[string]int{"v1": 200}, f.counts(200, nil))
	f.setRollout(registry.Rollout{Number: 5, Version: "v3", State: registry.RolloutReverted})
	require.Equal(t, map[string]int{"v1": 200}, f.counts(200, nil))
	// Without a target of an established version, a new one serves.
	gone := f.newRosterEntry("v1-0", "treasury", "a", 2)
	gone.Version, gone.State = "v1", roster.Gone
	second, third := gone, gone
	second.Name, third.Name = "v1-1", "v1-2"
	f.applyEntries(gone, second, third)
	require.Equal(t, map[string]int{"v2": 50}, f.counts(50, nil))
}

// Guards against more requests at the new version than the share, at retries, and at more of
// its targets than the share loads as much as the others.
func TestRollout_ShareIsKept(t *testing.T) {
	f := newRolloutFixture(t, 10, 10)
	f.setRollout(registry.Rollout{Number: 5, Version: "v2", State: registry.RolloutServing, Share: 0.1, PromptShare: 0.1})
	counts := f.counts(5000, nil)
	require.InDelta(t, 500, counts["v2"], 2)
	require.Equal(t, 5000, counts["v1"]+counts["v2"])
	used := 0
	for name, s := range f.selector.byName {
		if s.Version == "v2" && !s.ownAverageAt.IsZero() {
			used++
			require.Contains(t, name, "v2-")
		}
	}
	require.Equal(t, 1, used, "a tenth of the requests goes to a tenth of the targets")
	retried := f.counts(500, func(request *admission.Request) { request.Attempt, request.Exclude = 2, []string{"v1-0"} })
	require.Equal(t, map[string]int{"v1": 500}, retried)
	report := f.selector.rollouts.observer.TakeReport()
	require.Len(t, report.Services, 1)
	require.Equal(t, uint64(5000), report.Services[0].Requests)
	require.Equal(t, uint64(counts["v2"]), report.Services[0].Exposed)
}

// Guards against old targets that get requests once everything has moved, also retries and
// streams, and against a reverted version that gets any.
func TestRollout_EndedRolloutsAreFinal(t *testing.T) {
	f := newRolloutFixture(t, 3, 3)
	retry := func(request *admission.Request) {
		request.Attempt, request.Exclude = 2, []string{"v2-0", "v2-1", "v2-2"}
	}
	resume := func(version string) func(*admission.Request) {
		return func(request *admission.Request) { request.Version, request.RequiresVersion = version, true }
	}
	moved := []registry.Rollout{
		{Number: 5, Version: "v2", State: registry.RolloutServing, Share: 1, PromptShare: 1},
		{Number: 5, Version: "v2", State: registry.RolloutComplete, Share: 1, PromptShare: 1},
	}
	for _, rollout := range moved {
		f.setRollout(rollout)
		require.Equal(t, map[string]int{"v2": 100}, f.counts(100, nil))
		require.Equal(t, map[string]int{"": 100}, f.counts(100, retry))
		require.Equal(t, map[string]int{"": 100}, f.counts(100, resume("v1")))
		require.Equal(t, map[string]int{"v2": 100}, f.counts(100, resume("v2")))
	}
	f.setRollout(registry.Rollout{Number: 9, Version: "v3", State: registry.RolloutServing, Share: 0.1, Reverted: []string{"v1"}})
	require.Equal(t, map[string]int{"v2": 100}, f.counts(100, nil), "the version of the last rollout serves on")
	require.Equal(t, map[string]int{"": 100}, f.counts(100, resume("v1")))
	f.setRollout(registry.Rollout{Number: 11, Version: "v2", State: registry.RolloutReverted})
	require.Equal(t, map[string]int{"v1": 100}, f.counts(100, nil))
	require.Equal(t, map[string]int{"": 100}, f.counts(100, resume("v2")))
}

// Guards against a share that grows because the old targets are gone.
func TestRollout_WithoutOldTargetsTheShareHolds(t *testing.T) {
	f := newRolloutFixture(t, 1, 3)
	gone := f.newRosterEntry("v1-0", "treasury", "a", 2)
	gone.Version, gone.State = "v1", roster.Gone
	f.applyEntries(gone)
	f.setRollout(registry.Rollout{Number: 5, Version: "v2", State: registry.RolloutServing, Share: 0.1, PromptShare: 0.1})
	counts := f.counts(1000, nil)
	require.Less(t, counts["v2"], 20, "refused requests add nothing to the share")
	require.Equal(t, 1000, counts["v2"]+counts[""])
}

// Guards against targets of a failure domain that is out of service which count as new or old
// ones.
func TestRollout_DomainOutDoesNotCount(t *testing.T) {
	f := newRolloutFixture(t, 3, 3)
	out := f.newRosterEntry("v2-x", "treasury", "b", 1)
	out.Version = "v2"
	f.applyEntries(out)
	f.setRollout(registry.Rollout{Number: 5, Version: "v2", State: registry.RolloutComplete, Share: 1})
	view := *f.daemon.view.latest()
	view.DomainsOut = map[string]bool{"a": true}
	f.daemon.view.replace(&view)
	require.Equal(t, map[string]int{"v2": 50}, f.counts(50, nil))
	view.DomainsOut = map[string]bool{"b": true}
	f.daemon.view.replace(&view)
	require.Equal(t, map[string]int{"v2": 50}, f.counts(50, nil))
}

// Guards against outcomes that are counted on the wrong side, and refusals that count as bad.
func TestRollout_OutcomesAreCounted(t *testing.T) {
	f := newRolloutFixture(t, 1, 1)
	f.setRollout(registry.Rollout{Number: 5, Version: "v2", State: registry.RolloutServing, Share: 1, PromptShare: 1})
	permit := admission.Permit{Service: "treasury", Target: "v2-0", Version: "v2"}
	f.selector.recordFirstByte(permit, "pay", 40*time.Millisecond)
	release := func(target string, outcome admission.Outcome, status int, firstByte time.Duration, lost bool) {
		f.selector.Release(admission.Release{
			Service: "treasury", Target: target, Route: "pay", Outcome: outcome, Status: status, FirstByte: firstByte, ConnectionLost: lost,
		})
	}
	release("v2-0", admission.OutcomeDone, 500, 40*time.Millisecond, false)
	release("v2-0", admission.OutcomeDone, 404, 40*time.Millisecond, false)
	release("v2-0", admission.OutcomeFailed, 0, 0, false)
	release("v2-0", admission.OutcomeFailed, 0, 0, true)
	release("v2-0", admission.OutcomeRefused, 503, 0, false)
	release("v1-0", admission.OutcomeFailed, 503, 0, false)
	release("v1-0", admission.OutcomeCancelled, 0, 0, false)
	routes := f.selector.rollouts.observer.TakeReport().Services[0].Routes
	require.Len(t, routes, 1)
	require.Equal(t, "pay", routes[0].Route)
	require.Equal(t, []uint64{3, 2, 1, 1}, []uint64{routes[0].New.Responses, routes[0].New.Failures, routes[0].New.Lost, routes[0].New.NotRun})
	require.Equal(t, []uint64{1, 1}, []uint64{routes[0].Others.Responses, routes[0].Others.Failures})
}

// Without the setting and a rollout, versions play no role.
func TestRollout_OffChangesNothing(t *testing.T) {
	f := newFixture(t)
	f.applyVersion("v1", 2)
	f.clock.Advance(time.Minute)
	f.applyVersion("v2", 2)
	versions := map[string]int{}
	for i := range 8 {
		permit, refusal := f.acquire(t, fmt.Sprint(i), "treasury")
		require.Nil(t, refusal)
		versions[permit.Version]++
	}
	require.Equal(t, map[string]int{"v1": 4, "v2": 4}, versions)
	report := f.selector.rollouts.observer.TakeReport()
	require.True(t, report.IsEmpty())
}

// BenchmarkAcquire_Rollout measures a decision among 204 targets without and with a rollout.
func BenchmarkAcquire_Rollout(b *testing.B) {
	for _, name := range []string{"off", "serving", "complete"} {
		b.Run(name, func(b *testing.B) {
			f := newRolloutFixture(b, 102, 102)
			switch name {
			case "serving":
				f.setRollout(registry.Rollout{Number: 5, Version: "v2", State: registry.RolloutServing, Share: 0.05, PromptShare: 0.05})
			case "complete":
				f.setRollout(registry.Rollout{Number: 5, Version: "v2", State: registry.RolloutComplete, Share: 1})
			case "off":
				f.selector.rollouts.holdsBack = false
			}
			request := admission.Request{ID: "r", Service: "treasury", Attempt: 1}
			b.ReportAllocs()
			for b.Loop() {
				permit, err := f.selector.Acquire(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				f.release(permit, admission.OutcomeDone)
			}
		})
	}
}
