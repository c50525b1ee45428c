package route

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawTargets draws targets of a service without slowdowns.
func drawTargets(t *rapid.T) []LocalTarget {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) LocalTarget {
		return LocalTarget{
			Key:            rapid.Uint64().Draw(t, "key"),
			Availability:   rapid.SampledFrom([]Reason{Available, Available, Available, Leaving, DomainOut, Excluded, Gone}).Draw(t, "availability"),
			AtCapacity:     rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "at capacity"),
			Unhealthy:      rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "unhealthy"),
			RecentlyJoined: rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "recent"),
			RateLimited:    rapid.SampledFrom([]bool{false, false, false, true}).Draw(t, "rate limited"),
			SameDomain:     rapid.Bool().Draw(t, "same domain"),
			InFlight:       rapid.Float64Range(0, 50).Draw(t, "in flight"),
			Queued:         rapid.Float64Range(0, 5).Draw(t, "queued"),
			Slots:          rapid.IntRange(0, 64).Draw(t, "slots"),
			SlotsInUse:     rapid.Bool().Draw(t, "slots in use"),
			CachedTokens:   rapid.SampledFrom([]int{0, 0, 500, 1000, 2000}).Draw(t, "cached"),
			FailureRate:    rapid.Float64Range(0, 1).Draw(t, "failures"),
		}
	}), 0, 90).Draw(t, "targets")
}

// drawTraffic draws what a host knows of arriving requests.
func drawTraffic(t *rapid.T) Traffic { return replayTraffic(rapid.Float64Range(0, 40).Draw(t, "hot")) }

// Guards against a change for deployments whose targets report three figures, or no load.
func TestChooseLocal_WithoutSlowdownsChoosesAsBefore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, traffic := drawTargets(t), drawTraffic(t)
		costs := testCosts
		if rapid.Bool().Draw(t, "plain") {
			costs.PrefillToken, costs.TransferToken = 0, 0
		}
		for range 5 {
			key := rapid.SampledFrom([]uint64{0, rapid.Uint64().Draw(t, "key")}).Draw(t, "prompt")
			random := rapid.Uint64().Draw(t, "random")
			require.Equal(t, formerChooseLocal(key, random, traffic, 1000, targets, &costs), ChooseLocal(key, random, traffic, 1000, targets, &costs))
		}
	})
}

// Guards against the home of a prompt differing between hosts, whose figures differ: each
// would have the prompt prefilled at another target.
func TestChooseLocal_SlowdownMovesNoHome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		key := rapid.Uint64Min(1).Draw(t, "key")
		before := newRendezvousOrder(key, targets)
		for i := range targets {
			targets[i].Slowdown, targets[i].HomeSlowdown = drawSlowdown(t), drawSlowdown(t)
			targets[i].SharedFigure = true
		}
		require.Equal(t, before, newRendezvousOrder(key, targets))
	})
}

// drawSlowdown draws figures, most of them out of bounds or false.
func drawSlowdown(t *rapid.T) float64 {
	return rapid.SampledFrom([]float64{0, 1e-9, MinSlowdown, 0.5, 1, 2.5, MaxSlowdown, 1e9}).Draw(t, "slowdown")
}

// Guards against a false figure drawing traffic beyond the bound of a target, or letting
// the others have more than their bound.
func TestChooseLocal_FalseFigureRaisesNoBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, traffic := drawTargets(t), drawTraffic(t)
		for i := range targets {
			targets[i].Slowdown, targets[i].HomeSlowdown = drawSlowdown(t), drawSlowdown(t)
			targets[i].SharedFigure = rapid.Bool().Draw(t, "shared")
			// The reports of the others must not matter here.
			targets[i].RateLimited, targets[i].FailureRate, targets[i].Unhealthy = false, 0, false
		}
		key, random := rapid.Uint64().Draw(t, "key"), rapid.Uint64().Draw(t, "random")
		mean, _ := meanInFlight(targets)
		low, high := traffic.targetBounds(mean, targets)
		formerLow, formerHigh := traffic.formerTargetBounds(mean, targets)
		require.Equal(t, formerLow, low)
		require.Equal(t, formerHigh, high)
		choice := ChooseLocal(key, random, traffic, 1000, targets, &testCosts)
		if choice.Target == None {
			return
		}
		lowest := math.Inf(1)
		for i := range targets {
			if targets[i].Availability == Available && !targets[i].AtCapacity {
				lowest = min(lowest, targets[i].InFlight*MaxSlowdown*MaxSlowdown)
			}
		}
		if lowest+1 <= low {
			require.LessOrEqual(t, targets[choice.Target].InFlight, high+1, "no target above its bound is chosen while another one is below it, however slow that claims to be")
		}
	})
}

func TestSlowdownEstimate_StaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var estimate SlowdownEstimate
		now := replayStart
		for range rapid.IntRange(1, 40).Draw(t, "figures") {
			now = now.Add(replayTick * replayDuration(rapid.IntRange(0, 30).Draw(t, "ticks")) / 10)
			estimate.ObserveFigure(now, rapid.Float64().Draw(t, "figure"))
			if rapid.Bool().Draw(t, "sent") {
				estimate.RecordSent()
			}
			if !estimate.IsReported() {
				require.Zero(t, estimate.At(now))
				continue
			}
			for _, value := range []float64{estimate.At(now), estimate.AsHome(now)} {
				require.GreaterOrEqual(t, value, MinSlowdown)
				require.LessOrEqual(t, value, float64(MaxSlowdown))
			}
			require.GreaterOrEqual(t, estimate.AsHome(now), 1.0)
		}
	})
}
