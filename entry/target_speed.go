package entry

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/route"
)

const (
	// loadProblemLogInterval is the minimum time between two log lines about the malformed
	// load headers of a target, which may come with each response.
	loadProblemLogInterval = time.Minute
	// measuredInterval is how long a slowdown that was worked out from response times is
	// used. To do so for each target would take longer than the rest of a decision.
	measuredInterval = 50 * time.Millisecond
)

// slowdownBuckets are the buckets of slowdowns.
var slowdownBuckets = tally.MustMakeExponentialValueBuckets(route.MinSlowdown, math.Sqrt2, 11)

// targetSpeed is what this host knows of how long work takes on a target.
type targetSpeed struct {
	told  route.SlowdownEstimate
	times route.TargetTimes
	// measured is what the response times leave unexplained by the told slowdown, worked
	// out at measuredAt; 0 if it never was.
	measured   float64
	measuredAt time.Time
	// problemLoggedAt is when a malformed load header was last logged.
	problemLoggedAt time.Time
}

// describeSpeed sets the slowdowns of a candidate. The caller must hold t.mu.
//
// What the target tells counts as far as its response times agree. A target that tells
// nothing is judged by its response times alone, unless it is an engine, whose response
// times depend on the prompts.
func (t *targetSelector) describeSpeed(now time.Time, s *targetState, service *fleet.Service, local *route.LocalTarget) {
	isTold := s.speed.told.IsReported()
	if !isTold && service.Kind == fleet.KindModel {
		return
	}
	measured := t.measuredSlowdown(now, s, service)
	switch {
	case isTold:
		local.Slowdown, local.HomeSlowdown, local.SharedFigure = route.ClampSlowdown(s.speed.told.At(now)*measured), s.speed.told.AsHome(now), true
	case measured != 1:
		local.Slowdown = measured
	}
}

// measuredSlowdown returns how long work takes on a target by its response times, as a
// multiple of what it tells. The caller must hold t.mu.
func (t *targetSelector) measuredSlowdown(now time.Time, s *targetState, service *fleet.Service) float64 {
	times := t.responseTimes[s.Service]
	if times == nil {
		return 1
	}
	if s.speed.measured != 0 && now.Sub(s.speed.measuredAt) < measuredInterval {
		return s.speed.measured
	}
	difference := route.PlainDifference
	if service.Kind == fleet.KindModel {
		difference = route.ModelDifference
	}
	measured := times.Slowdown(now, &s.speed.times, difference)
	if measured != 1 {
		t.measuredSlowdowns.RecordValue(measured)
	}
	if (measured == 1) != (s.speed.measured == 1 || s.speed.measured == 0) {
		t.log.WithFields(logrus.Fields{"Target": s.Name, "Incarnation": s.Incarnation, "Service": s.Service, "FailureDomain": s.FailureDomain, "MeasuredSlowdown": measured}).
			Debugf("Response times of target %s differ from those of the service, or no longer do.", s.Name)
	}
	s.speed.measured, s.speed.measuredAt = measured, now
	return measured
}

// recordWorkTime records how long a complete response took to begin. The caller must hold
// t.mu.
func (t *targetSelector) recordWorkTime(now time.Time, s *targetState, release *admission.Release) {
	if !release.Succeeded || release.FirstByte <= 0 || release.Inputs == nil || release.Incarnation != s.Incarnation {
		return
	}
	isTold, told := s.speed.told.IsReported(), 0.0
	if isTold {
		told = s.speed.told.At(now)
	}
	if !isTold && !t.isPlain(s.Service) {
		return
	}
	times := t.responseTimes[s.Service]
	if times == nil {
		times = &route.ServiceTimes{}
		t.responseTimes[s.Service] = times
	}
	own := float64(release.Inputs.OwnInFlight)
	others := max(release.Inputs.InFlight+1-own, 0)
	work, isCertain := route.WorkTime(release.FirstByte, own, others, s.Capacity)
	times.Observe(now, &s.speed.times, work, isCertain, told)
}

// isPlain reports whether a service is known to be a plain one.
func (t *targetSelector) isPlain(name string) bool {
	current := t.daemon.view.current.Load()
	if current == nil {
		return false
	}
	service := current.service(name)
	return service != nil && service.Kind == fleet.KindPlain
}

// usableSlotsNow returns how many requests the target can run at once in the usual time.
// While work takes twice the usual time, these are half of its slots. A target that claims
// to be fast has no more than its slots. The caller must hold t.mu.
func (t *targetSelector) usableSlotsNow(now time.Time, s *targetState, service *fleet.Service, loads serviceLoads) int {
	slots := s.usableSlots(loads.duration)
	var local route.LocalTarget
	t.describeSpeed(now, s, service, &local)
	if local.Slowdown <= 1 {
		return slots
	}
	return int(math.Ceil(float64(slots) / local.Slowdown))
}

// recordLoadProblem records that the load header of a response was ignored. The caller
// must hold t.mu.
func (t *targetSelector) recordLoadProblem(now time.Time, s *targetState, problem string, permit admission.Permit) {
	if problem == "" {
		return
	}
	t.malformedLoads.Inc(1)
	if s == nil || !s.speed.problemLoggedAt.IsZero() && now.Sub(s.speed.problemLoggedAt) < loadProblemLogInterval {
		return
	}
	s.speed.problemLoggedAt = now
	t.log.WithFields(logrus.Fields{"Target": permit.Target, "Incarnation": permit.Incarnation, "Service": permit.Service, "Request": permit.RequestID}).
		Warnf("Target %s sent a malformed load: %s.", permit.Target, problem)
}
