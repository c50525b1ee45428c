package entry

import (
	"time"

	"comfreytiller.dev/common/rendezvous"
)

const (
	// minFailbackDelay is the minimum time on another hub before a host polls
	// its preferred hub again. Up to the same time is added as jitter, so that
	// hosts return one by one.
	minFailbackDelay = 3 * time.Second
	// maxFailbackDelay limits the delay, which doubles with each failed
	// attempt. An attempt is a small request beside the polls of the other hub.
	maxFailbackDelay = 4 * time.Second
	// settledAfter is how long the other hub must not have sent more than maxSettledChanges changed
	// targets at once before the host returns.
	settledAfter      = 2 * time.Second
	maxSettledChanges = 8
)

// failback decides when a host that had to leave its preferred hub, the first
// in its order, asks whether it can return to it.
//
// Without it, when hubs lose contact with a majority one after the other, hosts
// stay on the hub that they moved to, and in the end a few hubs have to send
// each change to all hosts.
type failback struct {
	// jitter is a constant of this host in [0, 1) that spreads the returns.
	jitter      float64
	delay       time.Duration
	nextAttempt time.Time
}

func newFailback(host string) failback {
	const steps = 1 << 16
	return failback{jitter: float64(rendezvous.Score(host, "")%steps) / steps}
}

// recordFailover starts the delay when the host leaves its preferred hub.
func (f *failback) recordFailover(now time.Time) {
	f.delay = minFailbackDelay
	f.schedule(now)
}

// recordChanges records the number of changed targets that the other hub sent at once. While the
// hubs send thousands after a start, the preferred one would have to send this host the whole
// roster again, which takes its link from those that it serves.
func (f *failback) recordChanges(now time.Time, count int) {
	if f.nextAttempt.IsZero() || count <= maxSettledChanges {
		return
	}
	settled := now.Add(settledAfter + time.Duration(f.jitter*float64(settledAfter)))
	if f.nextAttempt.Before(settled) {
		f.nextAttempt = settled
	}
}

// due reports whether to poll the preferred hub now.
func (f *failback) due(now time.Time) bool {
	return !f.nextAttempt.IsZero() && !now.Before(f.nextAttempt)
}

// recordFailedAttempt records that the preferred hub cannot serve yet.
func (f *failback) recordFailedAttempt(now time.Time) {
	f.delay = min(2*f.delay, maxFailbackDelay)
	f.schedule(now)
}

// recordFailback records that the host is back on its preferred hub.
func (f *failback) recordFailback() { f.nextAttempt = time.Time{} }

func (f *failback) schedule(now time.Time) {
	f.nextAttempt = now.Add(f.delay + time.Duration(f.jitter*float64(f.delay)))
}
