package placement

import (
	"slices"
	"time"

	"comfreytiller.dev/target"
)

// none is the index of no service.
const none = -1

// assignment says for each engine which service it is to serve. It starts from
// what the engines serve now and is changed as little as the wishes need.
type assignment struct {
	services []*service
	engines  []*engine
	// from is the service that an engine serves or has an order for, goal the
	// one it is to serve; both index services.
	from, goal []int
	reason     []Reason
	// fixed engines are not given away: they are pinned, have an order, are
	// missing or have just failed.
	fixed []bool
	// count is the number of engines per service, spread that per failure domain.
	count   []int
	spread  []map[string]int
	domains int
}

// newAssignment starts from the current state of all engines that can serve.
func (p *Planner) newAssignment(now time.Time) *assignment {
	a := &assignment{}
	index := map[string]int{}
	for _, s := range p.services {
		if s.isModel() {
			index[s.Name] = len(a.services)
			a.services = append(a.services, s)
		}
	}
	a.count = make([]int, len(a.services))
	a.spread = make([]map[string]int, len(a.services))
	for i := range a.spread {
		a.spread[i] = map[string]int{}
	}
	domains := map[string]bool{}
	for _, name := range p.names {
		e := p.engines[name]
		if !p.assignable(now, e) {
			continue
		}
		domains[e.FailureDomain] = true
		current, ok := index[e.current()]
		if !ok {
			current = none
		}
		a.add(e, current)
		if e.order != nil || !e.lostAt.IsZero() || now.Before(e.retryAt) {
			a.fixed[len(a.fixed)-1] = true
		}
	}
	a.domains = len(domains)
	return a
}

// assignable reports whether an engine can serve: a model engine that is neither
// taken out, nor leaving, nor lost, nor stuck.
func (p *Planner) assignable(now time.Time, e *engine) bool {
	if e.Kind != target.KindModel || !p.inService(e) || e.lost(now, p.times.LossGrace) {
		return false
	}
	if s := p.byName[e.Service]; s != nil && !s.isModel() {
		return false
	}
	if e.order != nil && e.order.state == Stuck {
		return false
	}
	return e.Ready || e.order != nil || !now.Before(e.retryAt)
}

// inService reports whether the operators and the target let it take work.
func (p *Planner) inService(e *engine) bool {
	return !e.Leaving && !p.domainsOut[e.FailureDomain] && !p.targetsOut[e.Name]
}

// current returns the service that the engine serves or is about to serve.
func (e *engine) current() string {
	if e.order != nil {
		return e.order.Service
	}
	if e.mismatched {
		return ""
	}
	return e.Service
}

func (a *assignment) add(e *engine, current int) {
	a.engines = append(a.engines, e)
	a.from = append(a.from, current)
	a.goal = append(a.goal, current)
	a.reason = append(a.reason, "")
	a.fixed = append(a.fixed, false)
	a.tally(e, current, 1)
}

func (a *assignment) tally(e *engine, service, n int) {
	if service == none {
		return
	}
	a.count[service] += n
	a.spread[service][e.FailureDomain] += n
	if a.spread[service][e.FailureDomain] == 0 {
		delete(a.spread[service], e.FailureDomain)
	}
}

// move gives an engine to a service. The most urgent reason stays.
func (a *assignment) move(i, service int, reason Reason) {
	a.tally(a.engines[i], a.goal[i], -1)
	a.goal[i] = service
	a.tally(a.engines[i], service, 1)
	a.reason[i] = reason
}

// shortage returns how many engines the service lacks to its minimum.
func (a *assignment) shortage(service int) int {
	return a.services[service].Placement.Min - a.count[service]
}

// spreadGoal returns in how many failure domains the service can and should be.
func (a *assignment) spreadGoal(service int) int {
	return min(a.services[service].Placement.Spread, a.domains, a.count[service])
}

// keepsSpread reports whether the engine's service meets its spread without it.
func (a *assignment) keepsSpread(i int) bool {
	service := a.goal[i]
	left := len(a.spread[service])
	if a.spread[service][a.engines[i].FailureDomain] == 1 {
		left--
	}
	return left >= min(a.services[service].Placement.Spread, a.domains, a.count[service]-1)
}

// donorClass ranks what taking an engine away costs; the lowest goes first.
type donorClass int

// The classes of donors.
const (
	donorIdle donorClass = iota
	donorLight
	donorSurplus
	donorSpread
	donorNone
)

// donor returns the class of an engine. Only engines above their service's
// minimum are given away.
func (a *assignment) donor(i int) donorClass {
	if a.fixed[i] {
		return donorNone
	}
	service := a.goal[i]
	if service == none {
		return donorIdle
	}
	s := a.services[service]
	switch {
	case a.count[service] <= s.Placement.Min:
		return donorNone
	case !a.keepsSpread(i):
		return donorSpread
	case s.load(a.count[service]-1) > donorLoad:
		return donorSurplus
	}
	return donorLight
}

// candidate is an engine that may be given to a service; its fields are in the
// order of their weight.
type candidate struct {
	engine int
	// oldDomain is 1 when the service needs a new failure domain and this is
	// none.
	oldDomain int
	class     donorClass
	// load is 1 when the engine must load the model.
	load int
	// crowd is the number of the service's engines in the failure domain.
	crowd int
	// cached is the number of chats that lose their cache.
	cached int
}

func (c candidate) less(other candidate) bool {
	return slices.Compare(c.key(), other.key()) < 0
}

func (c candidate) key() []int {
	return []int{c.oldDomain, int(c.class), c.load, c.crowd, c.cached, c.engine}
}

// best returns the engine that costs least to give to the service.
func (a *assignment) best(service int, worst donorClass) (int, bool) {
	s := a.services[service]
	needsDomain := len(a.spread[service]) < min(s.Placement.Spread, a.domains)
	var found candidate
	ok := false
	for i, e := range a.engines {
		class := a.donor(i)
		if a.goal[i] == service || class > worst {
			continue
		}
		c := candidate{engine: i, class: class, crowd: a.spread[service][e.FailureDomain], cached: e.CachedChats}
		if needsDomain && c.crowd > 0 {
			c.oldDomain = 1
		}
		if !s.build().loadedOn(&e.TargetState) {
			c.load = 1
		}
		if !ok || c.less(found) {
			found, ok = c, true
		}
	}
	return found.engine, ok
}

// release returns the engine that the service misses least: in its most crowded
// failure domain, then with the fewest warm chats.
func (a *assignment) release(service int) (int, bool) {
	found, ok := 0, false
	for i, e := range a.engines {
		if a.goal[i] != service || a.fixed[i] {
			continue
		}
		if !ok || a.compareRelease(service, e, a.engines[found]) < 0 {
			found, ok = i, true
		}
	}
	return found, ok
}

func (a *assignment) compareRelease(service int, e, other *engine) int {
	crowd := a.spread[service]
	if crowd[e.FailureDomain] != crowd[other.FailureDomain] {
		return crowd[other.FailureDomain] - crowd[e.FailureDomain]
	}
	return e.CachedChats - other.CachedChats
}
