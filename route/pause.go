package route

import "time"

// minPauseSpread and pauseSpreadFraction determine the time over which callers return
// after a pause: a fraction of the pause, at least the minimum.
const (
	minPauseSpread      = 300 * time.Millisecond
	pauseSpreadFraction = 0.5
)

// RetryAfterPause returns the delay after which a caller may return to a service whose
// targets have all asked for a pause; remaining is the time until the first pause
// ends.
//
// It is designed for a plain service on a few targets that refuse work together: each
// host refuses all callers meanwhile, hundreds of them a second. With an earlier delay
// they would be refused again; with the same delay for all they would return at once
// and fill the queues of the first target that admits requests. The callers of a host
// are therefore spread over the time after the pause.
func RetryAfterPause(remaining time.Duration, random uint64) time.Duration {
	remaining = max(remaining, 0)
	spread := max(time.Duration(pauseSpreadFraction*float64(remaining)), minPauseSpread)
	return remaining + time.Duration(random%uint64(spread))
}
