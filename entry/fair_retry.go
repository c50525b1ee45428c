package entry

import (
	"math/rand/v2"
	"time"

	"comfreytiller.dev/admission/scarcity"
)

// spreadPause returns a pause for a caller whose request finds no target, so that callers
// don't return together, and each returns within its deadline. It is the pause itself if
// admission is not fair.
func (f *fairAdmission) spreadPause(pause time.Duration, deadline time.Time) time.Duration {
	if f == nil {
		return pause
	}
	return scarcity.SpreadPause(pause, deadline.Sub(f.clock.Now()), rand.Uint64())
}

// retryAfterFunc returns the function that tells callers when to return whose requests were
// rejected by full targets; nil if admission is not fair.
func (f *fairAdmission) retryAfterFunc() func(service string, deadline time.Time) time.Duration {
	if f == nil {
		return nil
	}
	return func(service string, deadline time.Time) time.Duration {
		remaining := deadline.Sub(f.clock.Now())
		f.mu.Lock()
		defer f.mu.Unlock()
		if s := f.services[service]; s != nil {
			return s.RetryAfter(remaining, rand.Uint64())
		}
		return scarcity.SpreadPause(noTargetRetryAfter, remaining, rand.Uint64())
	}
}
