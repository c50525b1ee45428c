package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// simulateOverload simulates a plain service of one target with 6 slots and requests
// of 30 ms. 100 hosts send perSecond requests per second in total and receive load
// reports every 300 ms. It returns the requests answered within 150 ms, those refused
// by their host, those rejected by the target's full queue, and all requests.
func simulateOverload(throttled bool, perSecond float64) (inTime, refused, rejected, all int) {
	const (
		// The objective is 150 ms at the caller, minus the network delay.
		slots, queue, work, objective = 6, 24, 30, 138
		hosts, reportInterval, length = 100, 300, 30_000
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
		if now%reportInterval == 0 && throttled {
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
				rejected++
			default:
				waiting = append(waiting, now)
			}
		}
	}
	return inTime, refused, rejected, all
}

func TestThrottle_OverloadedServiceMeetsObjective(t *testing.T) {
	const perSecond, capacity = 260, 200
	inTime, _, rejected, all := simulateOverload(true, perSecond)
	inTimeWithout, _, rejectedWithout, _ := simulateOverload(false, perSecond)
	servable := float64(all) * capacity / perSecond
	require.Greater(t, float64(inTime), 0.8*servable, "most requests within capacity are answered in time")
	require.Less(t, 2*inTimeWithout, inTime, "without the throttle, most answers are late")
	require.Less(t, 4*rejected, rejectedWithout, "few attempts are wasted on a full queue")
}

func TestThrottle_AdmitsAllBelowCapacity(t *testing.T) {
	_, refused, rejected, all := simulateOverload(true, 120)
	require.Zero(t, refused)
	require.Zero(t, rejected)
	require.Positive(t, all)
}

func TestThrottle_RecoversQuickly(t *testing.T) {
	var throttle Throttle
	for range 20 {
		throttle.ObserveLoad(60, 6)
	}
	require.InDelta(t, minAdmitRate, throttle.AdmitRate(), 0.01)
	for range 4 {
		throttle.ObserveLoad(2, 6)
	}
	require.InDelta(t, 1, throttle.AdmitRate(), 0.01)
	throttle.ObserveLoad(3, 0)
	require.InDelta(t, 1, throttle.AdmitRate(), 0, "the number of slots is unknown")
}
