package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A host is cut off only if it reaches no target directly for a while and another host reaches one:
// targets that are all down, and some that restart, must not take hosts out of rotation.
func TestTargetPaths_CutOffFromAll(t *testing.T) {
	now := time.Unix(100, 0)
	all := []string{"a", "b"}
	p := newTargetPaths()
	require.False(t, p.isCutOffFrom(now, nil), "no target")
	require.True(t, p.recordFailure(now, "a"))
	require.False(t, p.recordFailure(now, "a"), "it was cut before")
	p.recordRelayed("a")
	later := now.Add(cutOffAfter)
	require.False(t, p.isCutOffFrom(later, all), "b is reached directly")
	p.recordFailure(now, "b")
	require.False(t, p.isCutOffFrom(now, all), "not for long enough")
	require.True(t, p.isCutOffFrom(later, all))
	p.recordDown("b")
	require.False(t, p.isCutOffFrom(later, all), "b is down")
	p.recordFailure(now, "b")
	require.True(t, p.recordProbe(later, "a", true))
	require.False(t, p.isCutOffFrom(later, all), "a is reached directly again")
}

// The direct path is tried again at intervals that grow, also if it fails again right after it was
// restored.
func TestTargetPaths_ProbeIntervals(t *testing.T) {
	now := time.Unix(100, 0)
	p := newTargetPaths()
	p.recordFailure(now, "a")
	var intervals []time.Duration
	last := now
	for at := now; at.Before(now.Add(8 * time.Second)); at = at.Add(pathCheckInterval) {
		if len(p.takeDueProbes(at)) == 0 {
			continue
		}
		require.False(t, p.recordProbe(at, "a", false))
		intervals = append(intervals, at.Sub(last))
		last = at
	}
	require.Equal(t, []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second}, intervals)

	require.True(t, p.recordProbe(last, "a", true))
	require.False(t, p.isCut("a"))
	relapse := last.Add(time.Second)
	require.True(t, p.recordFailure(relapse, "a"))
	require.Equal(t, []string{"a"}, p.takeDueProbes(relapse))
	require.Empty(t, p.takeDueProbes(relapse.Add(maxPathProbeInterval-1)))
	require.True(t, p.recordProbe(relapse, "a", true))
	require.Empty(t, p.takeDueProbes(relapse.Add(relapsePeriod)))
	require.True(t, p.isEmpty(), "restored for long enough")
}
