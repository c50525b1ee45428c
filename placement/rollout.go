package placement

import (
	"fmt"
	"slices"
	"time"
)

// rollout is the state of changing a service's targets to a new build.
type rollout struct {
	// lastGood is the last build that all ready targets had loaded.
	lastGood build
	// stopped is set by a failure and cleared by a new build in the configuration.
	stopped bool
	reason  string
	// earlierFailure is a build that failed under a former leader.
	earlierFailure build
}

// updateRollouts updates the last good build of each service.
func (p *Planner) updateRollouts() {
	members := map[string][]*engine{}
	for _, name := range p.targetNames {
		e := p.engines[name]
		members[e.Service] = append(members[e.Service], e)
	}
	for _, s := range p.services {
		s.updateRollout(members[s.Name])
	}
}

// updateRollout updates the last good build: the configured one once all targets
// have it, otherwise the most common of the other builds, which an earlier
// configuration must have requested.
func (s *service) updateRollout(members []*engine) {
	configured := configuredBuild(&s.Service)
	var others []build
	matching := 0
	for _, e := range members {
		if !e.Ready || e.mismatched || e.order != nil {
			continue
		}
		if configured.loadedOn(&e.TargetState) {
			matching++
			continue
		}
		others = append(others, build{model: e.Model, version: e.Version, adapters: e.Adapters})
	}
	switch {
	case len(others) == 0 && matching > 0:
		s.rollout.lastGood = configured
	case s.rollout.lastGood.model == "" && len(others) > 0:
		s.rollout.lastGood = mostCommon(others)
	}
	s.stopIfFailedBefore()
}

// RestoreFailure restores an order that failed under a former leader. If a rollout
// of its build is in progress, the rollout stops.
func (p *Planner) RestoreFailure(order Order) {
	if s := p.byName[order.Service]; s != nil && order.Kind == LoadModel {
		s.rollout.earlierFailure = build{model: order.Model, version: order.Version, adapters: order.Adapters}
	}
}

// stopIfFailedBefore stops a rollout whose build failed under a former leader.
func (s *service) stopIfFailedBefore() {
	if s.rollout.earlierFailure.model == "" || s.rollout.lastGood.model == "" {
		return
	}
	if s.isRollingOut() && s.rollout.earlierFailure.equal(configuredBuild(&s.Service)) {
		s.rollout.stopped = true
		s.rollout.reason = fmt.Sprintf("%s %s failed under an earlier leader", s.Model, s.Version)
	}
	s.rollout.earlierFailure = build{}
}

func mostCommon(builds []build) build {
	best, highest := builds[0], 0
	for _, b := range builds {
		n := 0
		for _, other := range builds {
			if other.equal(b) {
				n++
			}
		}
		if n > highest {
			best, highest = b, n
		}
	}
	return best
}

// stopRollout stops the rollout that a failed order belongs to, if any.
func (p *Planner) stopRollout(o *pendingOrder, reason string) {
	s := p.byName[o.Service]
	if s == nil || o.Kind != LoadModel || !s.isRollingOut() {
		return
	}
	configured := configuredBuild(&s.Service)
	if s.rollout.stopped || !configured.equal(build{model: o.Model, version: o.Version, adapters: o.Adapters}) {
		return
	}
	s.rollout.stopped = true
	s.rollout.reason = fmt.Sprintf("%s %s on %s: %s", o.Model, o.Version, o.Target, reason)
	p.logf("%s: rollout stopped: %s.", s.Name, s.rollout.reason)
}

// ResumeRollout continues a stopped rollout of the service with the same build.
func (p *Planner) ResumeRollout(service string) {
	if s := p.byName[service]; s != nil {
		s.rollout.stopped = false
		s.rollout.reason = ""
	}
}

// isRollingOut reports whether the last good build differs from the configured one.
func (s *service) isRollingOut() bool {
	return s.rollout.lastGood.model != "" && !s.rollout.lastGood.equal(configuredBuild(&s.Service))
}

// isStale reports whether the engine stays with its service but lacks the required
// build or role.
func (a *assignment) isStale(i int) bool {
	e := a.engines[i]
	if a.desired[i] == none || a.desired[i] != a.initial[i] || e.order != nil {
		return false
	}
	s := a.services[a.desired[i]]
	return e.Service == s.Name && !s.isServedBy(&e.TargetState)
}

// rolloutDomain returns the failure domain whose engines may change now, or "" while
// another domain is not finished. Started domains come first, then the others by
// name.
func (p *Planner) rolloutDomain(now time.Time, a *assignment, service int) string {
	s := a.services[service]
	stale, updated := map[string]bool{}, map[string]bool{}
	unfinished := map[string]bool{}
	for i, e := range a.engines {
		switch {
		case a.desired[i] != service:
		case a.isStale(i):
			stale[e.FailureDomain] = true
		case e.order != nil:
			updated[e.FailureDomain] = true
			unfinished[e.FailureDomain] = true
		case s.isServedBy(&e.TargetState):
			updated[e.FailureDomain] = true
			unfinished[e.FailureDomain] = unfinished[e.FailureDomain] || !e.countsAsWarm(now, p.timing.WarmUpTimeout)
		}
	}
	domain := nextDomain(stale, updated)
	for other, open := range unfinished {
		if open && other != domain {
			return ""
		}
	}
	return domain
}

// nextDomain returns the first stale domain by name, preferring those that have been
// started.
func nextDomain(stale, updated map[string]bool) string {
	var names, started []string
	for name := range stale {
		names = append(names, name)
		if updated[name] {
			started = append(started, name)
		}
	}
	if len(started) > 0 {
		return slices.Min(started)
	}
	if len(names) > 0 {
		return slices.Min(names)
	}
	return ""
}

// rolloutMoves returns the moves that update the build or role of engines now.
func (p *Planner) rolloutMoves(now time.Time, a *assignment) []move {
	var moves []move
	domains := map[int]string{}
	for i, e := range a.engines {
		if !a.isStale(i) {
			continue
		}
		service := a.desired[i]
		if a.services[service].rollout.stopped {
			p.waitReasons[e.Name] = "the roll has stopped: " + a.services[service].rollout.reason
			continue
		}
		domain, known := domains[service]
		if !known {
			domain = p.rolloutDomain(now, a, service)
			domains[service] = domain
		}
		if e.FailureDomain != domain {
			p.waitReasons[e.Name] = "another failure domain rolls first"
			continue
		}
		moves = append(moves, move{engine: e, service: a.services[service], reason: ReasonRollout})
	}
	return moves
}

// addRolloutSpares assigns one more engine to services that are at their minimum, so
// that the other engines can be updated in turn.
func (p *Planner) addRolloutSpares(a *assignment) {
	rolling := make([]bool, len(a.services))
	for i := range a.engines {
		if a.isStale(i) {
			rolling[a.desired[i]] = true
		}
	}
	for service, s := range a.services {
		if !rolling[service] || s.rollout.stopped || a.count[service] != s.Placement.Min {
			continue
		}
		i, ok := none, false
		if s.hasRoom(a.count[service]) {
			i, ok = a.bestDonor(service, donorSurplus)
		}
		if !ok {
			message := fmt.Sprintf("%s has %d targets, its minimum, and none can be spared or added for the roll", s.Name, a.count[service])
			p.alarms.raise(Alarm{Kind: AlarmRollBlocked, Service: s.Name, Message: message})

			continue
		}
		a.move(i, service, ReasonRollout)
	}
}
