package entry

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/route"
)

// loadProblemLogInterval is the minimum time between two log lines about the malformed
// load headers of a target, which may come with each response.
const loadProblemLogInterval = time.Minute

// targetSpeed is what this host knows of how long work takes on a target.
type targetSpeed struct {
	told route.SlowdownEstimate
	// problemLoggedAt is when a malformed load header was last logged.
	problemLoggedAt time.Time
}

// describeSpeed sets the slowdowns of a candidate.
func (s *targetState) describeSpeed(now time.Time, local *route.LocalTarget) {
	if !s.speed.told.IsReported() {
		return
	}
	local.Slowdown, local.HomeSlowdown, local.SharedFigure = s.speed.told.At(now), s.speed.told.AsHome(now), true
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

// usableSlotsNow returns how many requests the target can run at once in the usual time.
// While work takes twice the usual time, these are half of its slots. A target that claims
// to be fast has no more than its slots.
func (s *targetState) usableSlotsNow(now time.Time, loads serviceLoads) int {
	slots := s.usableSlots(loads.duration)
	var local route.LocalTarget
	s.describeSpeed(now, &local)
	if local.Slowdown <= 1 {
		return slots
	}
	return int(math.Ceil(float64(slots) / local.Slowdown))
}
