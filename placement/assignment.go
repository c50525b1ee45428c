package placement

import (
	"slices"
	"time"

	"comfreytiller.dev/target"
)

// none is the service index of engines without a service.
const none = -1

// assignment maps each engine to the service it should serve. It starts from what
// the engines serve now and changes as little as the configuration requires.
type assignment struct {
	services []*service
	engines  []*engine
	// initial is the service that an engine serves or has an order for, desired
	// the one it should serve. Both are indexes of services.
	initial, desired []int
	reason           []Reason
	// fixed engines are not reassigned: they are pinned, have an order, are
	// missing or are in backoff after a failed order.
	fixed []bool
	// count is the number of engines per service, domainCounts the number per
	// service and failure domain, domains the number of failure domains
	count        []int
	domainCounts []map[string]int
	domains      int
}

// newAssignment returns the current assignment of all engines that can serve.
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
	a.domainCounts = make([]map[string]int, len(a.services))
	for i := range a.domainCounts {
		a.domainCounts[i] = map[string]int{}
	}
	domains := map[string]bool{}
	for _, name := range p.targetNames {
		e := p.engines[name]
		if !p.assignable(now, e) {
			continue
		}
		domains[e.FailureDomain] = true
		current, ok := index[e.assignedService()]
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

// assignable reports whether an engine can serve: it is a model engine, in service,
// not lost and not stuck.
func (p *Planner) assignable(now time.Time, e *engine) bool {
	if e.Kind != target.KindModel || !p.inService(e) || e.lost(now, p.timing.LossGrace) {
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

// inService reports whether the target may take work: it is not leaving, and
// neither the target nor its failure domain has been taken out by an operator.
func (p *Planner) inService(e *engine) bool {
	return !e.Leaving && !p.domainsOut[e.FailureDomain] && !p.targetsOut[e.Name]
}

// assignedService returns the service that the engine serves or has an order for.
func (e *engine) assignedService() string {
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
	a.initial = append(a.initial, current)
	a.desired = append(a.desired, current)
	a.reason = append(a.reason, "")
	a.fixed = append(a.fixed, false)
	a.addCount(e, current, 1)
}

func (a *assignment) addCount(e *engine, service, delta int) {
	if service == none {
		return
	}
	a.count[service] += delta
	a.domainCounts[service][e.FailureDomain] += delta
	if a.domainCounts[service][e.FailureDomain] == 0 {
		delete(a.domainCounts[service], e.FailureDomain)
	}
}

// move assigns an engine to a service.
func (a *assignment) move(i, service int, reason Reason) {
	a.addCount(a.engines[i], a.desired[i], -1)
	a.desired[i] = service
	a.addCount(a.engines[i], service, 1)
	a.reason[i] = reason
}

// shortage returns how many engines the service needs to reach its minimum. It is
// negative above the minimum.
func (a *assignment) shortage(service int) int {
	return a.services[service].Placement.Min - a.count[service]
}

// requiredSpread returns the number of failure domains that the service should use,
// as far as there are enough domains and engines.
func (a *assignment) requiredSpread(service int) int {
	return min(a.services[service].Placement.Spread, a.domains, a.count[service])
}

// keepsSpread reports whether the engine's service meets its spread without it.
func (a *assignment) keepsSpread(i int) bool {
	service := a.desired[i]
	remaining := len(a.domainCounts[service])
	if a.domainCounts[service][a.engines[i].FailureDomain] == 1 {
		remaining--
	}
	return remaining >= min(a.services[service].Placement.Spread, a.domains, a.count[service]-1)
}

// donorClass ranks the cost of taking an engine away from its service; the lowest
// is taken first.
type donorClass int

// The donor classes. A donorSurplus engine leaves its service above maxDonorLoad, a
// donorSpread engine leaves it below its spread, and a donorNone engine must stay.
const (
	donorIdle donorClass = iota
	donorLowLoad
	donorSurplus
	donorSpread
	donorNone
)

// classifyDonor returns the donor class of an engine. Only engines above their
// service's minimum can be reassigned.
func (a *assignment) classifyDonor(i int) donorClass {
	if a.fixed[i] {
		return donorNone
	}
	service := a.desired[i]
	if service == none {
		return donorIdle
	}
	s := a.services[service]
	switch {
	case a.count[service] <= s.Placement.Min:
		return donorNone
	case !a.keepsSpread(i):
		return donorSpread
	case s.load(a.count[service]-1) > maxDonorLoad:
		return donorSurplus
	}
	return donorLowLoad
}

// candidate is an engine that may be assigned to a service. Candidates are compared
// field by field in the order of sortKey.
type candidate struct {
	engine int
	// noNewDomain is 1 if the service needs another failure domain and the engine
	// is in one that it already uses.
	noNewDomain int
	class       donorClass
	// needsLoad is 1 if the engine must load the model.
	needsLoad int
	// sameDomain is the number of the service's engines in the failure domain.
	sameDomain int
	// cached is the number of chats that would lose their cache.
	cached int
}

func (c candidate) less(other candidate) bool {
	return slices.Compare(c.sortKey(), other.sortKey()) < 0
}

func (c candidate) sortKey() []int {
	return []int{c.noNewDomain, int(c.class), c.needsLoad, c.sameDomain, c.cached, c.engine}
}

// bestDonor returns the engine that is cheapest to assign to the service, up to the
// given donor class.
func (a *assignment) bestDonor(service int, maxClass donorClass) (int, bool) {
	s := a.services[service]
	needsDomain := len(a.domainCounts[service]) < min(s.Placement.Spread, a.domains)
	var found candidate
	ok := false
	for i, e := range a.engines {
		class := a.classifyDonor(i)
		if a.desired[i] == service || class > maxClass {
			continue
		}
		c := candidate{engine: i, class: class, sameDomain: a.domainCounts[service][e.FailureDomain], cached: e.CachedChats}
		if needsDomain && c.sameDomain > 0 {
			c.noNewDomain = 1
		}
		if !s.build().loadedOn(&e.TargetState) {
			c.needsLoad = 1
		}
		if !ok || c.less(found) {
			found, ok = c, true
		}
	}
	return found.engine, ok
}

// bestRelease returns the engine that is cheapest to take from the service: one in
// the failure domain with the most engines, then the one with the fewest warm chats.
func (a *assignment) bestRelease(service int) (int, bool) {
	found, ok := 0, false
	for i, e := range a.engines {
		if a.desired[i] != service || a.fixed[i] {
			continue
		}
		if !ok || a.compareRelease(service, e, a.engines[found]) < 0 {
			found, ok = i, true
		}
	}
	return found, ok
}

func (a *assignment) compareRelease(service int, e, other *engine) int {
	counts := a.domainCounts[service]
	if counts[e.FailureDomain] != counts[other.FailureDomain] {
		return counts[other.FailureDomain] - counts[e.FailureDomain]
	}
	return e.CachedChats - other.CachedChats
}
