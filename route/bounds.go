package route

import (
	"math"
	"time"
)

// The load above which a target slows down is a multiple of the mean plus an offset.
// At most a small fraction of the requests may meet a target with more requests than
// that.
const (
	slowdownFactor = 2
	slowdownExtra  = 3
)

const (
	// overloadQuantile is the number of standard deviations that a normally distributed
	// load exceeds with a probability of 0.3%, a tenth of the fraction of requests that
	// may meet a target above the slowdown load. The rest is left for errors of the
	// estimate.
	overloadQuantile = 2.75
	// minBoundGap is the minimum distance from the mean of the admitting targets to the
	// low bound, and from the low to the high bound, however many targets are out of
	// service.
	minBoundGap = 1
	// freelyUsedSlots and mostUsedSlots are the low and the high bound on a target beside
	// others with a rate limit, as fractions of its slots. The more slots are in use, the
	// longer each request takes.
	freelyUsedSlots = 0.5
	mostUsedSlots   = 0.75
	// defaultDuration is assumed until a request has ended.
	defaultDuration = 500 * time.Millisecond
)

// Traffic is what a host knows of the requests that arrive while its view of the loads
// is out of date.
type Traffic struct {
	// ReportAge is the age of what the host knows of the requests of other hosts.
	ReportAge time.Duration
	// Duration is the mean time that a request to the service is in flight; 0 for
	// unknown.
	Duration time.Duration
	// PromptRate is the estimated number of requests per second of all hosts with the
	// same prompt.
	PromptRate float64
}

// promptArrivals returns the number of requests with the same prompt that are expected
// to arrive within the age of the reports.
func (t Traffic) promptArrivals() float64 { return t.PromptRate * t.ReportAge.Seconds() }

// slowdownLoad returns the number of requests above which a target slows down.
func slowdownLoad(mean float64) float64 { return slowdownFactor*mean + slowdownExtra }

// loadBounds returns the low and the high bound on the requests of one target, between
// which other targets are increasingly preferred. Prompts leave a home above the low
// bound.
//
// It is designed for hosts that choose at the same time by reports that are a fraction
// of a second old: the more of the requests in a report have ended and been replaced by
// others, the further the load of a target may be from it. With independent arrivals, the
// variance of the load is then the mean times that part, whatever the number of hosts,
// targets and slots. The low bound keeps that distance from the load above which a target
// slows down.
func (t Traffic) loadBounds(mean float64) (low, high float64) {
	duration := t.Duration
	if duration <= 0 {
		duration = defaultDuration
	}
	replaced := 1 - math.Exp(-float64(t.ReportAge)/float64(duration))
	limit := slowdownLoad(mean)
	low = max(limit-overloadQuantile*math.Sqrt(mean*replaced), mean+minBoundGap)
	return low, max(limit, low+minBoundGap)
}

// targetBounds returns the bounds for the given targets, whose mean number in flight is
// mean.
func (t Traffic) targetBounds(mean float64, targets []LocalTarget) (low, high float64) {
	totals := sumTargets(targets)
	return t.boundsAround(mean, &totals)
}

// boundsFor returns the bounds for the targets with the given sums.
func (t Traffic) boundsFor(totals *targetTotals) (low, high float64) {
	return t.boundsAround(totals.mean(), totals)
}

// boundsAround returns the bounds around the given mean. Targets that admit no new
// requests but still run some, for example while a failure domain is out of service,
// count in the mean by which overload is judged, and reduce the distance of the other
// targets to their bounds. The low bound is then halfway to the load above which a
// target slows down, since below it every additional request that leaves its home costs
// a cache transfer.
func (t Traffic) boundsAround(mean float64, totals *targetTotals) (low, high float64) {
	low, high = t.loadBounds(mean)
	if totals.present == 0 {
		return low, high
	}
	meanAll := totals.presentSum / float64(totals.present)
	lowAll, highAll := t.loadBounds(meanAll)
	lowAll = (lowAll + slowdownLoad(meanAll)) / 2
	low = min(low, max(lowAll, mean+minBoundGap))
	high = min(high, max(highAll, low+minBoundGap))
	if slots := totals.slotsBesideLimits(); slots > 0 {
		low = max(low, freelyUsedSlots*slots)
		high = max(high, mostUsedSlots*slots, low+minBoundGap)
	}
	return low, high
}
