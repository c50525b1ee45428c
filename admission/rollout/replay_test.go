package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// replies returns what becomes of the requests of a trial.
type replies func(random *rand.Rand, at time.Duration, route int, isNew bool) reply

// usual returns responses of 30 to 60 ms, of which the given rates by route fail.
func usual(rates ...float64) replies {
	return func(random *rand.Rand, _ time.Duration, route int, _ bool) reply {
		firstByte := 30*time.Millisecond + time.Duration(random.Int64N(int64(30*time.Millisecond)))
		return reply{firstByte: firstByte, isBad: route < len(rates) && random.Float64() < rates[route]}
	}
}

// bad makes the new version bad from a time on: on a route, or all with -1, a part of the
// requests fails, or takes three times as long.
func bad(base replies, from time.Duration, onRoute int, part float64, slow bool) replies {
	return func(random *rand.Rand, at time.Duration, route int, isNew bool) reply {
		result := base(random, at, route, isNew)
		if !isNew || at < from || onRoute >= 0 && route != onRoute || random.Float64() >= part {
			return result
		}
		result.isFault = true
		if slow {
			result.firstByte *= 3
		} else {
			result.isBad = true
		}
		return result
	}
}

var (
	trialRates     = []float64{30, 100, 300, 1000}
	trialDurations = []time.Duration{3 * time.Second, 12 * time.Second, 30 * time.Second, 120 * time.Second}
	trialRoutes    = [][]float64{{1}, {0.5, 0.5}, {0.6, 0.3, 0.1}}
)

// Guards against a good version that is reverted: with a base error rate of 14% on a route, few
// requests, few prompts, hundreds of hosts or another leader. It must be complete in time, and
// no old target may get a request then.
func TestReplay_GoodVersionIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates := [][]float64{nil, {0.14}, {0.02, 0.14}}
		trial := &trial{
			hosts:    rapid.SampledFrom([]int{1, 15, 60, 300}).Draw(t, "hosts"),
			rate:     rapid.SampledFrom(trialRates).Draw(t, "rate"),
			duration: rapid.SampledFrom(trialDurations[:2]).Draw(t, "duration"),
			prompts:  rapid.SampledFrom([]int{0, 0, 10, 1000}).Draw(t, "prompts"),
			routes:   rapid.SampledFrom(trialRoutes).Draw(t, "routes"),
			respond:  usual(rapid.SampledFrom(rates).Draw(t, "rates")...),
		}
		if rapid.Bool().Draw(t, "another leader") {
			trial.restartAt = trial.duration / 2
		}
		outcome := trial.play(rapid.Uint64().Draw(t, "seed"))
		require.Equal(t, Complete, outcome.state, outcome.reason)
		require.LessOrEqual(t, outcome.at, trial.duration)
		require.Zero(t, outcome.oldAfter)
		require.LessOrEqual(t, float64(outcome.exposed), outcome.allowed()*1.02)
	})
}

// Guards against a bad version that is not left in time or gets more than the bound: at once or
// later, on one route, failing or slower for a third.
func TestReplay_BadVersionIsReverted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		trial := &trial{
			hosts:    rapid.SampledFrom([]int{1, 15, 60, 300}).Draw(t, "hosts"),
			rate:     rapid.SampledFrom(trialRates).Draw(t, "rate"),
			duration: rapid.SampledFrom(trialDurations[:2]).Draw(t, "duration"),
			prompts:  rapid.SampledFrom([]int{0, 0, 1000}).Draw(t, "prompts"),
			routes:   rapid.SampledFrom(trialRoutes).Draw(t, "routes"),
		}
		route := rapid.IntRange(-1, len(trial.routes)-1).Draw(t, "bad route")
		slow := rapid.Bool().Draw(t, "slow")
		part := rapid.SampledFrom([]float64{0.34, 0.6, 1}).Draw(t, "part")
		from := time.Duration(rapid.SampledFrom([]float64{0, 0.3, 0.8, 0.95}).Draw(t, "from") * float64(trial.duration))
		trial.respond = bad(usual(rapid.SampledFrom([]float64{0, 0.14}).Draw(t, "base")), from, route, part, slow)
		outcome := trial.play(rapid.Uint64().Draw(t, "seed"))
		require.LessOrEqual(t, float64(outcome.exposed), outcome.allowed()*1.02, outcome.reason)
		if outcome.manyBadAt > 0 && outcome.state == Revert {
			require.LessOrEqual(t, outcome.leftAt-outcome.manyBadAt, 3*time.Second, outcome.reason)
		}
		if outcome.manyBadAt > 0 && outcome.manyBadAt+time.Second < outcome.at {
			require.Equal(t, Revert, outcome.state, outcome.reason)
		}
	})
}

// Prints the figures of some rollouts with -v.
func TestReplay_Figures(t *testing.T) {
	for _, duration := range trialDurations {
		for _, rate := range trialRates {
			for _, hosts := range []int{15, 300} {
				trial := &trial{hosts: hosts, rate: rate, duration: duration, routes: trialRoutes[1], respond: usual(0.14)}
				outcome := trial.play(1)
				t.Log(fmt.Sprintf("%v at %v requests a second over %d hosts: %s at %v, %d of %d exposed, %.0f allowed: %s",
					duration, rate, hosts, outcome.state, outcome.at, outcome.exposed, outcome.requests, outcome.allowed(), outcome.reason))
				require.Equal(t, Complete, outcome.state)
			}
		}
	}
}
