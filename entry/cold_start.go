package entry

import (
	"time"

	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/fleet"
)

const (
	// warmUpMargin extends the warm-up that a target announced, to cover the
	// delay of the announcement.
	warmUpMargin = 400 * time.Millisecond
	// manyHostsFraction is the fraction of a cold target's rate that hosts use
	// when each of them sends less than one request a second: such requests do
	// not spread evenly. When there are few hosts they use the full rate.
	manyHostsFraction = 0.8
)

// isCold reports whether the target is warming up.
func (s *targetState) isCold(now time.Time) bool {
	return s.WarmUpRemaining > 0 && now.Before(s.ColdUntil().Add(warmUpMargin))
}

// nextColdRequest returns when this host may send its next request to a cold
// target. The first request is delayed by an offset that depends on the host
// and the target, so that hosts do not all start at once.
func (t *targetSelector) nextColdRequest(s *targetState, service *fleet.Service, hosts int) time.Time {
	if !s.nextColdRequestAt.Before(s.coldSince) {
		return s.nextColdRequestAt
	}
	const offsets = 1 << 16
	offset := rendezvous.Score(t.entry.Settings.Host, s.Name) % offsets
	return s.coldSince.Add(coldRequestInterval(service, hosts) * time.Duration(offset) / offsets)
}

// coldRequestInterval returns the interval between two requests of one host to
// a cold target, 0 for no limit.
func coldRequestInterval(service *fleet.Service, hosts int) time.Duration {
	rate := service.WarmUp.ColdPerSecond
	if rate <= 0 {
		return 0
	}
	if float64(hosts) > rate {
		rate *= manyHostsFraction
	}
	return time.Duration(float64(hosts) / rate * float64(time.Second))
}
