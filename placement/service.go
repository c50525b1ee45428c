package placement

import (
	"math"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

// The shares of a service's capacity at which pressure acts. A service below
// donorLoad after giving a target away is far from pressedLoad, so that a move is
// never undone under the same demand.
const (
	pressedLoad  = 0.8
	relievedLoad = 0.7
	donorLoad    = 0.6
)

// service is a wish of the fleet text with what the planner remembers of it.
type service struct {
	fleet.Service
	// depth is 0 for services without dependencies and grows with each level of
	// dependents.
	depth int
	// demand is the smoothed number of requests that wait or run.
	demand   float64
	demandAt time.Time
	// pressedSince is when the demand passed the pressed share.
	pressedSince time.Time
	// movedAt is when pressure last moved a target here or away.
	movedAt time.Time
	roll    roll
}

func newService(wish *fleet.Service, text *fleet.Fleet) *service {
	return &service{Service: *wish, depth: depthOf(wish, text, len(text.Services))}
}

// depthOf returns the longest chain of dependencies below a service. limit ends
// a circle, which the text's check refuses anyway.
func depthOf(wish *fleet.Service, text *fleet.Fleet, limit int) int {
	depth := 0
	if limit == 0 {
		return depth
	}
	for _, name := range wish.DependsOn {
		if below, ok := text.Service(name); ok {
			depth = max(depth, 1+depthOf(&below, text, limit-1))
		}
	}
	return depth
}

// inherit keeps what was learned under an earlier text.
func (s *service) inherit(before *service) {
	s.demand, s.demandAt = before.demand, before.demandAt
	s.pressedSince, s.movedAt = before.pressedSince, before.movedAt
	s.roll = before.roll
	if !buildOf(&s.Service).equal(buildOf(&before.Service)) {
		s.roll.stopped = false
		s.roll.reason = ""
	}
}

// takeDemand smooths the demand over the time constant.
func (s *service) takeDemand(now time.Time, demand float64, constant time.Duration) {
	if s.demandAt.IsZero() {
		s.demand = demand
	} else {
		elapsed := now.Sub(s.demandAt).Seconds()
		s.demand += (demand - s.demand) * (1 - math.Exp(-elapsed/constant.Seconds()))
	}
	s.demandAt = now
}

// load returns the demand as a share of what that many targets bear.
func (s *service) load(targets int) float64 {
	if targets == 0 {
		if s.demand > 0 {
			return math.Inf(1)
		}
		return 0
	}
	return s.demand / float64(targets*max(1, s.Limits.InFlightPerTarget))
}

// updatePressure notes since when the service is pressed.
func (s *service) updatePressure(now time.Time, targets int) {
	switch load := s.load(targets); {
	case load < relievedLoad:
		s.pressedSince = time.Time{}
	case load >= pressedLoad && s.pressedSince.IsZero():
		s.pressedSince = now
	}
}

// pressed reports whether the service should get one more target.
func (s *service) pressed(now time.Time, times Timing) bool {
	return !s.pressedSince.IsZero() && now.Sub(s.pressedSince) >= times.ScaleUpDelay && s.settled(now, times)
}

// settled reports whether pressure may move one of the service's targets again.
func (s *service) settled(now time.Time, times Timing) bool {
	return s.movedAt.IsZero() || now.Sub(s.movedAt) >= times.ScaleCooldown
}

// isModel reports whether targets of the service take orders.
func (s *service) isModel() bool {
	return target.Kind(s.Kind) == target.KindModel && s.Model != ""
}

// hasRoom reports whether the wish allows one more than count targets.
func (s *service) hasRoom(count int) bool {
	return s.Placement.Max == 0 || count < s.Placement.Max
}

// build returns what the service's targets must have loaded now: the wish, or
// after a stopped roll the build that works, if one is known.
func (s *service) build() build {
	if s.roll.stopped && s.roll.lastGood.model != "" {
		return s.roll.lastGood
	}
	return buildOf(&s.Service)
}

// fits reports whether the target serves this service as wished.
func (s *service) fits(state *TargetState) bool {
	return state.Service == s.Name && s.build().loadedOn(state) && sameRole(state.Role, s.role())
}

func (s *service) role() target.Role {
	return target.Role(s.Placement.Role)
}
