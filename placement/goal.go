package placement

import (
	"fmt"
	"time"
)

// decide returns which engine is to serve what. Wishes that can't be met raise
// alarms.
func (p *Planner) decide(now time.Time) *assignment {
	a := p.newAssignment(now)
	p.applyPins(a)
	p.trim(a)
	p.fill(a)
	p.repairSpread(a)
	p.relievePressure(now, a)
	p.makeRoomForRolls(a)
	p.useIdle(a)
	return a
}

// applyPins gives pinned engines to their services.
func (p *Planner) applyPins(a *assignment) {
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
			text := fmt.Sprintf("%s is pinned to %s, which is no model service", e.Name, name)
			p.alarms.raise(Alarm{Kind: AlarmPinImpossible, Service: name, Target: e.Name, Message: text})
			continue
		}
		if name != "" && a.goal[i] != service && !a.fixed[i] {
			a.move(i, service, ReasonPin)
		}
		a.fixed[i] = true
	}
}

// trim releases engines above a service's maximum.
func (p *Planner) trim(a *assignment) {
	for service, s := range a.services {
		for s.Placement.Max > 0 && a.count[service] > s.Placement.Max {
			i, ok := a.release(service)
			if !ok {
				break
			}
			a.move(i, none, ReasonSurplus)
		}
	}
}

// fill brings services to their minimum, dependencies first, one engine each in
// turn within a level.
func (p *Planner) fill(a *assignment) {
	for {
		service, ok := a.neediest()
		if !ok {
			break
		}
		i, found := a.best(service, donorSpread)
		if !found {
			break
		}
		a.move(i, service, ReasonMinimum)
	}
	for service, s := range a.services {
		if missing := a.shortage(service); missing > 0 {
			text := fmt.Sprintf("%s lacks %d of %d targets and none can be spared", s.Name, missing, s.Placement.Min)
			p.alarms.raise(Alarm{Kind: AlarmWishImpossible, Service: s.Name, Message: text})
		}
	}
}

// neediest returns the service to serve next: dependencies first, then the
// smallest share of the minimum, then the largest demand.
func (a *assignment) neediest() (int, bool) {
	found, ok := 0, false
	for service := range a.services {
		if a.shortage(service) > 0 && (!ok || a.needier(service, found)) {
			found, ok = service, true
		}
	}
	return found, ok
}

func (a *assignment) needier(service, than int) bool {
	s, t := a.services[service], a.services[than]
	if s.depth != t.depth {
		return s.depth < t.depth
	}
	share, thanShare := a.count[service]*t.Placement.Min, a.count[than]*s.Placement.Min
	if share != thanShare {
		return share < thanShare
	}
	return s.demand > t.demand
}

// repairSpread brings services into enough failure domains, by an engine that
// can be spared there or by an exchange with another service.
func (p *Planner) repairSpread(a *assignment) {
	for service, s := range a.services {
		for len(a.spread[service]) < a.spreadGoal(service) {
			if !a.spreadBySpare(service, p.unloads) && !a.spreadByExchange(service) {
				text := fmt.Sprintf("%s is in %d of %d failure domains", s.Name, len(a.spread[service]), s.Placement.Spread)
				p.alarms.raise(Alarm{Kind: AlarmSpreadUnmet, Service: s.Name, Message: text})
				break
			}
		}
	}
}

// spreadBySpare takes an engine in a new domain. A service at its maximum gives
// one in its most crowded domain back in its place, which for an idle engine
// needs targets that unload.
func (a *assignment) spreadBySpare(service int, unloads bool) bool {
	i, ok := a.best(service, donorSurplus)
	if !ok || a.spread[service][a.engines[i].FailureDomain] > 0 {
		return false
	}
	giver := a.goal[i]
	room := a.services[service].hasRoom(a.count[service])
	if !room && giver == none && !unloads {
		return false
	}
	a.move(i, service, ReasonSpread)
	if room {
		return true
	}
	if back, found := a.release(service); found && back != i {
		a.move(back, giver, ReasonSpread)
	}
	return true
}

// spreadByExchange swaps an engine of the most crowded domain with one of
// another service in a new domain, where both services' spread allows it.
func (a *assignment) spreadByExchange(service int) bool {
	given, ok := a.release(service)
	if !ok || a.spread[service][a.engines[given].FailureDomain] < 2 {
		return false
	}
	found := none
	for i, e := range a.engines {
		if a.exchangeable(i, given, service) && (found == none || e.CachedChats < a.engines[found].CachedChats) {
			found = i
		}
	}
	if found == none {
		return false
	}
	other := a.goal[found]
	a.move(found, service, ReasonSpread)
	a.move(given, other, ReasonSpread)
	return true
}

// exchangeable reports whether engine i may take the place of the given one.
func (a *assignment) exchangeable(i, given, service int) bool {
	other := a.goal[i]
	if a.fixed[i] || other == none || other == service || a.spread[service][a.engines[i].FailureDomain] > 0 {
		return false
	}
	return a.keepsSpread(i) || a.spread[other][a.engines[given].FailureDomain] == 0
}

// relievePressure gives each service that has been pressed for long one more
// engine, from the idle ones or from a service that stays light without it.
func (p *Planner) relievePressure(now time.Time, a *assignment) {
	for service, s := range a.services {
		s.updatePressure(now, a.count[service])
		if !s.pressed(now, p.times) || !s.hasRoom(a.count[service]) || a.shortage(service) > 0 {
			continue
		}
		if i, ok := a.bestForPressure(now, service, p.times); ok {
			a.move(i, service, ReasonPressure)
		}
	}
}

// bestForPressure leaves out services from which pressure moved a target lately.
func (a *assignment) bestForPressure(now time.Time, service int, times Timing) (int, bool) {
	held := make([]int, 0, len(a.engines))
	for i := range a.engines {
		donor := a.goal[i]
		if donor != none && !a.fixed[i] && !a.services[donor].settled(now, times) {
			a.fixed[i] = true
			held = append(held, i)
		}
	}
	i, ok := a.best(service, donorLight)
	for _, h := range held {
		a.fixed[h] = false
	}
	return i, ok
}

// useIdle gives engines that serve nothing to the service with the highest load,
// then with the fewest engines for its minimum.
func (p *Planner) useIdle(a *assignment) {
	for i, e := range a.engines {
		if a.goal[i] != none || a.fixed[i] {
			continue
		}
		if _, pinned := p.pins[e.Name]; pinned {
			continue
		}
		if service, ok := a.wantsIdle(i); ok {
			a.move(i, service, ReasonIdle)
		}
	}
}

// wantsIdle returns the service that gains most from the idle engine. An engine
// that was released to meet a maximum does not come back.
func (a *assignment) wantsIdle(i int) (int, bool) {
	found, ok := 0, false
	for service, s := range a.services {
		if !s.hasRoom(a.count[service]) || a.from[i] == service {
			continue
		}
		if !ok || a.gainsMore(service, found) {
			found, ok = service, true
		}
	}
	return found, ok
}

func (a *assignment) gainsMore(service, than int) bool {
	s, t := a.services[service], a.services[than]
	load, thanLoad := s.load(a.count[service]), t.load(a.count[than])
	if load != thanLoad {
		return load > thanLoad
	}
	return a.count[service]*max(1, t.Placement.Min) < a.count[than]*max(1, s.Placement.Min)
}
