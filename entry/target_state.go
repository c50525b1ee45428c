package entry

import (
	"math"
	"time"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
	"comfreytiller.dev/target/roster"
)

const (
	// minFailureBackoff and maxFailureBackoff limit the time for which a target
	// that failed to respond is avoided. The time doubles with each consecutive
	// failure.
	minFailureBackoff = 300 * time.Millisecond
	maxFailureBackoff = 4 * time.Second
	// failureRateWeight is the weight of the latest outcome in the failure
	// rate.
	failureRateWeight = 0.15
	// failureRateHalfLife is the half-life of the failure rate. A target that
	// is avoided because of its rate receives no calls that could lower it.
	failureRateHalfLife = 3 * time.Second
	// silentPeriod is how long a target that a request waits for in silence is avoided,
	// unless it responds. The request tells of the silence again before that.
	silentPeriod = 4 * time.Second
	// loadReportTTL is how long a report on a target's load is used.
	loadReportTTL = 3 * time.Second
	// atCapacityPeriod is how long a target that refused a request counts as at
	// capacity.
	atCapacityPeriod = 100 * time.Millisecond
	// ownAveragePeriod is the time over which this host's own load is averaged.
	ownAveragePeriod = 2 * time.Second
	// usualLoadPeriod is the time over which the load that other hosts put on a target
	// is averaged.
	usualLoadPeriod = 2 * time.Second
)

// targetState is the roster entry of a target with what this host learned about
// the target itself.
type targetState struct {
	roster.Entry
	// firstSeen is when this host learned of this incarnation of the target.
	firstSeen time.Time
	// ownInFlight is the number of this host's requests in flight on the
	// target, ownAverage its moving average.
	ownInFlight  int
	ownAverage   float64
	ownAverageAt time.Time
	// lastLoad is the target's last load report, ownAtLastLoad the value of
	// ownInFlight at that time.
	lastLoad      target.Load
	lastLoadAt    time.Time
	ownAtLastLoad int
	// othersInFlight is the number of requests of other hosts, as last reported
	// by the hub.
	othersInFlight   float64
	othersInFlightAt time.Time
	// usualOthers is the moving average of othersInFlight.
	usualOthers float64
	// consecutiveFailures is the number of failures since the last success.
	// unreachable is set if no connection could be opened at the last failure.
	consecutiveFailures int
	unreachable         bool
	backoffUntil        time.Time
	silentUntil         time.Time
	failureRate         float64
	failureRateAt       time.Time
	atCapacityUntil     time.Time
	// nextColdRequestAt is when this host may send the next request to the
	// target while it is cold.
	nextColdRequestAt time.Time
	// limit is the latest rate limit of the target that this host knows of, and hubLimit
	// the one that its hub knows. slots is the host's share of it; nil if there is none.
	limit    ratelimit.Limit
	hubLimit ratelimit.Limit
	slots    *ratelimit.Schedule
	// coldSince is when this host learned that the target is cold.
	coldSince time.Time
	// speed is what this host knows of how long work takes on the target.
	speed targetSpeed
}

// adjustInFlight changes the number of own requests in flight and updates its
// moving average.
func (s *targetState) adjustInFlight(now time.Time, change int) {
	weight := min(float64(now.Sub(s.ownAverageAt))/float64(ownAveragePeriod), 1)
	s.ownAverage += (float64(s.ownInFlight) - s.ownAverage) * weight
	s.ownAverageAt = now
	s.ownInFlight += change
}

// othersLoad returns the number of requests of other hosts in flight on the
// target, and the weight of that number: 1 for a fresh report, 0 for an expired
// or missing one.
func (s *targetState) othersLoad(now time.Time) (inFlight, weight float64) {
	others, at := s.othersInFlight, s.othersInFlightAt
	if s.lastLoadAt.After(at) {
		others, at = float64(max(s.lastLoad.Running-s.ownAtLastLoad, 0)), s.lastLoadAt
	}
	age := now.Sub(at)
	if at.IsZero() || age >= loadReportTTL {
		return 0, 0
	}
	return others, 1 - float64(age)/float64(loadReportTTL)
}

// hasReportedLoad reports whether a report tells the requests of other hosts on the target.
func (s *targetState) hasReportedLoad(now time.Time) bool {
	_, weight := s.othersLoad(now)
	return weight > 0
}

// meanOthersLoad returns the mean number of requests of other hosts in flight
// on a target, weighted by the age of the reports.
func meanOthersLoad(now time.Time, list []*targetState) float64 {
	sum, weights := 0.0, 0.0
	for _, s := range list {
		inFlight, weight := s.othersLoad(now)
		sum += inFlight * weight
		weights += weight
	}
	if weights == 0 {
		return 0
	}
	return sum / weights
}

// recordOthers records the requests of other hosts as last reported by the hub. expected
// is what a target without an earlier report starts with as its usual load.
func (s *targetState) recordOthers(now time.Time, inFlight, expected float64) {
	if s.othersInFlightAt.IsZero() {
		s.usualOthers = expected
	} else {
		weight := 1 - math.Exp(-float64(now.Sub(s.othersInFlightAt))/float64(usualLoadPeriod))
		s.usualOthers += (inFlight - s.usualOthers) * weight
	}
	s.othersInFlight, s.othersInFlightAt = inFlight, now
}

// serviceLoads is what this host knows of the requests to a service.
type serviceLoads struct {
	hosts int
	// mean is the mean number of requests of other hosts in flight on a target.
	mean float64
	// reportAge is the mean age of a digest's loads, duration the mean time that a
	// request is in flight; 0 for unknown.
	reportAge time.Duration
	duration  time.Duration
	// demand is the number of requests of this host per second.
	demand float64
}

// estimateLoad estimates the requests of all hosts in flight and queued on the
// target. As the last report ages, it is gradually replaced by the mean over all
// targets. Without any report, the other hosts are assumed to send as many requests
// as this one.
//
// A report tells little once most of the requests in it have ended, as on hundreds of
// hosts with requests that are shorter than the age of the reports: the home of popular
// prompts would look like any other target in one digest and overloaded in the next. The
// part of the report that has ended is therefore replaced by the usual load.
func (s *targetState) estimateLoad(now time.Time, loads serviceLoads) (inFlight, queued float64) {
	others, weight := s.othersLoad(now)
	if weight == 0 && loads.mean == 0 {
		return float64(s.ownInFlight) + s.ownAverage*float64(loads.hosts-1), 0
	}
	known := others*weight + loads.mean*(1-weight)
	if loads.duration > 0 && !s.othersInFlightAt.IsZero() {
		age := loads.reportAge
		if s.lastLoadAt.After(s.othersInFlightAt) {
			age = now.Sub(s.lastLoadAt)
		}
		remaining := math.Exp(-float64(age) / float64(loads.duration))
		known = known*remaining + s.usualOthers*(1-remaining)
	}
	return float64(s.ownInFlight) + known, s.estimateQueued(now)
}

// estimateQueued returns the target's last reported queue length, reduced as
// the report ages.
func (s *targetState) estimateQueued(now time.Time) float64 {
	age := now.Sub(s.lastLoadAt)
	if s.lastLoadAt.IsZero() || age >= loadReportTTL {
		return 0
	}
	return float64(s.lastLoad.Queued) * (1 - float64(age)/float64(loadReportTTL))
}

// recordLoad records a load report of the target.
func (s *targetState) recordLoad(now time.Time, load target.Load) {
	s.lastLoad, s.lastLoadAt, s.ownAtLastLoad = load, now, s.ownInFlight
	s.speed.told.ObserveFigure(now, load.Slowdown)
}

// recordSuccess records a response.
func (s *targetState) recordSuccess(now time.Time) {
	s.consecutiveFailures, s.unreachable, s.backoffUntil, s.silentUntil = 0, false, time.Time{}, time.Time{}
	s.failureRate, s.failureRateAt = s.decayedFailureRate(now)*(1-failureRateWeight), now
}

// decayedFailureRate returns the share of calls that failed, reduced as it
// ages.
func (s *targetState) decayedFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp2(-float64(now.Sub(s.failureRateAt))/float64(failureRateHalfLife))
}

// recordFailure records that the target failed to respond. unreachable is set
// if no connection could be opened.
func (s *targetState) recordFailure(now time.Time, unreachable bool) {
	rate := s.decayedFailureRate(now)
	s.failureRate, s.failureRateAt = rate+(1-rate)*failureRateWeight, now
	s.unreachable = unreachable
	backoff := min(minFailureBackoff<<min(s.consecutiveFailures, 8), maxFailureBackoff)
	s.consecutiveFailures++
	s.backoffUntil = now.Add(backoff)
}

// isAvoided reports whether the target is avoided because of failures or silence. An
// unreachable target is avoided until it can be reached again.
func (s *targetState) isAvoided(now time.Time) bool {
	return s.unreachable || now.Before(s.backoffUntil) || now.Before(s.silentUntil)
}
