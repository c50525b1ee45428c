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
	// avoidsFull excludes targets that are full.
	avoidsFull bool
	// keepsBound excludes targets beyond the high bound.
	keepsBound bool
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

// hasRoom reports whether a target can take the request.
func (m *costModel) hasRoom(target *LocalTarget) bool {
	return target.Availability == Available && !target.AtCapacity && (!m.takesRest || !target.SlotsInUse) && (!m.avoidsFull || !target.Full)
}

// hasTargetWithRoom reports whether a healthy target can take a request without queueing or
// preempting it.
func hasTargetWithRoom(targets []LocalTarget) bool {
	for i := range targets {
		if target := &targets[i]; target.Availability == Available && !target.AtCapacity && !target.Unhealthy && !target.Full {
			return true
		}
	}
	return false
}

// keepBound excludes the targets beyond the high bound if a healthy one below it can take
// the request. Otherwise figures that are false would make the cost of the others higher
// than that of an overload.
func (m *costModel) keepBound() {
	for i := range m.targets {
		if target := &m.targets[i]; m.hasRoom(target) && !target.Unhealthy && target.InFlight+1 <= m.high {
			m.keepsBound = true
			return
		}
	}
}

// cheapest returns the target with the lowest cost, the first of equal ones; None if no
// target can take the request.
func (m *costModel) cheapest() int {
	at, best := None, time.Duration(math.MaxInt64)
	// The home is usually the cheapest target. Then the costs of the others need not be
	// worked out to the end.
	if home := m.order.home; home != None {
		target := &m.targets[home]
		if cost, isCandidate := m.cost(home, m.uneven.homeSlowdown(target), m.uneven.homeLoad(target), best); isCandidate {
			at, best = home, cost
		}
	}
	inFlight, isEven := float64(m.costs.InFlight), m.uneven.scale == 0
	for i := range m.targets {
		target := &m.targets[i]
		if i == m.order.home || m.farCost > best && target.CachedTokens == 0 && i != m.source {
			continue
		}
		slowdown, load := 1.0, target.InFlight
		if !isEven {
			if slowdown = m.uneven.relative(target); slowdown > 1 {
				load *= slowdown
			}
		}
		if time.Duration(target.InFlight*inFlight*slowdown) > best {
			continue
		}
		if cost, isCandidate := m.cost(i, slowdown, load, best); isCandidate && (at == None || cost < best || i < at) {
			at, best = i, cost
		}
	}
	return at
}

// cost returns the cost of a target with the given slowdown, whose load is compared with the
// bounds. isCandidate is not set if the target can't take the request or costs more than
// limit.
func (m *costModel) cost(i int, slowdown, load float64, limit time.Duration) (cost time.Duration, isCandidate bool) {
	target := &m.targets[i]
	if !m.hasRoom(target) || m.keepsBound && target.InFlight+1 > m.high {
		return 0, false
	}
	cost = time.Duration(target.InFlight*float64(m.costs.InFlight)*slowdown + m.work*slowdown)
	if m.noise > 0 {
		cost += time.Duration(uniform(Score(m.random, target.Key)) * float64(m.noise))
	}
	if cost > limit {
		return 0, false
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
