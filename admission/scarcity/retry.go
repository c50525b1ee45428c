package scarcity

import "time"

const (
	// minRetryAfter is the minimum of RetryAfter: with a pause below the period of a draw, a
	// repeat would be refused again.
	minRetryAfter = drawPeriod
	// maxRetryAfter limits RetryAfter for requests with much time left.
	maxRetryAfter = 4 * time.Second
	// honouredPart is the part of its remaining time for which a caller waits at most. A
	// longer pause would make it retry at once or give up.
	honouredPart = 1.0 / 3
	// honouredMargin keeps below that part, for the way of the response to the caller.
	honouredMargin = 0.9
	// minShareForRetry limits the number of draws that RetryAfter waits for.
	minShareForRetry = 0.1
	// minRetryShare is the part of the retry budget that remains however little room there
	// is, since a stream that was cut is worth more than a new one.
	minRetryShare = 0.1
)

// retryAfter returns when there is likely room for a request that is served with the given
// share: after the backlog of the targets, and the expected number of draws. It is spread at
// random.
func retryAfter(backlog time.Duration, share float64, remaining time.Duration, random uint64) time.Duration {
	pause := float64(minRetryAfter+backlog) / max(share, minShareForRetry)
	return SpreadPause(time.Duration(min(pause, float64(maxRetryAfter))), remaining, random)
}

// SpreadPause returns a random pause from half to one and a half of the given one that the
// caller of a request with the given remaining time honours.
func SpreadPause(mean, remaining time.Duration, random uint64) time.Duration {
	const resolution = 1 << 20
	// The low bits decide the draw of requests without a content key.
	spread := float64(random>>44%resolution) / resolution
	pause := float64(mean) * (0.5 + spread)
	limit := honouredPart * honouredMargin * float64(remaining)
	if pause > limit {
		pause = limit * (0.5 + spread/2)
	}
	return max(time.Duration(pause), time.Millisecond)
}

// retryShare returns the part of the retry budget that is left while the given part of all
// requests is served: half of it at three quarters, and almost nothing below a half.
func retryShare(fraction float64) float64 {
	return max(2*fraction-1, minRetryShare)
}
