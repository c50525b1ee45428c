package rollout

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func sideOf(responses, failures uint64, firstByte time.Duration) Side {
	side := Side{Responses: responses, Failures: failures}
	side.FirstByte[bucketOf(firstByte)] = responses - failures
	return side
}

func countsOf(requests, exposed uint64, routes ...RouteReport) *ServiceReport {
	return &ServiceReport{Service: "s", Number: 1, Requests: requests, Exposed: exposed, Routes: routes}
}

func inputAt(elapsed time.Duration, share float64, counts *ServiceReport) Input {
	return Input{
		Now: time.Unix(1000, 0).Add(elapsed), Elapsed: elapsed, Duration: 12 * time.Second, Share: share, PromptShare: share, Counts: counts, HostsHaveShare: true,
		CommitTime: trialCommit, SlowCommitTime: trialCommit, SpreadTime: trialSpread,
	}
}

// Guards against a verdict on too few responses, and against a missed one on few.
func TestDecide_FewResponses(t *testing.T) {
	for _, test := range []struct {
		name        string
		new, others Side
		want        Action
	}{
		{"few failures of few", sideOf(4, 4, 0), sideOf(100, 0, 0), Keep},
		{"all of five", sideOf(5, 5, 0), sideOf(100, 0, 0), Revert},
		{"no others to compare with", sideOf(30, 30, 0), Side{}, Keep},
		{"as many as the others", sideOf(100, 14, 0), sideOf(1000, 140, 0), Keep},
		{"twice as many", sideOf(400, 112, 0), sideOf(4000, 560, 0), Revert},
	} {
		controller := NewController(trialBounds)
		decision := controller.Decide(inputAt(time.Second, 0.05, countsOf(1000, 50, RouteReport{Route: "r", New: test.new, Others: test.others})))
		require.Equal(t, test.want == Revert, decision.Action == Revert, "%s: %s", test.name, decision.Reason)
	}
}

// Guards against a fault on one route that the others hide.
func TestDecide_OneBadRoute(t *testing.T) {
	controller := NewController(trialBounds)
	decision := controller.Decide(inputAt(5*time.Second, 0.05, countsOf(20_000, 1000,
		RouteReport{Route: "large", New: sideOf(990, 2, 0), Others: sideOf(19_000, 40, 0)},
		RouteReport{Route: "small", New: sideOf(10, 8, 0), Others: sideOf(190, 1, 0)})))
	require.Equal(t, Revert, decision.Action)
	require.Contains(t, decision.Reason, `route "small"`)
}

// Guards against caches that are cold for the first seconds and look like a slow version, and
// against a slow version that hides behind that.
func TestDecide_SlowResponses(t *testing.T) {
	for _, staysSlow := range []bool{false, true} {
		controller := NewController(trialBounds)
		counts := countsOf(0, 0, RouteReport{Route: "r"})
		reverted := time.Duration(0)
		for elapsed := 50 * time.Millisecond; elapsed < 9*time.Second && reverted == 0; elapsed += 50 * time.Millisecond {
			counts.Requests += 20
			counts.Exposed++
			route := &counts.Routes[0]
			route.Others.Responses += 19
			route.Others.FirstByte[bucketOf(50*time.Millisecond)] += 19
			route.New.Responses++
			slow := elapsed < 2*time.Second || staysSlow
			firstByte := 50 * time.Millisecond
			if slow && int(elapsed/(50*time.Millisecond))%3 == 0 {
				firstByte *= 3
			}
			route.New.FirstByte[bucketOf(firstByte)]++
			if controller.Decide(inputAt(elapsed, 0.05, counts)).Action == Revert {
				reverted = elapsed
			}
		}
		require.Equal(t, staysSlow, reverted > 0)
		require.Less(t, reverted, 5*time.Second)
	}
}

// Guards against a machine that is lost with all its requests and looks like a bad version.
func TestDecide_LostMachineIsNoFault(t *testing.T) {
	controller := NewController(trialBounds)
	counts := countsOf(2000, 100, RouteReport{Route: "r", New: sideOf(92, 0, 0), Others: sideOf(1900, 0, 0)})
	require.NotEqual(t, Revert, controller.Decide(inputAt(4*time.Second, 0.05, counts)).Action)
	counts.Routes[0].New.Responses, counts.Routes[0].New.Lost = 100, 8
	for elapsed := 4 * time.Second; elapsed < 6*time.Second; elapsed += 50 * time.Millisecond {
		require.NotEqual(t, Revert, controller.Decide(inputAt(elapsed, 0.05, counts)).Action)
	}
	// Connections that are lost again and again are a fault.
	for elapsed := 6 * time.Second; elapsed < 9*time.Second; elapsed += 500 * time.Millisecond {
		counts.Routes[0].New.Responses += 5
		counts.Routes[0].New.Lost += 3
		if controller.Decide(inputAt(elapsed, 0.05, counts)).Action == Revert {
			return
		}
	}
	require.Fail(t, "the version was not reverted")
}

// Guards against a version that hangs: it has no bad responses before callers give up.
func TestDecide_HangingVersionIsNotMovedTo(t *testing.T) {
	controller := NewController(trialBounds)
	counts := countsOf(4000, 200, RouteReport{Route: "r", New: sideOf(100, 0, 0), Others: sideOf(3790, 0, 0)})
	decision := controller.Decide(inputAt(11900*time.Millisecond, 0.05, counts))
	require.Equal(t, Keep, decision.Action)
	require.Contains(t, decision.Reason, "have no response yet")
	require.Equal(t, Revert, controller.Decide(inputAt(12*time.Second, 0.05, counts)).Action)
}

// Guards against a rollout without targets that is complete, and a step to everything that is
// complete before the hosts have it, or while streams on the old targets could still end.
func TestDecide_Completion(t *testing.T) {
	empty := countsOf(1000, 0, RouteReport{Route: "r", Others: sideOf(1000, 0, 0)})
	require.Equal(t, Keep, NewController(trialBounds).Decide(inputAt(11900*time.Millisecond, 0.05, empty)).Action)
	require.Equal(t, Revert, NewController(trialBounds).Decide(inputAt(12*time.Second, 0.05, empty)).Action)
	require.Equal(t, Revert, NewController(trialBounds).Decide(inputAt(12*time.Second, 1, empty)).Action)

	counts := countsOf(2000, 300, RouteReport{Route: "r", New: sideOf(300, 0, 0), Others: sideOf(1700, 0, 0)})
	controller := NewController(trialBounds)
	late := inputAt(11*time.Second, 1, counts)
	require.Equal(t, Keep, controller.Decide(late).Action, "it is judged for some time")
	late = inputAt(11600*time.Millisecond, 1, counts)
	late.HostsHaveShare = false
	require.Equal(t, Keep, controller.Decide(late).Action, "hosts lack the share")
	late.HostsHaveShare, late.RunningOnOthers = true, 3
	require.Equal(t, Keep, controller.Decide(late).Action, "streams run on the old targets")
	late.RunningOnOthers = 0
	require.Equal(t, Complete, controller.Decide(late).Action)
	late = inputAt(11900*time.Millisecond, 1, counts)
	late.RunningOnOthers = 3
	require.Equal(t, Complete, controller.Decide(late).Action, "the deadline is near")
}

// Guards against counts that are lost or doubled when a report does not reach the hub.
func TestObserver_RestoredReportIsReportedAgain(t *testing.T) {
	observer := NewObserver()
	observer.RecordRequest("s", 3, true)
	observer.RecordFailure("s", 3, "r", true, Failure{IsLost: true})
	report := observer.TakeReport()
	empty := observer.TakeReport()
	require.True(t, empty.IsEmpty())
	observer.RecordRequest("s", 3, false)
	observer.RestoreReport(report)
	report = observer.TakeReport()
	require.Equal(t, uint64(2), report.Services[0].Requests)
	require.Equal(t, uint64(1), report.Services[0].Exposed)
	require.Equal(t, uint64(1), report.Services[0].Routes[0].New.Lost)
	observer.RecordRequest("s", 4, true)
	observer.RestoreReport(report)
	report = observer.TakeReport()
	require.Equal(t, uint64(4), report.Services[0].Number, "counts of an earlier rollout are forgotten")
	require.Equal(t, uint64(1), report.Services[0].Requests)
}

// Guards against prompts that change sides while the share grows.
func TestAssignment_LargerShareOnlyAddsPrompts(t *testing.T) {
	belongs := 0
	for key := uint64(1); key <= 20_000; key++ {
		prompt := key * 0x9e3779b97f4a7c15
		was := false
		for _, share := range []float64{0.05, 0.1, 0.3, 0.6, 1} {
			is := BelongsToNew(7, share, prompt)
			require.False(t, was && !is)
			was = is
		}
		if BelongsToNew(7, 0.1, prompt) {
			belongs++
		}
	}
	require.InDelta(t, 2000, belongs, 150)
}

// Measures the cost of counting one request with its response.
func BenchmarkObserver(b *testing.B) {
	observer := NewObserver()
	b.ReportAllocs()
	for b.Loop() {
		observer.RecordRequest("s", 1, true)
		observer.RecordFirstByte("s", 1, "r", true, 30*time.Millisecond)
	}
}
