package route

import (
	"math"
	"time"
)

// noiseDeviations is the width of the random cost in standard deviations of the load of a
// target. With one, 141 hosts loaded a target up to 4.6 times the mean in the replay, with
// three 3.5 times, less than without figures.
const noiseDeviations = 3

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

// relative returns the slowdown of a target against the mean.
func (u unevenness) relative(target *LocalTarget) float64 {
	switch {
	case u.scale == 0:
		return 1
	case target.Slowdown == 0:
		return ClampSlowdown(u.scale)
	}
	return ClampSlowdown(target.Slowdown * u.scale)
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
	return max(ClampSlowdown(target.HomeSlowdown*u.scale), 1)
}

// homeLoad returns the number in flight on the home of a prompt that is compared with the
// bound above which prompts leave it.
func (u unevenness) homeLoad(target *LocalTarget) float64 {
	return target.InFlight * u.homeSlowdown(target)
}

// noise returns the largest random cost that is added to each target for a request
// without a prompt: noiseDeviations times the cost of the standard deviation of the load of a target and of
// the request itself. Targets whose costs differ by less are as good as each other.
//
// It is designed for hundreds of hosts that read the same figures: they would all choose
// the same cheapest target until the next figure.
func (u unevenness) noise(mean float64, costs *LocalCosts) time.Duration {
	return time.Duration(noiseDeviations * (1 + math.Sqrt(max(mean, 0))) * float64(costs.InFlight))
}

// uniform returns a number from 0 to 1 for a hash.
func uniform(hash uint64) float64 {
	const resolution = 1 << 53
	return float64(hash>>11) / resolution
}
