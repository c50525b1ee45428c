package route

import (
	"math"
	"time"
)

// Slowdowns outside of these bounds are clamped to them.
const (
	MinSlowdown = 0.25
	MaxSlowdown = 8
)

const (
	// freshWeight is the weight of a figure on its arrival against the average of its
	// target. Hundreds of hosts read the same figure within milliseconds; with its full
	// weight they would all go to the target that looks fastest.
	freshWeight = 0.5
	// freshHalfLife and freshHalfRequests are the time and the number of requests of this
	// host to the target after which a figure has half of its weight. The figure changes
	// many times a second, and each request of this host stands for those of other hosts
	// that have read the same figure.
	freshHalfLife     = 250 * time.Millisecond
	freshHalfRequests = 4
	// averagePeriod is the time over which the figures of a target are averaged.
	// silenceHalfLife is the half-life of that average without a figure.
	// maxAverageWeight bounds the weight of one figure in the average: where a host learns of
	// a target every few seconds, each figure would replace the average.
	averagePeriod    = 2 * time.Second
	maxAverageWeight = 0.3
	silenceHalfLife  = 3 * time.Second
	// The home of a prompt counts as slow for its prompts when the average rises above
	// slowHomeStart, until it falls below slowHomeEnd. A phase of some hundred
	// milliseconds must not move prompts, each of which would be transferred there and
	// back.
	slowHomeStart = 1.8
	slowHomeEnd   = 1.2
)

// SlowdownEstimate estimates how long work takes on a target at present, as a multiple of
// the usual time, from figures that the target reports. Its zero value has no report.
//
// It is designed for targets whose figure changes many times a second and is read by
// hundreds of hosts at once, some of it false. A figure counts by its age and by the
// requests that this host has sent since, and is pulled towards the average of its target.
type SlowdownEstimate struct {
	latest   float64
	average  float64
	latestAt time.Time
	sent     int
	slowHome bool
}

// IsReported reports whether a figure has arrived that still counts.
func (e *SlowdownEstimate) IsReported() bool { return e.latest > 0 }

// ObserveFigure records a figure of the target, 1 for the usual time.
func (e *SlowdownEstimate) ObserveFigure(now time.Time, figure float64) {
	if math.IsNaN(figure) || figure <= 0 {
		return
	}
	figure = ClampSlowdown(figure)
	weight := maxAverageWeight
	if e.latest == 0 {
		e.average = 1
	} else {
		weight = min(weight, 1-math.Exp(-max(now.Sub(e.latestAt).Seconds(), 0)/averagePeriod.Seconds()))
		e.average = e.averageAt(now)
	}
	e.average += (figure - e.average) * weight
	e.latest, e.latestAt, e.sent = figure, now, 0
	switch {
	case e.average > slowHomeStart:
		e.slowHome = true
	case e.average < slowHomeEnd:
		e.slowHome = false
	}
}

// RecordSent records a request of this host to the target.
func (e *SlowdownEstimate) RecordSent() { e.sent++ }

// averageAt returns the average, which returns to the usual time without figures.
func (e *SlowdownEstimate) averageAt(now time.Time) float64 {
	silence := now.Sub(e.latestAt) - averagePeriod
	if silence <= 0 {
		return e.average
	}
	return 1 + (e.average-1)*math.Exp2(-float64(silence)/float64(silenceHalfLife))
}

// At returns the estimated slowdown; 0 if no figure has arrived.
func (e *SlowdownEstimate) At(now time.Time) float64 {
	if e.latest == 0 {
		return 0
	}
	age := float64(now.Sub(e.latestAt))/float64(freshHalfLife) + float64(e.sent)/freshHalfRequests
	average := e.averageAt(now)
	return ClampSlowdown(average + (e.latest-average)*freshWeight*math.Exp2(-max(age, 0)))
}

// AsHome returns the slowdown that counts when requests leave the target although it is
// the home of their prompt: that of the average, and only while it is sustained.
func (e *SlowdownEstimate) AsHome(now time.Time) float64 {
	if !e.slowHome {
		return 1
	}
	return max(ClampSlowdown(e.averageAt(now)), 1)
}

// ClampSlowdown returns the slowdown within MinSlowdown and MaxSlowdown.
func ClampSlowdown(slowdown float64) float64 {
	switch {
	case slowdown < MinSlowdown:
		return MinSlowdown
	case slowdown > MaxSlowdown:
		return MaxSlowdown
	}
	return slowdown
}
