package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReportClock_AgeFollowsDigests(t *testing.T) {
	now := time.Unix(1000, 0)
	var reports reportClock
	require.Equal(t, loadReportTTL, reports.age(now), "nothing is known yet")
	for range 50 {
		now = now.Add(300 * time.Millisecond)
		reports.record(now)
	}
	require.Equal(t, 300*time.Millisecond+hubExchangeDelay, reports.age(now))
	// Out of touch with the hubs, what the host knows grows old.
	require.Equal(t, time.Second+hubExchangeDelay, reports.age(now.Add(time.Second)))
	require.Equal(t, loadReportTTL, reports.age(now.Add(time.Minute)))
}

// A prompt that one of many hosts receives again and again has a high rate; one that
// comes back after a while has none.
func TestPrefixCacheIndex_PromptRate(t *testing.T) {
	index, now := newPrefixCacheIndex(), time.Unix(1000, 0)
	require.Zero(t, index.recordRequest(now, 1))
	rate := 0.0
	for range 40 {
		now = now.Add(500 * time.Millisecond)
		rate = index.recordRequest(now, 1)
	}
	require.InDelta(t, 2, rate, 0.5)
	require.Zero(t, index.recordRequest(now, 2))
	require.Less(t, index.recordRequest(now.Add(20*time.Second), 1), 0.01)
}
