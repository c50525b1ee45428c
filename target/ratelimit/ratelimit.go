// Package ratelimit keeps the rate limits that targets name in their responses, and a
// host's share of such a limit.
//
// A limit holds for the requests of all hosts together, but each host gets it at another
// time, and none knows what the others send at the moment. So every host has an equal
// share: slots at a fixed interval, in each of which it may send one request. Hosts report
// changes of a limit to the hubs, which pass them on, and go on with the last limit that
// they know of when there is no hub.
//
// The package does no I/O and starts no goroutine; the time is an argument.
//
// # Usage
//
//	known := ratelimit.Limit{IsLimited: true, PerSecond: 4.5, SaidAt: now}
//	pace := ratelimit.NewPace(known.PerSecond, hosts, demand)
//	schedule := ratelimit.NewSchedule(now, pace, phase)
//	if schedule.Allows(now, pace) {
//		schedule.Use(now, pace)
//	}
package ratelimit

import (
	"math"
	"time"
)

// relevantChange is the change of a limit that is passed on to other hosts, as a fraction
// of it. It is far below what targets bear beyond their limit.
const relevantChange = 0.05

// Limit is what a target said last of the requests that it takes.
type Limit struct {
	// IsLimited is set if the target named a limit, PerSecond: the requests per second
	// that it takes from all hosts together.
	IsLimited bool
	PerSecond float64
	// SaidAt is when a host received the response; zero if nothing is known.
	SaidAt time.Time
}

// Report is what a host knows of the limit of one incarnation of a target.
type Report struct {
	Target      string
	Incarnation uint64
	Limit       Limit
}

// New returns the limit in a response that was received at a time; perSecond is nil if
// the response names none.
func New(receivedAt time.Time, perSecond *float64) Limit {
	if perSecond == nil {
		return Limit{SaidAt: receivedAt}
	}
	return Limit{IsLimited: true, PerSecond: *perSecond, SaidAt: receivedAt}
}

// Latest returns the one of two limits that the target said later.
func (l Limit) Latest(other Limit) Limit {
	if other.SaidAt.After(l.SaidAt) {
		return other
	}
	return l
}

// Differs reports whether hosts that know one of two limits need to know the other.
func (l Limit) Differs(other Limit) bool {
	if !l.IsLimited || !other.IsLimited {
		return l.IsLimited != other.IsLimited
	}
	return math.Abs(l.PerSecond-other.PerSecond) > relevantChange*max(l.PerSecond, other.PerSecond)
}
