package ratelimit

import (
	"math"
	"time"
)

// A target bears burstFactor times what its limit allows in burstWindow, and burstExtra
// requests more.
const (
	burstWindow = 4 * time.Second
	burstFactor = 1.5
	burstExtra  = 5
)

const (
	// minPerSecond is the lowest rate at which hosts send requests to a limited target, in
	// requests per second of all of them. Only a response tells that a limit has changed.
	minPerSecond = 0.2
	// deviations is the number of standard deviations by which the requests of independent
	// hosts may exceed their mean before the target gets more than it bears.
	deviations = 5
)

// Pace is a host's share of a limit.
type Pace struct {
	// Interval is the time between two slots of the host.
	Interval time.Duration
	// Lifetime is how long a slot that was not used remains.
	Lifetime time.Duration
}

// NewPace returns the share of each of a number of hosts in a limit. demand is the number
// of requests per second that the host has for the target.
//
// It is designed for limits of a few requests per second on up to hundreds of hosts, each
// of which has a slot once in a minute: slots must wait for a request, since few hosts have
// one just then, and must not add up over a lull, since all hosts would send at once when
// it ends. At most, the requests of a window are those of its slots and of the slots that
// had not expired when it began; their mean is kept so far below what the target bears
// that independent hosts do not exceed it by chance.
func NewPace(perSecond float64, hosts int, demand float64) Pace {
	perSecond = max(perSecond, minPerSecond)
	lifetime := slotLifetime(demand)
	share := mostRequests(perSecond, hosts) / (perSecond * (burstWindow + lifetime).Seconds())
	interval := float64(hosts) / (perSecond * min(share, 1))
	return Pace{Interval: time.Duration(interval * float64(time.Second)), Lifetime: lifetime}
}

// slotLifetime returns how long slots remain for a host with the given number of requests
// per second. With a longer one more slots are used, but there are fewer of them; this is
// near the lifetime with which most requests are sent, which is at most burstWindow.
func slotLifetime(demand float64) time.Duration {
	if demand <= 0 {
		return burstWindow
	}
	return time.Duration(math.Log1p(burstWindow.Seconds()*demand) / demand * float64(time.Second))
}

// mostRequests returns the mean number of requests in a window that exceeds what the target
// bears only by more than a number of standard deviations. A host has at most a variance of
// a quarter, since its slots are evenly spaced, and all of them together have at most the
// variance of independent requests.
func mostRequests(perSecond float64, hosts int) float64 {
	bearable := burstFactor*perSecond*burstWindow.Seconds() + burstExtra
	root := math.Sqrt(deviations*deviations/4.0+bearable) - deviations/2.0
	return max(root*root, bearable-deviations*math.Sqrt(float64(hosts))/2)
}
