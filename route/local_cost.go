package route

import (
	"math"
	"time"
)

// costModel holds what the costs of the targets in one decision depend on.
type costModel struct {
	targets []LocalTarget
	costs   *LocalCosts
	order   rendezvousOrder
	// source is the target from which others can get the cached prompt, or None.
	source int
	tokens int
	// farCost is the cost of the prompt on a target that has cached nothing and gets the
	// cached prompt from source; 0 if there is none.
	farCost   time.Duration
	low, high float64
	uneven    unevenness
	// takesRest excludes targets whose slots are all in use.
	takesRest bool
	// work is the duration of the request on a target at the usual speed, in ns; 0 leaves it
	// out.
	work float64
	// random chooses the cost of up to noise that is added to each target.
	random uint64
	noise  time.Duration
}

// newCostModel returns the costs for one decision. noise is the largest random cost that is
// added to each target.
func newCostModel(targets []LocalTarget, tokens int, order *rendezvousOrder, uneven unevenness, random uint64, noise time.Duration, costs *LocalCosts) costModel {
	m := costModel{targets: targets, costs: costs, order: *order, source: order.source(targets), tokens: tokens, uneven: uneven, random: random, noise: noise}
	if m.source != None {
		m.farCost = m.promptCost(None, 0, 1)
	}
	return m
}

// cheapest returns the target with the lowest cost, the first of equal ones; None if no
// target can take the request.
func (m *costModel) cheapest() int {
	at, best := None, time.Duration(math.MaxInt64)
	// The home is usually the cheapest target. Then the costs of the others need not be
	// worked out to the end.
	if m.order.home != None {
		if cost, isCandidate := m.cost(m.order.home, best); isCandidate {
			at, best = m.order.home, cost
		}
	}
	inFlight, isEven := float64(m.costs.InFlight), m.uneven.scale == 0
	for i := range m.targets {
		target := &m.targets[i]
		switch {
		case i == m.order.home, target.CachedTokens == 0 && m.farCost > best && i != m.source:
			continue
		case isEven && time.Duration(target.InFlight*inFlight) > best:
			continue
		}
		if cost, isCandidate := m.cost(i, best); isCandidate && (at == None || cost < best || i < at) {
			at, best = i, cost
		}
	}
	return at
}

// cost returns the cost of a target. isCandidate is not set if the target can't take the
// request or costs more than limit.
func (m *costModel) cost(i int, limit time.Duration) (cost time.Duration, isCandidate bool) {
	target := &m.targets[i]
	if target.Availability != Available || target.AtCapacity || m.takesRest && target.SlotsInUse {
		return 0, false
	}
	slowdown, load := 1.0, target.InFlight
	if m.uneven.scale != 0 {
		slowdown, load = m.uneven.inChoice(target, i == m.order.home)
	}
	cost = time.Duration(target.InFlight*float64(m.costs.InFlight)*slowdown + m.work*slowdown)
	if cost > limit {
		return 0, false
	}
	if m.noise > 0 {
		cost += time.Duration(uniform(Score(m.random, target.Key)) * float64(m.noise))
	}
	if m.tokens > 0 {
		cost += m.promptCost(i, target.CachedTokens, slowdown)
	}
	cost += m.loadCost(target, slowdown, load)
	return cost, cost <= limit
}

// promptCost returns the time to prefill or transfer the part of a prompt that the
// target has not cached.
func (m *costModel) promptCost(i, cached int, slowdown float64) time.Duration {
	isSource := m.source == None || m.source == i
	if i == m.order.home && isSource {
		cached = m.tokens
	}
	missing := time.Duration(m.tokens - min(cached, m.tokens))
	cost := missing * m.costs.TransferToken
	if isSource {
		cost = time.Duration(float64(missing*m.costs.PrefillToken) * slowdown)
	}
	if m.order.home != None && i != m.order.home {
		// The next request with this prompt goes to the home again.
		cost += missing * m.costs.TransferToken / 2
	}
	return cost
}

// loadCost returns the delay that a request is expected to suffer from other requests
// on the target, apart from the cost of those in flight. load is the number in flight that
// is compared with the bounds.
func (m *costModel) loadCost(target *LocalTarget, slowdown, load float64) time.Duration {
	cost := time.Duration(target.Queued*float64(m.costs.Queued)*slowdown) +
		time.Duration(target.FailureRate*float64(m.costs.FailureRate))
	if target.Slots > 0 && target.InFlight >= float64(target.Slots) {
		queued := target.InFlight - float64(target.Slots) + 1
		cost += time.Duration(queued * float64(m.costs.Queued) * slowdown)
	}
	if excess := load + 1 - m.low; excess > 0 {
		cost += time.Duration(min(excess/(m.high-m.low), maxOverload) * float64(m.costs.Overload))
	}
	if !target.SameDomain {
		cost += m.costs.CrossDomain
	}
	if target.Unhealthy {
		cost += m.costs.Unhealthy
	}
	return cost
}
