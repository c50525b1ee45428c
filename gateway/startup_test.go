package gateway

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Callers refused by hosts that have just started must retry once the hosts are
// ready, regardless of when they first asked.
func TestStartupRetryAfter_EndsAfterStartupDuration(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := New(Dependencies{Clock: clock, Catalog: &fakeCatalog{}}, WithRetryAfter(time.Second))
	started := clock.Now()
	for clock.Since(started) < startupDuration {
		back := clock.Since(started) + g.startupRetryAfter()
		require.GreaterOrEqual(t, back, startupDuration)
		require.Less(t, back, startupDuration+startupJitter)
		clock.Advance(20 * time.Millisecond)
	}
	require.Equal(t, time.Second, g.startupRetryAfter(), "the default applies after startupDuration")
}

func TestNoFleet_ReturnsRetryAfter(t *testing.T) {
	f := newFixtureWithFleet(t, nil, WithRetryAfter(time.Hour))
	f.gateway.started = f.gateway.Clock.Now().Add(-startupDuration)
	response := f.post("Reviews/Status", dossier)
	text, err := readBody(response)
	require.NoError(t, err)
	require.Equal(t, 503, response.StatusCode)
	require.Contains(t, text, `"RetryAfter":3600`)
}
