package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// limitRun lets targets take a request only now and then, as a host with a small share of
// their rate limits sees them.
func (r *loadReplay) limitRun(limited int, openShare float64) *loadReplay {
	random := rand.New(rand.NewPCG(1, 2))
	choose := chooseWithHome(0)
	for range 300 {
		for range 12 {
			for i := range limited {
				r.targets[i].RateLimited, r.targets[i].AtCapacity = true, random.Float64() >= openShare
			}
			r.sendWithCapacity(choose, random.Uint64N(99)+1, 10_000)
		}
		r.tick()
	}
	return r
}

// sendWithCapacity is send for targets whose AtCapacity is set by the caller.
func (r *loadReplay) sendWithCapacity(choose chooser, key uint64, tokens int) {
	closed := make([]bool, len(r.targets))
	for i := range r.targets {
		closed[i] = r.targets[i].AtCapacity
	}
	r.send(func(key uint64, tokens int, targets []LocalTarget) LocalChoice {
		for i := range targets {
			targets[i].AtCapacity = closed[i]
		}
		return choose(key, tokens, targets)
	}, key, tokens)
}

// Two thirds of the targets name a rate limit. The others must take all that these may
// not, although they get far more than the mean then, and a prompt must not be copied to
// one target after the other.
func TestChooseLocal_OthersTakeWhatRateLimitedTargetsMayNot(t *testing.T) {
	r := newLoadReplay(9).limitRun(6, 0.05)
	require.Zero(t, r.refused)
	for i := range 6 {
		require.Less(t, r.targets[i].InFlight, r.targets[6].InFlight, "target %d", i)
	}
	require.LessOrEqual(t, r.prefilled+r.transferred, 3*99*10_000, "each prompt is on three targets at most, on average")
}

// A target whose limit is not used up remains the home of its prompts.
func TestChooseLocal_RateLimitedTargetWithSlotIsHome(t *testing.T) {
	targets := localTargets(6)
	home := ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts)
	targets[home.Target].RateLimited = true
	require.Equal(t, home, ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts))
	targets[home.Target].AtCapacity = true
	beyond := ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts)
	require.NotEqual(t, home.Target, beyond.Target)
	require.Equal(t, home.Target, beyond.CacheSource)
	for i := range targets {
		targets[i].RateLimited = true
	}
	require.NotEqual(t, None, ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts).Target, "all targets have a limit")
}

// The last target without a limit takes what the others may not, up to its slots. Beyond
// them, requests use what is left of the limits, although that copies prompts.
func TestChooseLocal_LastUnlimitedTargetKeepsWithinItsSlots(t *testing.T) {
	targets := localTargets(9)
	for i := range 8 {
		targets[i].RateLimited = true
	}
	for i := range targets[8].Slots {
		targets[8].InFlight = float64(i)
		choice := ChooseLocal(uint64(i)+1, 0, replayTraffic(0), 10_000, targets, &testCosts)
		if float64(i) > freelyUsedSlots*float64(targets[8].Slots) {
			require.NotEqual(t, 8, choice.Target, "%d in flight", i)
		}
	}
	for i := range 8 {
		targets[i].AtCapacity = true
	}
	choose := func(inFlight float64) int {
		targets[8].InFlight, targets[8].SlotsInUse = inFlight, inFlight+1 > float64(targets[8].Slots)
		return ChooseLocal(3, 0, replayTraffic(0), 10_000, targets, &testCosts).Target
	}
	require.Equal(t, 8, choose(50))
	require.Equal(t, 8, choose(127))
	require.Equal(t, None, choose(128), "what would only wait is refused at once")
	targets[0].RateLimited, targets[0].AtCapacity = false, false
	targets[0].InFlight = 127
	require.Equal(t, 0, choose(128))
	targets[0].SlotsInUse = true
	require.Equal(t, None, choose(128))
}

// Targets with a rate limit are at capacity most of the time. Unlike targets that warm up,
// they are no reason to refuse what the busiest of the others can take.
func TestChooseLocal_RateLimitedTargetsAreNoReasonToRefuse(t *testing.T) {
	targets := localTargets(3)
	targets[0].AtCapacity = true
	targets[1].InFlight = 40
	targets[2].Unhealthy = true
	refused := 0
	choose := func() int {
		refused = 0
		random := rand.New(rand.NewPCG(1, 2))
		for range 100 {
			if ChooseLocal(0, random.Uint64(), replayTraffic(0), 0, targets, &testCosts).Target == None {
				refused++
			}
		}
		return refused
	}
	require.Positive(t, choose(), "beside a target that warms up")
	targets[0].RateLimited = true
	require.Zero(t, choose())
}
