package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestLoadTracker_AddsHostsAndHubs(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := newLoadTracker(clock)
	l.recordHost("e-1", map[string]int{"t": 2})
	l.recordHost("e-2", map[string]int{"t": 3, "u": 1})
	l.recordHub("h-2", map[string]int{"t": 4})
	require.Equal(t, map[string]int{"t": 5, "u": 1}, l.hostTotals())
	names := func() []string { return []string{"t", "u"} }
	listed, _ := l.digest(names)
	require.Equal(t, map[string]int{"t": 9, "u": 1}, listed)
	l.recordHost("e-1", map[string]int{"t": 7})
	clock.Advance(loadInterval)
	listed, _ = l.digest(names)
	require.Equal(t, 14, listed["t"], "the latest report of each host counts")
	clock.Advance(loadReportTTL + time.Millisecond)
	listed, _ = l.digest(names)
	require.Empty(t, listed, "expired reports do not count")
}

// The loads that hosts derive from a digest are close to the actual loads of
// all targets, including idle ones. The digest of a large fleet lists few
// targets.
func TestSelectOutliers_DigestIsCloseToActualLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := map[string]int{}
		var targets []string
		for i := range rapid.IntRange(maxCompleteDigestTargets+1, 150).Draw(t, "targets") {
			name := fmt.Sprint("t-", i)
			targets = append(targets, name)
			if running := rapid.IntRange(0, 12).Draw(t, "running"); running > 0 {
				total[name] = running
			}
		}
		listed, mean := selectOutliers(total, targets)
		for _, name := range targets {
			derived := mean
			if running, found := listed[name]; found {
				derived = float64(running)
			}
			require.InDelta(t, float64(total[name]), derived, mean/4+outlierMargin+0.01)
		}
	})
}

// The hosts of one hub share its link. On a fleet of hundreds of hosts with several hubs,
// a digest as seldom as one hub could send to all of them is outdated: a target may get
// ten requests more before a report shows them.
func TestDigestInterval_IsThatOfTheHostsOfTheHub(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := &Hub{Dependencies: Dependencies{Clock: clock}, watchers: newWatchers(clock)}
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
