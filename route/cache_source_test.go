package route

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a source that can't be asked, and against the home being passed over for a
// target that holds less.
func TestFindCacheSource_IsHealthyAndHoldsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		for i := range targets {
			targets[i].JoinedLately = rapid.Bool().Draw(t, "joined lately")
			if rapid.IntRange(0, 9).Draw(t, "version") == 0 {
				targets[i].Availability = OtherVersion
			}
		}
		const tokens = 1000
		key := rapid.Uint64Min(1).Draw(t, "key")
		choice := ChooseLocal(key, rapid.Uint64().Draw(t, "random"), drawTraffic(t), tokens, targets, &testCosts)
		source := FindCacheSource(key, tokens, choice, targets)
		if choice.Target == None || targets[choice.Target].CachedTokens >= tokens {
			require.Equal(t, None, source)
			return
		}
		if source == None {
			require.Equal(t, None, choice.CacheSource)
			return
		}
		require.NotEqual(t, choice.Target, source)
		require.NotEqual(t, Gone, targets[source].Availability)
		require.False(t, targets[source].Unhealthy)
		if source != choice.CacheSource {
			require.NotEqual(t, OtherVersion, targets[source].Availability)
		}
		switch {
		case source == choice.CacheSource:
		case choice.CacheSource != None:
			require.GreaterOrEqual(t, targets[source].CachedTokens, tokens, "only a target that holds the whole prompt outweighs the home")
			require.Less(t, targets[choice.CacheSource].CachedTokens, tokens)
		case targets[source].CachedTokens < targets[choice.Target].CachedTokens+minCopiedTokens:
			require.True(t, choice.Home && targets[choice.Target].JoinedLately, "only the former home of a prompt may hold it without being known to")
			require.False(t, targets[source].JoinedLately)
		}
	})
}

// Guards against the first part of a new prompt being prefilled at its home although other
// targets hold it.
func TestFindCacheSource_HomeGetsKnownFirstPart(t *testing.T) {
	targets := localTargets(6)
	choice := ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts)
	require.True(t, choice.Home)
	require.Equal(t, None, FindCacheSource(17, 10_000, choice, targets), "nothing is known")
	holder := (choice.Target + 1) % len(targets)
	targets[holder].CachedTokens = 7000
	require.Equal(t, holder, FindCacheSource(17, 10_000, choice, targets))
	targets[choice.Target].CachedTokens = 7000
	require.Equal(t, None, FindCacheSource(17, 10_000, choice, targets), "the home holds as much")
}

// Guards against the prompts of a target that joined being prefilled there although the
// former home holds them.
func TestFindCacheSource_JoinedHomeGetsPromptsOfFormerOne(t *testing.T) {
	targets := localTargets(6)
	joined := ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts).Target
	targets[joined].Availability = Gone
	former := ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts).Target
	targets[joined].Availability, targets[joined].JoinedLately = Available, true
	choice := ChooseLocal(17, 0, replayTraffic(0), 10_000, targets, &testCosts)
	require.Equal(t, joined, choice.Target)
	require.Equal(t, former, FindCacheSource(17, 10_000, choice, targets))
}
