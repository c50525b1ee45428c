package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Callers of hosts that have all just started come back when these are ready,
// whenever they asked first.
func TestCallersComeBackWhenAStartedHostIsReady(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Dependencies{Clock: clock, Catalog: &fakeCatalog{}}, WithRetryAfter(time.Second))
	started := clock.Now()
	for clock.Since(started) < startTime {
		back := clock.Since(started) + g.startRetry()
		require.GreaterOrEqual(t, back, startTime)
		require.Less(t, back, startTime+startSpread)
		clock.Advance(20 * time.Millisecond)
	}
	require.Equal(t, time.Second, g.startRetry(), "a host that is not ready in time can't tell when it will be")
}

func TestAHostWithoutAFleetTellsWhenToComeBack(t *testing.T) {
	b := newFixtureOf(t, nil, WithRetryAfter(time.Hour))
	b.gateway.started = b.gateway.Clock.Now().Add(-startTime)
	response := b.post("Reviews/Status", dossier)
	text, err := read(response)
	require.NoError(t, err)
	require.Equal(t, 503, response.StatusCode)
	require.Contains(t, text, `"RetryAfter":3600`)
}
