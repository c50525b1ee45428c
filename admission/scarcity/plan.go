package scarcity

import (
	"cmp"
	"math"
	"slices"
)

const (
	// floorShare is the part of each class that is served in any case, as a fraction of the
	// part of all requests that is. No class may be served less than a quarter as often as
	// all; the rest is a reserve for errors of the estimates.
	floorShare = 0.3
	// repeatableFactor is how much less of the repeatable requests of a class is served than
	// of those that may run only once. Callers can repeat the former.
	repeatableFactor = 0.9
)

// Plan is how the room of a service is shared among the classes of its requests. The zero
// value admits everything.
//
// It is designed for a load of several ranks in which one workspace sends many times its
// usual: each class gets a small part of its demand, then the ranks get what they ask for
// in their order, and in the rank for which that doesn't suffice, the workspaces share
// the rest by weight (max-min fairness), so that the workspace that sends more takes from
// itself. A class of a lower rank is never served more often than one of a higher rank.
type Plan struct {
	// IsScarce is set if not everything can be served.
	IsScarce bool
	// fraction is the part of all requests that is served, and floor that of each class in
	// any case.
	fraction float64
	floor    float64
	// partial is the rank that is served in part. Higher ranks are served wholly, lower ones
	// get the floor.
	partial int
	// level is the rate for a weight of 1 above which classes of the partial rank are
	// reduced.
	level float64
}

// NewPlan shares room, in requests per second, among demands, which it sorts.
func NewPlan(demands []Demand, room float64) Plan {
	total := 0.0
	for i := range demands {
		total += demands[i].Rate()
	}
	if total <= 0 || room >= total {
		return Plan{}
	}
	fraction := max(room, 0) / total
	plan := Plan{IsScarce: true, fraction: fraction, floor: floorShare * fraction, partial: math.MinInt}
	left := (1 - floorShare) * fraction * total
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(b.Priority, a.Priority) })
	for start := 0; start < len(demands); {
		end := start
		needed := 0.0
		for end < len(demands) && demands[end].Priority == demands[start].Priority {
			needed += demands[end].Rate() * (1 - plan.floor)
			end++
		}
		if needed > left {
			plan.partial = demands[start].Priority
			plan.level = plan.levelFor(demands[start:end], left)
			return plan
		}
		left -= needed
		start = end
	}
	return plan
}

// levelFor returns the level at which the demands of one rank take the given rate beyond
// their floor. It sorts them.
func (p *Plan) levelFor(demands []Demand, left float64) float64 {
	// The allocation of a class as a function of the level is flat up to its floor, grows
	// with its weight, and is flat from its demand on. Filling the classes in the order of
	// demand by weight would ignore the floors, so that the level is searched by halving.
	high := 0.0
	for i := range demands {
		high = max(high, demands[i].Rate()/demands[i].Weight)
	}
	low := 0.0
	const steps = 30
	for range steps {
		middle := (low + high) / 2
		taken := 0.0
		for i := range demands {
			rate := demands[i].Rate()
			base := rate * p.floor
			taken += min(max(middle*demands[i].Weight, base), rate) - base
		}
		if taken > left {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

// Share returns the part of a class that is served, from 0 to 1.
func (p *Plan) Share(demand *Demand) float64 {
	switch {
	case !p.IsScarce || demand.Priority > p.partial:
		return 1
	case demand.Priority < p.partial:
		return p.floor
	}
	rate := demand.Rate()
	if rate <= 0 {
		return 1
	}
	return min(max(p.level*demand.Weight/rate, p.floor), 1)
}

// ShareOf returns the part of the requests of a class that is served of those that may run
// only once, or of the others.
func (p *Plan) ShareOf(demand *Demand, once bool) float64 {
	share := p.Share(demand)
	if share >= 1 || demand.Rate() <= 0 {
		return share
	}
	allocated := share * demand.Rate()
	ofOnce := min(allocated/(demand.Once+repeatableFactor*demand.Repeatable), 1)
	switch {
	case once:
		return ofOnce
	case ofOnce < 1:
		return repeatableFactor * ofOnce
	default:
		return (allocated - demand.Once) / demand.Repeatable
	}
}

// reason returns why a request of the class is refused.
func (p *Plan) reason(demand *Demand) Reason {
	switch {
	case demand.Priority < p.partial:
		return ReasonRank
	case demand.Rate() > p.level*demand.Weight:
		return ReasonWorkspace
	}
	return ReasonRoom
}
