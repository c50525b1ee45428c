package placement

import (
	"fmt"
	"time"
)

// computeAssignment returns the service that each engine should serve. Placement
// requirements that cannot be met raise alarms.
func (p *Planner) computeAssignment(now time.Time) *assignment {
	a := p.newAssignment(now)
	p.assignPinned(a)
	p.releaseSurplus(a)
	p.fillMinimums(a)
	p.repairSpread(a)
	p.scaleUp(now, a)
	p.addRolloutSpares(a)
	p.assignIdle(a)
	return a
}

// assignPinned assigns pinned engines to their services and fixes them.
func (p *Planner) assignPinned(a *assignment) {
	index := map[string]int{}
	for i, s := range a.services {
		index[s.Name] = i
	}
	for i, e := range a.engines {
		name, pinned := p.pins[e.Name]
		if !pinned {
			continue
		}
		service, ok := index[name]
		if !ok && name != "" {
			message := fmt.Sprintf("%s is pinned to %s, which is no model service", e.Name, name)
			p.alarms.raise(Alarm{Kind: AlarmPinImpossible, Service: name, Target: e.Name, Message: message})
			continue
		}
		if name != "" && a.desired[i] != service && !a.fixed[i] {
			a.assign(i, service, ReasonPin)
		}
		a.fixed[i] = true
	}
}

// releaseSurplus releases engines of services that exceed their maximum.
func (p *Planner) releaseSurplus(a *assignment) {
	for service, s := range a.services {
		for s.Placement.Max > 0 && a.count[service] > s.Placement.Max {
			i, ok := a.bestRelease(service)
			if !ok {
				break
			}
			a.assign(i, none, ReasonSurplus)
		}
	}
}

// fillMinimums brings services to their minimum, dependencies first. Services on the
// same dependency level get one engine each in turn.
func (p *Planner) fillMinimums(a *assignment) {
	for {
		service, ok := a.nextBelowMinimum()
		if !ok {
			break
		}
		i, found := a.bestDonor(service, donorBreaksSpread)
		if !found {
			break
		}
		a.assign(i, service, ReasonMinimum)
	}
	for service, s := range a.services {
		if missing := a.shortage(service); missing > 0 {
			message := fmt.Sprintf("%s lacks %d of %d targets and none can be spared", s.Name, missing, s.Placement.Min)
			p.alarms.raise(Alarm{Kind: AlarmMinimumUnsatisfiable, Service: s.Name, Message: message})
		}
	}
}

// nextBelowMinimum returns the next service to get an engine: dependencies first,
// then the smallest share of the minimum, then the largest demand.
func (a *assignment) nextBelowMinimum() (int, bool) {
	found, ok := 0, false
	for service := range a.services {
		if a.shortage(service) > 0 && (!ok || a.isMoreUrgent(service, found)) {
			found, ok = service, true
		}
	}
	return found, ok
}

func (a *assignment) isMoreUrgent(service, other int) bool {
	s, t := a.services[service], a.services[other]
	if s.depth != t.depth {
		return s.depth < t.depth
	}
	share, otherShare := a.count[service]*t.Placement.Min, a.count[other]*s.Placement.Min
	if share != otherShare {
		return share < otherShare
	}
	return s.demand > t.demand
}

// repairSpread brings services into enough failure domains, either with an engine
// that can be reassigned or by swapping engines with another service.
func (p *Planner) repairSpread(a *assignment) {
	for service, s := range a.services {
		for len(a.domainCounts[service]) < a.requiredSpread(service) {
			if !a.spreadWithSpare(service, p.canUnload) && !a.spreadBySwap(service) {
				break
			}
		}
		if used := len(a.domainCounts[service]); used < min(s.Placement.Spread, a.count[service]) {
			message := fmt.Sprintf("%s is in %d of %d failure domains", s.Name, used, s.Placement.Spread)
			p.alarms.raise(Alarm{Kind: AlarmSpreadUnmet, Service: s.Name, Message: message})
		}
	}
}

// spreadWithSpare assigns an engine in a new failure domain to the service. A
// service at its maximum returns an engine from its fullest domain in exchange. If
// the new engine was idle, this requires targets that can unload.
func (a *assignment) spreadWithSpare(service int, canUnload bool) bool {
	i, ok := a.bestDonor(service, donorHighLoad)
	if !ok || a.domainCounts[service][a.engines[i].FailureDomain] > 0 {
		return false
	}
	donor := a.desired[i]
	room := a.services[service].hasRoom(a.count[service])
	if !room && donor == none && !canUnload {
		return false
	}
	a.assign(i, service, ReasonSpread)
	if room {
		return true
	}
	if released, found := a.bestRelease(service); found && released != i {
		a.assign(released, donor, ReasonSpread)
	}
	return true
}

// spreadBySwap swaps an engine in the service's fullest failure domain with an
// engine of another service in a new domain, if the spread of both allows it.
func (a *assignment) spreadBySwap(service int) bool {
	released, ok := a.bestRelease(service)
	if !ok || a.domainCounts[service][a.engines[released].FailureDomain] < 2 {
		return false
	}
	found := none
	for i, e := range a.engines {
		if a.canSwap(i, released, service) && (found == none || e.CachedChats < a.engines[found].CachedChats) {
			found = i
		}
	}
	if found == none {
		return false
	}
	other := a.desired[found]
	a.assign(found, service, ReasonSpread)
	a.assign(released, other, ReasonSpread)
	return true
}

// canSwap reports whether engine i can take the place of the released engine.
func (a *assignment) canSwap(i, released, service int) bool {
	other := a.desired[i]
	if a.fixed[i] || other == none || other == service || a.domainCounts[service][a.engines[i].FailureDomain] > 0 {
		return false
	}
	return a.keepsSpread(i) || a.domainCounts[other][a.engines[released].FailureDomain] == 0
}

// scaleUp assigns one more engine to each service that has been overloaded for
// ScaleUpDelay: an idle one or one from a service whose load stays low without it.
func (p *Planner) scaleUp(now time.Time, a *assignment) {
	for service, s := range a.services {
		s.updateOverload(now, a.count[service])
		if !s.needsScaleUp(now, p.timing) || !s.hasRoom(a.count[service]) || a.shortage(service) > 0 {
			continue
		}
		if i, ok := a.bestScaleUpDonor(now, service, p.timing); ok {
			a.assign(i, service, ReasonOverload)
		}
	}
}

// bestScaleUpDonor returns the best donor among idle engines and services that have
// passed their cooldown.
func (a *assignment) bestScaleUpDonor(now time.Time, service int, timing Timing) (int, bool) {
	excluded := make([]int, 0, len(a.engines))
	for i := range a.engines {
		donor := a.desired[i]
		if donor != none && !a.fixed[i] && !a.services[donor].cooledDown(now, timing) {
			a.fixed[i] = true
			excluded = append(excluded, i)
		}
	}
	i, ok := a.bestDonor(service, donorLowLoad)
	for _, index := range excluded {
		a.fixed[index] = false
	}
	return i, ok
}

// assignIdle assigns idle engines to the service with the highest load, then to the
// one with the fewest engines relative to its minimum.
func (p *Planner) assignIdle(a *assignment) {
	for i, e := range a.engines {
		if a.desired[i] != none || a.fixed[i] {
			continue
		}
		if _, pinned := p.pins[e.Name]; pinned {
			continue
		}
		if service, ok := a.serviceForIdle(i); ok {
			a.assign(i, service, ReasonIdle)
		}
	}
}

// serviceForIdle returns the service that benefits most from the idle engine. An
// engine is not returned to the service that released it to meet its maximum.
func (a *assignment) serviceForIdle(i int) (int, bool) {
	found, ok := 0, false
	for service, s := range a.services {
		if !s.hasRoom(a.count[service]) || a.initial[i] == service {
			continue
		}
		if !ok || a.benefitsMore(service, found) {
			found, ok = service, true
		}
	}
	return found, ok
}

func (a *assignment) benefitsMore(service, other int) bool {
	s, t := a.services[service], a.services[other]
	load, otherLoad := s.load(a.count[service]), t.load(a.count[other])
	if load != otherLoad {
		return load > otherLoad
	}
	return a.count[service]*max(1, t.Placement.Min) < a.count[other]*max(1, s.Placement.Min)
}
