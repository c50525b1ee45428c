package gateway

import (
	"math/rand/v2"
	"time"
)

const (
	// startTime is how long after its start a host has heard of the fleet, also
	// after a loss of all hosts: 0.45 s in docs/INCIDENTS.md, inc-206f.
	startTime = 500 * time.Millisecond
	// startSpread spreads the callers that come back after it.
	startSpread = 100 * time.Millisecond
)

// startRetry is when a caller may come back whom this host refused because it
// knows no fleet yet. A host that still knows none after startTime can't tell.
//
// It answers a loss of all hosts: nobody else can serve, and callers that come
// back after a full second are late although the hosts are ready.
func (g *Gateway) startRetry() time.Duration {
	left := startTime - g.Clock.Since(g.started)
	if left <= 0 {
		return g.settings.retryAfter
	}
	return left + rand.N(startSpread) //nolint:gosec // Spreads retries; not a secret.
}
