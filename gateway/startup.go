package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// startupDuration is the time within which a host receives the fleet
	// configuration after it starts, including after a loss of all hosts: 0.45
	// s in docs/INCIDENTS.md, inc-206f.
	startupDuration = 500 * time.Millisecond
	// startupJitter spreads the retries after startupDuration.
	startupJitter = 100 * time.Millisecond
)

// startupRetryAfter returns the retry delay for a request that is refused
// because this host has no fleet configuration yet. If it still has none after
// startupDuration, the default delay is returned.
//
// The delay matters after a loss of all hosts: no other host can serve, and
// callers that retry only after a full second are late although the hosts are
// ready.
func (g *Gateway) startupRetryAfter() time.Duration {
	left := startupDuration - g.Clock.Since(g.started)
	if left <= 0 {
		return g.settings.retryAfter
	}
	return left + rand.N(startupJitter) //nolint:gosec // Used for jitter, not for security.
}
