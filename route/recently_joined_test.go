package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// After a rolling release all targets except one are new, and that one is the home of
// every prompt. It must not be overloaded.
func TestChooseLocal_LastEstablishedTargetIsNotOverloaded(t *testing.T) {
	targets := localTargets(7)
	for i := range targets {
		targets[i].RecentlyJoined = i != 2
		targets[i].InFlight = []float64{8, 10, 33, 17, 12, 9, 20}[i]
	}
	home := 0
	for key := range uint64(500) {
		if ChooseLocal(key+1, replayPoints.Uint64(), replayTraffic(0), 10_000, targets, &testCosts).Home {
			home++
		}
	}
	require.Zero(t, home)
}
