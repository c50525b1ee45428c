package placement

import (
	"math"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

// Load thresholds for scaling, as shares of a service's capacity. A service gives a
// target to an overloaded one only if its own load stays at or below maxDonorLoad
// without it. This is far enough below overloadThreshold that a move is never undone
// under the same demand.
const (
	overloadThreshold      = 0.8
	overloadClearThreshold = 0.7
	maxDonorLoad           = 0.6
)

// service is a configured service and the planner's state for it.
type service struct {
	fleet.Service
	// depth is the length of the longest dependency chain below the service; 0
	// for services without dependencies.
	depth int
	// demand is the smoothed number of queued and in-flight requests.
	demand   float64
	demandAt time.Time
	// overloadedSince is when the load reached overloadThreshold; zero while the
	// service is not overloaded.
	overloadedSince time.Time
	// lastScaledAt is when a target was last moved to or from the service because
	// of load.
	lastScaledAt time.Time
	rollout      rollout
}

func newService(spec *fleet.Service, config *fleet.Fleet) *service {
	return &service{Service: *spec, depth: dependencyDepth(spec, config, len(config.Services))}
}

// dependencyDepth returns the length of the longest dependency chain below a
// service. The limit ends the recursion for a dependency cycle, which the
// validation of the configuration rejects anyway.
func dependencyDepth(spec *fleet.Service, config *fleet.Fleet, limit int) int {
	depth := 0
	if limit == 0 {
		return depth
	}
	for _, name := range spec.DependsOn {
		if dependency, ok := config.Service(name); ok {
			depth = max(depth, 1+dependencyDepth(&dependency, config, limit-1))
		}
	}
	return depth
}

// inheritState copies the state collected under the previous configuration. A new
// build clears a stopped rollout.
func (s *service) inheritState(previous *service) {
	s.demand, s.demandAt = previous.demand, previous.demandAt
	s.overloadedSince, s.lastScaledAt = previous.overloadedSince, previous.lastScaledAt
	s.rollout = previous.rollout
	if !configuredBuild(&s.Service).equal(configuredBuild(&previous.Service)) {
		s.rollout.stopped = false
		s.rollout.reason = ""
	}
}

// recordDemand smooths the demand exponentially with the given time constant.
func (s *service) recordDemand(now time.Time, demand float64, timeConstant time.Duration) {
	if s.demandAt.IsZero() {
		s.demand = demand
	} else {
		elapsed := now.Sub(s.demandAt).Seconds()
		s.demand += (demand - s.demand) * (1 - math.Exp(-elapsed/timeConstant.Seconds()))
	}
	s.demandAt = now
}

// load returns the demand as a share of the capacity of the given number of
// targets.
func (s *service) load(targets int) float64 {
	if targets == 0 {
		if s.demand > 0 {
			return math.Inf(1)
		}
		return 0
	}
	return s.demand / float64(targets*max(1, s.Limits.InFlightPerTarget))
}

// updateOverload records since when the service has been overloaded.
func (s *service) updateOverload(now time.Time, targets int) {
	switch load := s.load(targets); {
	case load < overloadClearThreshold:
		s.overloadedSince = time.Time{}
	case load >= overloadThreshold && s.overloadedSince.IsZero():
		s.overloadedSince = now
	}
}

// needsScaleUp reports whether the service should get another target.
func (s *service) needsScaleUp(now time.Time, timing Timing) bool {
	return !s.overloadedSince.IsZero() && now.Sub(s.overloadedSince) >= timing.ScaleUpDelay && s.cooledDown(now, timing)
}

// cooledDown reports whether a target may again be moved to or from the service
// because of load.
func (s *service) cooledDown(now time.Time, timing Timing) bool {
	return s.lastScaledAt.IsZero() || now.Sub(s.lastScaledAt) >= timing.ScaleCooldown
}

// isModel reports whether targets of the service take orders.
func (s *service) isModel() bool {
	return target.Kind(s.Kind) == target.KindModel && s.Model != ""
}

// hasRoom reports whether the service may have more than count targets.
func (s *service) hasRoom(count int) bool {
	return s.Placement.Max == 0 || count < s.Placement.Max
}

// build returns the build that the service's targets must have loaded: the
// configured one or, after a stopped rollout, the last good one if it is known.
func (s *service) build() build {
	if s.rollout.stopped && s.rollout.lastGood.model != "" {
		return s.rollout.lastGood
	}
	return configuredBuild(&s.Service)
}

// isServedBy reports whether the target serves this service with the required
// build and role.
func (s *service) isServedBy(state *TargetState) bool {
	return state.Service == s.Name && s.build().loadedOn(state) && sameRole(state.Role, s.role())
}

func (s *service) role() target.Role {
	return target.Role(s.Placement.Role)
}
