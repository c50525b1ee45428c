package placement

import (
	"fmt"
	"slices"
	"time"
)

// roll is the change of a service's targets to a new build.
type roll struct {
	// lastGood is the last build that all ready targets had.
	lastGood build
	// stopped is set by a failure and cleared by a new build in the text.
	stopped bool
	reason  string
	// remembered is a build that failed under an earlier leader.
	remembered build
}

// updateRolls notes for each service which build works.
func (p *Planner) updateRolls() {
	members := map[string][]*engine{}
	for _, name := range p.names {
		e := p.engines[name]
		members[e.Service] = append(members[e.Service], e)
	}
	for _, s := range p.services {
		s.updateRoll(members[s.Name])
	}
}

// updateRoll notes the build that works: the wish once all targets have it, else
// the most common one of those that an older text must have asked for.
func (s *service) updateRoll(members []*engine) {
	wish := buildOf(&s.Service)
	var others []build
	matching := 0
	for _, e := range members {
		if !e.Ready || e.mismatched || e.order != nil {
			continue
		}
		if wish.loadedOn(&e.TargetState) {
			matching++
			continue
		}
		others = append(others, build{model: e.Model, version: e.Version, adapters: e.Adapters})
	}
	switch {
	case len(others) == 0 && matching > 0:
		s.roll.lastGood = wish
	case s.roll.lastGood.model == "" && len(others) > 0:
		s.roll.lastGood = mostCommon(others)
	}
	s.stopIfRemembered()
}

// RestoreFailure takes an order that failed under an earlier leader. If its
// build is the one that a service's targets are changing to, the roll stops.
func (p *Planner) RestoreFailure(order Order) {
	if s := p.byName[order.Service]; s != nil && order.Kind == LoadModel {
		s.roll.remembered = build{model: order.Model, version: order.Version, adapters: order.Adapters}
	}
}

// stopIfRemembered stops a roll whose build has failed before.
func (s *service) stopIfRemembered() {
	if s.roll.remembered.model == "" || s.roll.lastGood.model == "" {
		return
	}
	if s.changing() && s.roll.remembered.equal(buildOf(&s.Service)) {
		s.roll.stopped = true
		s.roll.reason = fmt.Sprintf("%s %s failed under an earlier leader", s.Model, s.Version)
	}
	s.roll.remembered = build{}
}

func mostCommon(builds []build) build {
	best, most := builds[0], 0
	for _, b := range builds {
		n := 0
		for _, other := range builds {
			if other.equal(b) {
				n++
			}
		}
		if n > most {
			best, most = b, n
		}
	}
	return best
}

// stopRoll ends the roll of the service whose order failed, if it is one.
func (p *Planner) stopRoll(o *pending, reason string) {
	s := p.byName[o.Service]
	if s == nil || o.Kind != LoadModel || !s.changing() {
		return
	}
	wish := buildOf(&s.Service)
	if s.roll.stopped || !wish.equal(build{model: o.Model, version: o.Version, adapters: o.Adapters}) {
		return
	}
	s.roll.stopped = true
	s.roll.reason = fmt.Sprintf("%s %s on %s: %s", o.Model, o.Version, o.Target, reason)
	p.logf("%s: roll stopped: %s", s.Name, s.roll.reason)
}

// ResumeRollout lets a stopped roll of the service go on with the same build.
func (p *Planner) ResumeRollout(service string) {
	if s := p.byName[service]; s != nil {
		s.roll.stopped = false
		s.roll.reason = ""
	}
}

// changing reports whether targets have another build than the wish.
func (s *service) changing() bool {
	return s.roll.lastGood.model != "" && !s.roll.lastGood.equal(buildOf(&s.Service))
}

// stale reports whether the engine stays with its service and lacks the build or
// the role.
func (a *assignment) stale(i int) bool {
	e := a.engines[i]
	if a.goal[i] == none || a.goal[i] != a.from[i] || e.order != nil {
		return false
	}
	s := a.services[a.goal[i]]
	return e.Service == s.Name && !s.fits(&e.TargetState)
}

// rollDomain returns the failure domain whose engines may change now; empty
// while one that was begun is not finished. Domains go in their order, a begun
// one first.
func (p *Planner) rollDomain(now time.Time, a *assignment, service int) string {
	s := a.services[service]
	stale, fresh := map[string]bool{}, map[string]bool{}
	unfinished := map[string]bool{}
	for i, e := range a.engines {
		switch {
		case a.goal[i] != service:
		case a.stale(i):
			stale[e.FailureDomain] = true
		case e.order != nil:
			fresh[e.FailureDomain] = true
			unfinished[e.FailureDomain] = true
		case s.fits(&e.TargetState):
			fresh[e.FailureDomain] = true
			unfinished[e.FailureDomain] = unfinished[e.FailureDomain] || !e.warm(now, p.times.WarmUpTimeout)
		}
	}
	domain := firstDomain(stale, fresh)
	for other, open := range unfinished {
		if open && other != domain {
			return ""
		}
	}
	return domain
}

// firstDomain returns the first stale domain, a begun one before the others.
func firstDomain(stale, fresh map[string]bool) string {
	var names, begun []string
	for name := range stale {
		names = append(names, name)
		if fresh[name] {
			begun = append(begun, name)
		}
	}
	if len(begun) > 0 {
		return slices.Min(begun)
	}
	if len(names) > 0 {
		return slices.Min(names)
	}
	return ""
}

// rollMoves returns the engines that may change their build or role now.
func (p *Planner) rollMoves(now time.Time, a *assignment) []move {
	var moves []move
	domains := map[int]string{}
	for i, e := range a.engines {
		if !a.stale(i) {
			continue
		}
		service := a.goal[i]
		if a.services[service].roll.stopped {
			p.waits[e.Name] = "the roll has stopped: " + a.services[service].roll.reason
			continue
		}
		domain, known := domains[service]
		if !known {
			domain = p.rollDomain(now, a, service)
			domains[service] = domain
		}
		if e.FailureDomain != domain {
			p.waits[e.Name] = "another failure domain rolls first"
			continue
		}
		moves = append(moves, move{engine: e, service: a.services[service], reason: ReasonRollout})
	}
	return moves
}

// makeRoomForRolls gives a service that is at its minimum one more engine, so
// that the others can change in turn.
func (p *Planner) makeRoomForRolls(a *assignment) {
	rolling := make([]bool, len(a.services))
	for i := range a.engines {
		if a.stale(i) {
			rolling[a.goal[i]] = true
		}
	}
	for service, s := range a.services {
		if !rolling[service] || s.roll.stopped || a.count[service] != s.Placement.Min {
			continue
		}
		i, ok := none, false
		if s.hasRoom(a.count[service]) {
			i, ok = a.best(service, donorSurplus)
		}
		if !ok {
			text := fmt.Sprintf("%s has %d targets, its minimum, and none can be spared or added for the roll", s.Name, a.count[service])
			p.alarms.raise(Alarm{Kind: AlarmRollBlocked, Service: s.Name, Message: text})
			continue
		}
		a.move(i, service, ReasonRollout)
	}
}
