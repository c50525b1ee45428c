package entry

import (
	"fmt"
	"slices"
	"time"

	"comfreytiller.dev/peer"
)

// backoffSpread is the part of a pause that is random, so that hosts that fail at the same time
// don't poll at the same time again.
const backoffSpread = 0.5

// hubFullError reports a hub that serves enough hosts and names others.
type hubFullError struct {
	hubs       []string
	retryAfter time.Duration
}

// Error implements error.
func (e *hubFullError) Error() string {
	return fmt.Sprintf("hub serves enough hosts, %d others serve fewer", len(e.hubs))
}

// notCurrentError returns the error for a reply that does not confirm the state.
func notCurrentError(response *peer.WatchResponse) error {
	if response.RetryAfter > 0 && len(response.Hubs) > 0 {
		return &hubFullError{hubs: response.Hubs, retryAfter: response.RetryAfter}
	}
	return errHubNotCurrent
}

// indexOf returns the index of the first of the hubs that is a candidate; of the next candidate
// if none is.
func (w *hubWatcher) indexOf(candidates, hubs []string) int {
	for _, hub := range hubs {
		if i := slices.Index(candidates, hub); i >= 0 {
			return i
		}
	}
	return w.candidateIndex + 1
}

// jitter spreads a pause around its length. draw is in [0, 1).
func jitter(pause time.Duration, draw float64) time.Duration {
	return time.Duration(float64(pause) * (1 - backoffSpread + 2*backoffSpread*draw))
}
