package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Replays two seconds of callers that are refused while every target pauses. The
// baseline is the same delay for all that are refused in the same pause.
func TestRetryAfterPause_CallersReturnSpreadAfterThePause(t *testing.T) {
	const (
		pause   = 2 * time.Second
		callers = 600
		window  = 100 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 2))
	spread, baseline := map[time.Duration]int{}, map[time.Duration]int{}
	for i := range callers {
		at := pause * time.Duration(i) / callers
		delay := RetryAfterPause(pause-at, random.Uint64())
		require.GreaterOrEqual(t, at+delay, pause, "no caller returns into the pause")
		require.LessOrEqual(t, at+delay, pause+pause/2)
		spread[(at+delay)/window]++
		baseline[pause/window]++
	}
	largest := func(windows map[time.Duration]int) (most int) {
		for _, count := range windows {
			most = max(most, count)
		}
		return most
	}
	require.Equal(t, callers, largest(baseline))
	require.Less(t, largest(spread), callers/3)
	require.GreaterOrEqual(t, RetryAfterPause(-time.Second, 0), time.Duration(0))
}
