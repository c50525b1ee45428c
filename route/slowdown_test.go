package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replayStart is the time at which replays begin.
var replayStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

type replayDuration = time.Duration

func TestSlowdownEstimate_WeighsByAgeAndRequests(t *testing.T) {
	var estimate SlowdownEstimate
	now := replayStart
	require.Zero(t, estimate.At(now))
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		estimate.ObserveFigure(now, 1)
	}
	estimate.ObserveFigure(now, 3)
	fresh := estimate.At(now)
	require.InDelta(t, 1+2*freshWeight, fresh, 0.01, "a single figure counts half")
	require.InDelta(t, 1+2*freshWeight/2, estimate.At(now.Add(freshHalfLife)), 0.01)
	for range freshHalfRequests {
		estimate.RecordSent()
	}
	require.InDelta(t, 1+2*freshWeight/2, estimate.At(now), 0.01)
	require.InDelta(t, 1, estimate.At(now.Add(time.Minute)), 0.01)
}

// A home that is slow for 300 ms keeps its prompts; one that is slow for seconds loses
// them once, and does not get them back and lose them again while its figure varies.
func TestSlowdownEstimate_HomeHasHysteresis(t *testing.T) {
	var estimate SlowdownEstimate
	now := replayStart
	observe := func(figure float64, ticks int) (changes int) {
		before := estimate.AsHome(now) > 1
		for range ticks {
			now = now.Add(50 * time.Millisecond)
			estimate.ObserveFigure(now, figure)
			if after := estimate.AsHome(now) > 1; after != before {
				before, changes = after, changes+1
			}
		}
		return changes
	}
	observe(1, 60)
	require.Zero(t, observe(2.5, 6), "300 ms")
	observe(1, 60)
	require.Equal(t, 1, observe(3, 60))
	require.Greater(t, estimate.AsHome(now), slowHomeStart)
	changes := 0
	for range 20 {
		changes += observe(1.2, 2) + observe(1.8, 2)
	}
	require.Zero(t, changes)
	require.Equal(t, 1, observe(1, 100))
}

// unevenReplay sends requests without prompts from many hosts to targets whose speed
// changes, and reports what the requests took.
type unevenReplay struct {
	targets, hosts, perTick, ticks int
	// redraw is the number of ticks between two draws of the slow targets.
	redraw int
	// ignore leaves the figures out, trust uses the latest one as it is without spreading.
	ignore, trust bool
}

// run returns the mean time of the requests, relative to one that is alone on a target,
// and the largest load of a target as a multiple of the mean.
func (r unevenReplay) run() (meanTime, maxLoad float64) {
	random := rand.New(rand.NewPCG(7, 8))
	targets := localTargets(r.targets)
	speed, running, remaining := make([]float64, r.targets), make([]float64, r.targets), make([][]float64, r.targets)
	estimates := make([][]SlowdownEstimate, r.hosts)
	for h := range estimates {
		estimates[h] = make([]SlowdownEstimate, r.targets)
	}
	const tick = 20 * time.Millisecond
	now, total, count, excess := replayStart, 0.0, 0, 0.0
	digest := make([]float64, r.targets)
	// own holds the requests of each host since the digest.
	own := make([][]float64, r.hosts)
	for h := range own {
		own[h] = make([]float64, r.targets)
	}
	for step := range r.ticks {
		now = now.Add(tick)
		if step%r.redraw == 0 {
			for i := range speed {
				speed[i] = 1
				if random.IntN(7) == 0 {
					speed[i] = 2.5
				}
			}
		}
		if step%10 == 0 {
			copy(digest, running)
			for h := range own {
				clear(own[h])
			}
		}
		for range r.perTick {
			host := random.IntN(r.hosts)
			view := make([]LocalTarget, len(targets))
			for i := range view {
				view[i] = targets[i]
				view[i].SameDomain, view[i].InFlight = true, digest[i]+own[host][i]
				if estimate := &estimates[host][i]; !r.ignore && estimate.IsReported() {
					view[i].Slowdown, view[i].HomeSlowdown, view[i].SharedFigure = estimate.At(now), estimate.AsHome(now), true
					if r.trust {
						view[i].Slowdown, view[i].SharedFigure = estimate.latest, false
					}
				}
			}
			choice := ChooseLocal(0, random.Uint64(), Traffic{ReportAge: 200 * time.Millisecond, Duration: 200 * time.Millisecond}, 0, view, &testCosts)
			at := choice.Target
			running[at]++
			own[host][at]++
			// Work takes ten ticks, and longer beside others.
			work := 10 * speed[at] * (1 + running[at]/20)
			remaining[at] = append(remaining[at], work)
			total += work / 10
			count++
			estimates[host][at].RecordSent()
			// Hosts read the figure in the responses of their own requests.
			estimates[host][at].ObserveFigure(now, speed[at])
		}
		sum, most := 0.0, 0.0
		for i := range remaining {
			kept := remaining[i][:0]
			for _, left := range remaining[i] {
				if left > 1 {
					kept = append(kept, left-1)
				}
			}
			remaining[i], running[i] = kept, float64(len(kept))
			sum, most = sum+running[i], max(most, running[i])
		}
		excess += most / max(sum/float64(r.targets), 1)
	}
	return total / float64(count), excess / float64(r.ticks)
}

// A seventh of the targets take 2.5 times as long for some hundred milliseconds, and
// hosts read their figures at the same time. They must use the figures, and must not all
// go to the same target.
func TestChooseLocal_UnevenTargetsWithoutHerding(t *testing.T) {
	for _, hosts := range []int{15, 141} {
		replay := unevenReplay{targets: 28, hosts: hosts, perTick: 28, ticks: 600, redraw: 30}
		with, maxWith := replay.run()
		replay.trust = true
		trusting, maxTrusting := replay.run()
		replay.trust, replay.ignore = false, true
		without, maxWithout := replay.run()
		t.Logf("%d hosts: mean time %.3f with figures, %.3f trusting them, %.3f without; largest load %.2f, %.2f and %.2f of the mean", hosts, with, trusting, without, maxWith, maxTrusting, maxWithout)
		require.Less(t, with, 0.97*without, "%d hosts", hosts)
		require.LessOrEqual(t, maxWith, 1.1*maxWithout, "%d hosts", hosts)
	}
}
