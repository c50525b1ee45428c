package hub

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/roster"
)

// byKey returns loads by the keys of the targets.
func byKey(loads map[string]int) map[roster.Key]int {
	keyed := map[roster.Key]int{}
	for name, load := range loads {
		keyed[roster.KeyOf(name)] = load
	}
	return keyed
}

// keysOf returns the keys of targets.
func keysOf(names []string) []roster.Key {
	var keys []roster.Key
	for _, name := range names {
		keys = append(keys, roster.KeyOf(name))
	}
	return keys
}

func TestLoadTracker_AddsHostsAndHubs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLoadTracker(clock)
	l.recordHost("e-1", byKey(map[string]int{"t": 2}))
	l.recordHost("e-2", byKey(map[string]int{"t": 3, "u": 1}))
	l.recordHub("h-2", byKey(map[string]int{"t": 4}))
	require.Equal(t, byKey(map[string]int{"t": 5, "u": 1}), l.hostTotals())
	keys := func() []roster.Key { return keysOf([]string{"t", "u"}) }
	listed, _ := l.digest(keys)
	require.Equal(t, byKey(map[string]int{"t": 9, "u": 1}), listed)
	l.recordHost("e-1", byKey(map[string]int{"t": 7}))
	clock.Advance(loadInterval)
	listed, _ = l.digest(keys)
	require.Equal(t, 14, listed[roster.KeyOf("t")], "the latest report of each host counts")
	clock.Advance(loadReportTTL + time.Millisecond)
	listed, _ = l.digest(keys)
	require.Empty(t, listed, "expired reports do not count")
}

// The loads that hosts derive from a digest are close to the actual loads of
// all targets, including idle ones, and exact for the ones farthest from the mean. The
// digest of a large fleet lists few targets; that of a small one lists all.
func TestSelectOutliers_DigestIsCloseToActualLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := map[string]int{}
		var targets []string
		for i := range rapid.IntRange(1, 150).Draw(t, "targets") {
			name := fmt.Sprint("t-", i)
			targets = append(targets, name)
			if running := rapid.IntRange(0, 12).Draw(t, "running"); running > 0 {
				total[name] = running
			}
		}
		listed, mean := selectOutliers(byKey(total), keysOf(targets))
		nearest := math.Inf(1)
		if len(listed) < minListedTargets {
			nearest = 0
		}
		for key, running := range listed {
			require.Equal(t, byKey(total)[key], running)
			nearest = min(nearest, math.Abs(float64(running)-mean))
		}
		for _, name := range targets {
			if _, found := listed[roster.KeyOf(name)]; !found {
				require.InDelta(t, float64(total[name]), mean, min(nearest, mean/4+outlierMargin)+0.01)
			}
		}
	})
}

// Sorting all loads for each digest took a tenth of a small hub's processor with 3,000 targets.
// Guards against a digest that lists others than the targets farthest from the mean.
func TestInsertFarthest_SameAsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mean := float64(rapid.IntRange(0, 80).Draw(t, "mean")) / 10
		var all, farthest []targetLoad
		for i := range rapid.IntRange(0, 100).Draw(t, "targets") {
			load := targetLoad{target: roster.Key(i), load: rapid.IntRange(0, 12).Draw(t, "load")}
			all, farthest = append(all, load), insertFarthest(farthest, load, mean)
		}
		slices.SortFunc(all, func(a, b targetLoad) int {
			return cmp.Or(cmp.Compare(math.Abs(float64(b.load)-mean), math.Abs(float64(a.load)-mean)), cmp.Compare(a.target, b.target))
		})
		require.Equal(t, all[:min(len(all), minListedTargets)], farthest)
	})
}

// Hosts start with the mean for a target that they learn of, and a target that leaves
// still runs requests.
func TestSelectOutliers_SmallAndLargeFleetsAlike(t *testing.T) {
	for _, count := range []int{3, 24, 25, 200} {
		total := map[string]int{"leaving": 9}
		var ready []string
		for i := range count {
			name := fmt.Sprint("t-", i)
			ready, total[name] = append(ready, name), 4+i%2
		}
		total["t-1"] = 0
		listed, mean := selectOutliers(byKey(total), keysOf(ready))
		require.InDelta(t, 4.5, mean, 2, "%d targets", count)
		require.Contains(t, listed, roster.KeyOf("t-1"), "an idle target among %d", count)
		require.Equal(t, 9, listed[roster.KeyOf("leaving")], "%d targets", count)
	}
}

// The hosts of one hub share its link. On a fleet of hundreds of hosts with several hubs,
// a digest as seldom as one hub could send to all of them is outdated: a target may get
// ten requests more before a report shows them.
func TestDigestInterval_IsThatOfTheHostsOfTheHub(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := &Hub{Dependencies: Dependencies{Clock: clock}, watchers: newWatchers(clock), loads: newLoadTracker(clock)}
	clock.Advance(hostCountDelay)
	watch := func(from, to int) (names []string) {
		for i := range to - from {
			names = append(names, fmt.Sprint("e-", from+i))
		}
		return names
	}
	for _, host := range watch(0, 28) {
		h.watchers.recordWatch(host, 1)
	}
	h.watchers.recordRemote(watch(28, 141))
	require.Equal(t, 141, h.watchers.count())
	require.Equal(t, loadInterval, h.digestInterval())
	for _, host := range watch(28, 141) {
		h.watchers.recordWatch(host, 1)
	}
	require.Greater(t, h.digestInterval(), 4*loadInterval, "the hub serves the hosts of lost ones")
	clock.Advance(watcherTTL + time.Millisecond)
	require.Equal(t, loadInterval, h.digestInterval())
}

// A release changes a target every few milliseconds, and each change is sent to the
// hosts at once. Digests of the loads keep their interval.
func TestAddDigest_FrequentRepliesDoNotRepeatLoads(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := &Hub{Dependencies: Dependencies{Clock: clock}, watchers: newWatchers(clock), loads: newLoadTracker(clock), roster: roster.NewTable(), node: peer.NewNode(peer.Config{Clock: clock}, nil)}
	h.loads.recordHost("e-1", byKey(map[string]int{"t": 3}))
	digests := map[string]int{}
	const replies, replyInterval = 400, 10 * time.Millisecond
	for range replies {
		for _, host := range []string{"e-1", "e-2"} {
			h.watchers.recordWatch(host, 1)
			h.loads.recordHost(host, byKey(map[string]int{"t": 3}))
			var response peer.WatchResponse
			h.addDigest(host, &response)
			if !response.WithoutLoads {
				require.NotEmpty(t, response.Loads)
				digests[host]++
			}
		}
		clock.Advance(replyInterval)
	}
	want := int(replies * replyInterval / h.digestInterval())
	require.Equal(t, map[string]int{"e-1": want, "e-2": want}, digests)
	require.LessOrEqual(t, h.watchers.untilDigest("new", h.digestInterval()), time.Duration(0), "a host that comes from another hub needs one at once")
}
