package scarcity

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// plainLoad is the measured load of a plain service: 141 hosts and three targets, one
// workspace of 24 that sends 7.5 times its usual for 6.5 s, and a target that crashes for
// 4 s.
func plainLoad(work time.Duration) replayConfig {
	return replayConfig{
		kind: PlainService, targets: 3, slots: 6, queue: 24, work: work, hosts: 141, perSecond: 190, workspaces: 24, ranked: 4, flooding: 9,
		kinds: []replayKind{
			{name: "orders", part: 0.5, priority: 1, once: true, objective: 500 * time.Millisecond, timeout: 3 * time.Second},
			{name: "filings", part: 0.3, priority: 2, once: true, objective: 1000 * time.Millisecond, timeout: 4 * time.Second},
			{name: "balances", part: 0.1, priority: 1, objective: 500 * time.Millisecond, timeout: 3 * time.Second},
			{name: "lookups", part: 0.1, priority: 2, objective: 1000 * time.Millisecond, timeout: 4 * time.Second},
		},
		floodFactor: 7.5, floodAt: 8 * time.Second, floodDuration: 6500 * time.Millisecond, crashAt: 20 * time.Second, crashDuration: 4 * time.Second,
		length: 32 * time.Second, seed: 1,
	}
}

// scarceWork is the work at which the load exceeds what the targets can run while one
// workspace sends more than its usual or a target is down. With the 15 ms of a sound
// target, they can run 1,200 requests a second.
const scarceWork = 110 * time.Millisecond

// scarceReplays returns the results of the load with scarceWork, with five seeds. Several tests
// look at them.
var scarceReplays = sync.OnceValue(func() []*replayResult {
	var results []*replayResult
	for seed := range uint64(5) {
		config := plainLoad(scarceWork)
		config.seed = seed
		results = append(results, runReplay(config))
	}
	return results
})

// Guards against refusals while there is room.
func TestPlainReplay_NothingIsRefusedWithRoom(t *testing.T) {
	r := runReplay(plainLoad(15 * time.Millisecond))
	require.Zero(t, r.refusals)
	require.Zero(t, r.waited)
	require.GreaterOrEqual(t, r.total.share(), 0.999)
}

// Guards against an admission that is blind to rank, or wastes the room that there is.
func TestPlainReplay_RanksGoFirst(t *testing.T) {
	for seed, r := range scarceReplays() {
		config := plainLoad(scarceWork)
		config.seed, config.throttled = uint64(seed), true
		throttled := runReplay(config)
		t.Logf("served %.3f (throttle %.3f), in time %d (%d) of %d, refused once %.3f (%.3f), repeatable %.3f (%.3f)",
			r.total.share(), throttled.total.share(), r.total.inTime, throttled.total.inTime, r.total.all,
			1-r.byOnce[true].share(), 1-throttled.byOnce[true].share(), 1-r.byOnce[false].share(), 1-throttled.byOnce[false].share())
		t.Logf("ranks 0 to 2: %.3f %.3f %.3f (throttle %.3f %.3f %.3f)", r.byRank[0].share(), r.byRank[-1].share(), r.byRank[-2].share(),
			throttled.byRank[0].share(), throttled.byRank[-1].share(), throttled.byRank[-2].share())
		require.Greater(t, r.total.share(), throttled.total.share()-0.01, "as much of the room is used")
		require.Greater(t, float64(r.total.inTime), 1.1*float64(throttled.total.inTime), "fewer responses are late")
		require.Greater(t, r.byRank[0].share(), 0.95)
		require.Greater(t, r.byRank[0].share(), r.byRank[-1].share()-0.05)
		require.Greater(t, r.byRank[-1].share(), r.byRank[-2].share()-0.05)
		require.Greater(t, r.byRank[-2].share(), 0.25*r.total.share(), "the lowest rank doesn't starve")
		for _, urgent := range []string{"orders", "balances"} {
			for _, other := range []string{"filings", "lookups"} {
				require.Greater(t, r.byKind[urgent].share(), r.byKind[other].share()-0.05, "%s before %s", urgent, other)
			}
		}
	}
}

// Guards against a request that may run only once and is refused more often than one that
// may be repeated, of the same rank. Chance alone makes a difference of some hundredths.
func TestPlainReplay_OnceIsNotRefusedMoreOften(t *testing.T) {
	var once, repeatable outcome
	for _, r := range scarceReplays() {
		once.all, once.served = once.all+r.byKind["orders"].all+r.byKind["filings"].all, once.served+r.byKind["orders"].served+r.byKind["filings"].served
		repeatable.all, repeatable.served = repeatable.all+r.byKind["balances"].all+r.byKind["lookups"].all, repeatable.served+r.byKind["balances"].served+r.byKind["lookups"].served
	}
	t.Logf("served once %.3f, repeatable %.3f", once.share(), repeatable.share())
	require.GreaterOrEqual(t, once.share(), repeatable.share())
}

// Guards against a workspace that sends many times its usual and takes from others, and
// against one that starves.
func TestPlainReplay_FloodTakesFromItself(t *testing.T) {
	for seed := range uint64(3) {
		config := plainLoad(scarceWork)
		config.seed, config.crashDuration, config.length = seed, 0, 15*time.Second
		flooded := runReplay(config)
		config.floodFactor = 1
		usual := runReplay(config)
		var during, before outcome
		for name, o := range flooded.byWorkspace {
			require.Greater(t, o.share(), 0.25*flooded.total.share(), "%s starves", name)
			if name != "w-9" {
				during.all, during.served = during.all+o.all, during.served+o.served
			}
		}
		for _, o := range usual.byWorkspace {
			before.all, before.served = before.all+o.all, before.served+o.served
		}
		t.Logf("others %.3f, without the flood %.3f, flooding workspace %.3f", during.share(), before.share(), flooded.byWorkspace["w-9"].share())
		require.Greater(t, during.share(), before.share()-0.1, "others lose little")
		require.Less(t, flooded.byWorkspace["w-9"].share(), during.share()-0.1, "the flooding workspace pays for it")
	}
}

// Guards against callers that repeat at once and so push out those that wait.
func TestPlainReplay_RepeatsAtOncePushOutNobody(t *testing.T) {
	var repeating, waiting outcome
	for _, r := range scarceReplays() {
		repeating.all, repeating.served = repeating.all+r.byRepeats[true].all, repeating.served+r.byRepeats[true].served
		waiting.all, waiting.served = waiting.all+r.byRepeats[false].all, waiting.served+r.byRepeats[false].served
	}
	t.Logf("served of those that wait %.3f, that repeat at once %.3f", waiting.share(), repeating.share())
	require.Greater(t, waiting.share(), repeating.share())
}

// Guards against refusals while half of the slots are free and nothing waits at the
// targets, which a host knows only from a digest that is up to a second old.
func TestPlainReplay_FewRefusalsWithFreePlaces(t *testing.T) {
	for _, r := range append(scarceReplays()[:2:2], runReplay(plainLoad(90*time.Millisecond))) {
		require.Positive(t, r.refusals)
		require.LessOrEqual(t, r.needlessly, r.refusals/200)
	}
}
