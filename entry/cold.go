package entry

import (
	"time"

	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/fleet"
)

const (
	// coldMargin is added to a target's own word on its warm-up, for the time
	// that the word took.
	coldMargin = 400 * time.Millisecond
	// manyPart is the part of what a cold target bears that many hosts together
	// use: they send less than one request a second each, and these don't meet
	// evenly. Few hosts use all of it.
	manyPart = 0.8
)

// cold reports whether the target is warming up.
func (k *known) cold(now time.Time) bool {
	return k.WarmUpRemaining > 0 && now.Before(k.ColdUntil().Add(coldMargin))
}

// nextCold is when this host may send its next request to a cold target. The
// first one waits for this host's turn, so that not all hosts begin at once.
func (t *targets) nextCold(k *known, service *fleet.Service, hosts int) time.Time {
	if !k.nextCold.Before(k.coldAt) {
		return k.nextCold
	}
	const turns = 1 << 16
	turn := rendezvous.Score(t.entry.Settings.Host, k.Name) % turns
	return k.coldAt.Add(coldInterval(service, hosts) * time.Duration(turn) / turns)
}

// coldInterval is the pause between two requests of one host to a cold target.
func coldInterval(service *fleet.Service, hosts int) time.Duration {
	rate := service.WarmUp.ColdPerSecond
	if rate <= 0 {
		return 0
	}
	if float64(hosts) > rate {
		rate *= manyPart
	}
	return time.Duration(float64(hosts) / rate * float64(time.Second))
}
