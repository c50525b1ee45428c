package route

import (
	"math"
	"time"
)

// unevenness is how the slowdowns of the targets of a service differ. Its zero value is
// that of a service without slowdowns, whose choices do not depend on it.
//
// It is designed for targets whose work takes different times, which change many times a
// second: a target at twice the usual time should hold half as much. Slowdowns count
// against their mean, since a service that is slow as a whole must not move its prompts.
// They never count in the bounds, so that a false figure can't raise the bound of any
// target; a target above the mean reaches the bounds with fewer requests.
type unevenness struct {
	// scale is the reciprocal of the mean slowdown; 0 if no target has a slowdown.
	scale float64
	// isShared is set if other hosts know the same figures.
	isShared bool
}

// newUnevenness compares the slowdowns of the targets that admit new requests.
func newUnevenness(targets []LocalTarget) unevenness {
	sum, count, isKnown, isShared := 0.0, 0, false, false
	for i := range targets {
		target := &targets[i]
		if target.Availability != Available {
			continue
		}
		count++
		if target.Slowdown == 0 {
			sum++
			continue
		}
		isKnown = true
		isShared = isShared || target.SharedFigure
		sum += ClampSlowdown(target.Slowdown)
	}
	if !isKnown {
		return unevenness{}
	}
	return unevenness{scale: float64(count) / sum, isShared: isShared}
}

// relative returns the slowdown of a target against the mean.
func (u unevenness) relative(target *LocalTarget) float64 {
	switch {
	case u.scale == 0:
		return 1
	case target.Slowdown == 0:
		return ClampSlowdown(u.scale)
	}
	return ClampSlowdown(ClampSlowdown(target.Slowdown) * u.scale)
}

// load returns the number in flight on a target that is compared with the bounds. It is
// never less than InFlight, whatever the target claims.
func (u unevenness) load(target *LocalTarget) float64 {
	return target.InFlight * max(u.relative(target), 1)
}

// homeSlowdown returns the slowdown of the home of a prompt, against the mean. It is at
// least 1, and more only while the home is slow for a time: the fresh figure moves no
// prompts.
func (u unevenness) homeSlowdown(target *LocalTarget) float64 {
	if u.scale == 0 || target.HomeSlowdown <= 1 {
		return 1
	}
	return max(ClampSlowdown(ClampSlowdown(target.HomeSlowdown)*u.scale), 1)
}

// homeLoad returns the number in flight on the home of a prompt that is compared with the
// bound above which prompts leave it.
func (u unevenness) homeLoad(target *LocalTarget) float64 {
	return target.InFlight * u.homeSlowdown(target)
}

// tolerance returns the difference in cost within which targets are as good as the
// cheapest one, since the load of each may be off by its standard deviation.
func (u unevenness) tolerance(mean float64, costs *LocalCosts) time.Duration {
	return time.Duration((1 + math.Sqrt(max(mean, 0))) * float64(costs.InFlight))
}

// hashPick chooses one of the targets offered to it with a probability in proportion to
// their weights, all from one random number, so that one pass suffices.
type hashPick struct {
	random uint64
	at     int
	rank   float64
}

func (p *hashPick) offer(i int, key uint64, weight float64) {
	if weight <= 0 {
		return
	}
	const resolution = 1 << 53
	uniform := (float64(Score(p.random, key)>>11) + 1) / resolution
	// The minimum of exponential variables is each one's with a probability in
	// proportion to its rate.
	if rank := -math.Log(uniform) / weight; p.at == None || rank < p.rank {
		p.at, p.rank = i, rank
	}
}

// pickEqual returns one of the targets whose cost is within the tolerance of that of the
// cheapest one.
//
// It is designed for hundreds of hosts that read the same figures: they would all choose
// the same cheapest target until the next figure.
func pickEqual(random uint64, best, tolerance time.Duration, targets []LocalTarget, cost func(i int) (time.Duration, bool)) int {
	pick := hashPick{random: random, at: None}
	for i := range targets {
		if c, ok := cost(i); ok && c-best < tolerance {
			pick.offer(i, targets[i].Key, 1-float64(c-best)/float64(tolerance))
		}
	}
	return pick.at
}
