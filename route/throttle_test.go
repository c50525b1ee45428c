package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// playOverload plays a plain service of one target with 6 slots, whose requests
// take 30 ms, under 260 requests a second of 100 hosts that hear of each other's
// requests every 300 ms. It returns the requests that were answered within 150 ms,
// those refused by their host and those refused by the target's full queue.
func playOverload(throttled bool, perSecond float64) (inTime, refused, shed, all int) {
	const (
		// The objective is 150 ms at the caller, less the ways between.
		slots, queue, work, objective = 6, 24, 30, 138
		hosts, wordEvery, length      = 100, 300, 30_000
	)
	random := rand.New(rand.NewPCG(5, 6))
	throttles := make([]Throttle, hosts)
	var busyUntil [slots]int
	var waiting []int
	arrivals := 0.0
	for now := range length {
		for i := range busyUntil {
			for busyUntil[i] <= now && len(waiting) > 0 {
				if now+work-waiting[0] <= objective {
					inTime++
				}
				waiting, busyUntil[i] = waiting[1:], now+work
			}
		}
		running := len(waiting)
		for _, until := range busyUntil {
			if until > now {
				running++
			}
		}
		if now%wordEvery == 0 && throttled {
			for i := range throttles {
				throttles[i].ObserveLoad(float64(running), slots)
			}
		}
		for arrivals += perSecond / 1000; arrivals >= 1; arrivals-- {
			all++
			switch {
			case !throttles[random.IntN(hosts)].Admits(random.Uint64()):
				refused++
			case len(waiting) >= queue:
				shed++
			default:
				waiting = append(waiting, now)
			}
		}
	}
	return inTime, refused, shed, all
}

func TestAnOverloadedServiceAnswersInTimeWhatItCan(t *testing.T) {
	const perSecond, capacity = 260, 200
	inTime, _, shed, all := playOverload(true, perSecond)
	without, _, shedWithout, _ := playOverload(false, perSecond)
	servable := float64(all) * capacity / perSecond
	require.Greater(t, float64(inTime), 0.8*servable, "most of what it can serve is in time")
	require.Less(t, 2*without, inTime, "the rule's absence answers most of it late")
	require.Less(t, 4*shed, shedWithout, "few attempts are spent on a full queue")
}

func TestAServiceWithRoomRefusesNothing(t *testing.T) {
	_, refused, shed, all := playOverload(true, 120)
	require.Zero(t, refused)
	require.Zero(t, shed)
	require.Positive(t, all)
}

func TestAThrottleOpensAgainSoon(t *testing.T) {
	var throttle Throttle
	for range 20 {
		throttle.ObserveLoad(60, 6)
	}
	require.InDelta(t, leastShare, throttle.AdmitRate(), 0.01)
	for range 4 {
		throttle.ObserveLoad(2, 6)
	}
	require.InDelta(t, 1, throttle.AdmitRate(), 0.01)
	throttle.ObserveLoad(3, 0)
	require.InDelta(t, 1, throttle.AdmitRate(), 0, "nothing is known of the slots")
}
