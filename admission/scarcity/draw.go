package scarcity

import "time"

// drawPeriod is the time for which the repeats of a request have the same draw.
const drawPeriod = 250 * time.Millisecond

// Draw returns a number from 0 to 1 that decides whether a request is served: it is if the
// number is below the share of its class.
//
// It is designed for callers that repeat a refused request at once instead of waiting for
// the time in Retry-After. With a new number for each attempt, they would push out those
// that wait. A request and its repeats therefore have the same number within a period,
// on every host, and all requests have the same chance. The periods of different requests
// begin at different times.
func Draw(now time.Time, contentKey, random uint64) float64 {
	const resolution = 1 << 53
	if contentKey != 0 {
		period := (now.UnixNano() + int64(contentKey%uint64(drawPeriod))) / int64(drawPeriod)
		random = mix(contentKey ^ mix(uint64(period)))
	}
	return float64(random%resolution) / resolution
}

// mix returns a hash of a number, by the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
