package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/quorum"
)

// Entries for two replaced replicas took the whole link of a hub, 6 Mbit/s, for longer than the
// connections wait for a reply, so that they were closed and the entries sent again.
func TestReplicationLimits_LeaveLinkForHeartbeats(t *testing.T) {
	require.Zero(t, replicationLimits(0))
	const replicas, probeTimeout = 4, 700 * time.Millisecond
	for _, rate := range []float64{62_500, 750_000, 3_250_000, 87_500_000} {
		limits := replicationLimits(rate)
		require.LessOrEqual(t, limits.MaxAppendBytes, limits.MaxInflightBytes)
		require.LessOrEqual(t, limits.MaxInflightBytes, quorum.DefaultMaxInflightBytes)
		if limits.MaxInflightBytes > minInflightBytes {
			require.Less(t, float64(replicas*(limits.MaxInflightBytes+limits.MaxAppendBytes))/rate, probeTimeout.Seconds(), "%v bytes per second", rate)
		}
	}
}
