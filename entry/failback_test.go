package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Hubs lose contact with a majority one after the other, each for two seconds.
// In the end every host is back on its preferred hub, and no hub ever serves
// much more than its share of the hosts.
func TestFailback_HostsReturnToPreferredHub(t *testing.T) {
	const hosts, hubs = 100, 5
	clock := clockwork.NewFakeClock()
	at := make([]int, hosts)
	failbacks := make([]failback, hosts)
	for i := range failbacks {
		at[i], failbacks[i] = i%hubs, newFailback(fmt.Sprint("e-", i))
	}
	down := func(hub int, second float64) bool { return second >= float64(10*hub) && second < float64(10*hub+2) }
	largest := 0
	const step = 50 * time.Millisecond
	for second := 0.0; second < 60; second += step.Seconds() {
		clock.Advance(step)
		count := make([]int, hubs)
		for i := range at {
			preferred := i % hubs
			if down(at[i], second) {
				at[i] = (at[i] + 1) % hubs
				failbacks[i].recordFailover(clock.Now())
			}
			if at[i] != preferred && failbacks[i].due(clock.Now()) {
				if down(preferred, second) {
					failbacks[i].recordFailedAttempt(clock.Now())
				} else {
					at[i] = preferred
					failbacks[i].recordFailback()
				}
			}
			count[at[i]]++
		}
		for _, n := range count {
			largest = max(largest, n)
		}
	}
	for i := range at {
		require.Equal(t, i%hubs, at[i])
	}
	require.LessOrEqual(t, largest, 2*hosts/hubs, "a hub takes over the hosts of one other hub at a time")
}

func TestFailback_DelayGrowsWhilePreferredHubIsLost(t *testing.T) {
	now := clockwork.NewFakeClock().Now()
	f := newFailback("e-1")
	require.False(t, f.due(now), "a host on its preferred hub has no attempt scheduled")
	f.recordFailover(now)
	attempts := 0
	for range 120 {
		now = now.Add(time.Second)
		if f.due(now) {
			attempts++
			f.recordFailedAttempt(now)
		}
	}
	// Hosts of a hub that is lost must be back soon after it is, and each attempt is one small
	// request.
	require.GreaterOrEqual(t, attempts, int(120*time.Second/(2*maxFailbackDelay)))
	require.LessOrEqual(t, attempts, int(120*time.Second/maxFailbackDelay))
	f.recordFailback()
	require.False(t, f.due(now.Add(time.Hour)))
}

// After a start, hosts returned to their preferred hubs while these were sending the first
// announcements of 3,000 targets, and got the whole roster again. Guards as well against a host
// that never returns.
func TestFailback_WaitsUntilTheRosterIsSettled(t *testing.T) {
	clock := clockwork.NewFakeClock()
	f := newFailback("e-1")
	f.recordChanges(clock.Now(), 300)
	require.False(t, f.due(clock.Now().Add(time.Hour)), "the host is on its preferred hub")
	f.recordFailover(clock.Now())
	for range 12 {
		clock.Advance(time.Second)
		f.recordChanges(clock.Now(), 300)
		require.False(t, f.due(clock.Now()))
	}
	for range 4 {
		clock.Advance(time.Second)
		f.recordChanges(clock.Now(), maxSettledChanges)
	}
	require.True(t, f.due(clock.Now()))
}
