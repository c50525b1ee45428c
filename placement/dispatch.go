package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// move is an engine that is to serve a service; none to serve nothing.
type move struct {
	engine  *engine
	service *service
	reason  Reason
}

// dispatch gives orders for what differs from the goal, most urgent first, as
// far as the minimums and the weight store allow.
func (p *Planner) dispatch(now time.Time) {
	a := p.decide(now)
	moves := append(p.changes(now, a), p.rollMoves(now, a)...)
	counts := p.serving(now)
	loading := p.loading()
	for len(moves) > 0 {
		i := mostUrgent(moves, counts, loading)
		next := moves[i]
		moves = slices.Delete(moves, i, i+1)
		order := p.newOrder(next)
		if wait := p.guard(now, next.engine, counts); wait != "" {
			p.waits[next.engine.Name] = wait
			continue
		}
		if order.Kind == LoadModel {
			if wait := p.loadRefusal(now, &order); wait != "" {
				p.waits[next.engine.Name] = wait
				moves = p.dropLoads(moves, wait)
				continue
			}
		}
		p.give(now, next, order, counts, loading)
	}
}

// loadRefusal returns why a load can't start now; empty if it can.
func (p *Planner) loadRefusal(now time.Time, order *Order) string {
	if order.Reason != ReasonMinimum && p.minimumLoading(now) {
		return "a service below its minimum loads first"
	}
	return p.store.refusal(now, p.runningLoads(now), order.Bytes)
}

// minimumLoading reports whether a load for a service's minimum is under way that
// others would slow down. One that takes longer than its share of the store
// explains does not hold up the rest.
func (p *Planner) minimumLoading(now time.Time) bool {
	return slices.ContainsFunc(p.orders, func(o *pending) bool {
		return o.holdsSlot(now) && o.Reason == ReasonMinimum && now.Sub(o.RecordedAt) < p.store.expected(o.Bytes)
	})
}

// dropLoads leaves only the moves that load nothing: no load goes before a more
// urgent one that waits for the weight store.
func (p *Planner) dropLoads(moves []move, wait string) []move {
	return slices.DeleteFunc(moves, func(m move) bool {
		if m.service == nil || m.service.build().loadedOn(&m.engine.TargetState) {
			return false
		}
		p.waits[m.engine.Name] = wait
		return true
	})
}

// changes returns the engines whose service is to change.
func (p *Planner) changes(now time.Time, a *assignment) []move {
	var moves []move
	for i, e := range a.engines {
		if e.order != nil || !e.lostAt.IsZero() || now.Before(e.retryAt) {
			continue
		}
		switch {
		case a.goal[i] == a.from[i] && a.goal[i] != none:
		case a.goal[i] != none:
			moves = append(moves, move{engine: e, service: a.services[a.goal[i]], reason: a.reason[i]})
		case e.Service == "" || a.fixed[i]:
		case !p.unloads:
			p.waits[e.Name] = "no service needs it, and targets take no order to unload"
		default:
			moves = append(moves, move{engine: e, reason: ReasonSurplus})
		}
	}
	return moves
}

// loading counts the engines that have an order for each service.
func (p *Planner) loading() map[string]int {
	counts := map[string]int{}
	for _, o := range p.orders {
		if o.TakesOutOfService() && o.state != Stuck {
			counts[o.Service]++
		}
	}
	return counts
}

// mostUrgent returns the index of the move to make next: by reason, then
// dependencies first, then the service with the smallest share of its minimum
// served or loading, then the largest demand.
func mostUrgent(moves []move, serving, loading map[string]int) int {
	best := 0
	for i := 1; i < len(moves); i++ {
		if compareMoves(&moves[i], &moves[best], serving, loading) < 0 {
			best = i
		}
	}
	return best
}

func compareMoves(m, other *move, serving, loading map[string]int) int {
	if m.reason != other.reason {
		return cmp.Compare(urgency[m.reason], urgency[other.reason])
	}
	if m.service != other.service && m.service != nil && other.service != nil {
		return compareNeed(m.service, other.service, serving, loading)
	}
	if m.engine.CachedChats != other.engine.CachedChats {
		return cmp.Compare(m.engine.CachedChats, other.engine.CachedChats)
	}
	return strings.Compare(m.engine.Name, other.engine.Name)
}

func compareNeed(s, t *service, serving, loading map[string]int) int {
	if s.depth != t.depth {
		return cmp.Compare(s.depth, t.depth)
	}
	have, otherHave := serving[s.Name]+loading[s.Name], serving[t.Name]+loading[t.Name]
	share := cmp.Compare(have*max(1, t.Placement.Min), otherHave*max(1, s.Placement.Min))
	if share != 0 {
		return share
	}
	if s.demand != t.demand {
		return cmp.Compare(t.demand, s.demand)
	}
	return strings.Compare(s.Name, t.Name)
}

// newOrder returns the order for a move, without an ID.
func (p *Planner) newOrder(m move) Order {
	order := Order{
		Fence:       p.fence,
		Target:      m.engine.Name,
		Incarnation: m.engine.Incarnation,
		Kind:        Unload,
		Reason:      m.reason,
	}
	if m.service == nil {
		return order
	}
	b := m.service.build()
	order.Kind = ChangeRole
	order.Service = m.service.Name
	order.Model, order.Version, order.Adapters = b.model, b.version, b.adapters
	order.Role = roleOf(m.service.role())
	if !b.loadedOn(&m.engine.TargetState) {
		order.Kind = LoadModel
		order.Bytes = p.sizeOf(b)
	}
	return order
}

// give records the order and counts its target out.
func (p *Planner) give(now time.Time, m move, order Order, counts, loading map[string]int) {
	if p.serves(m.engine) && m.engine.warm(now, p.times.WarmUpTimeout) {
		counts[m.engine.Service]--
	}
	loading[order.Service]++
	if m.reason == ReasonPressure {
		m.service.movedAt = now
		if from := p.byName[m.engine.Service]; from != nil {
			from.movedAt = now
		}
	}
	if order.Kind == LoadModel {
		p.store.start(now, order.Bytes)
	}
	p.logDecision(m, &order, counts)
	p.record(now, m.engine, order)
}

// record starts an order's way.
func (p *Planner) record(now time.Time, e *engine, order Order) {
	order.ID = p.nextID()
	order.RecordedAt = now
	o := &pending{Order: order, state: Recording, since: now, pause: p.times.ResendInterval}
	p.orders = append(p.orders, o)
	p.attach(e, o)
	p.effects = append(p.effects, RecordOrder{Order: order})
}

func (p *Planner) logDecision(m move, order *Order, counts map[string]int) {
	if m.service == nil {
		p.logf("unload %s from %s: %s.", m.engine.Service, order.Target, m.reason)
		return
	}
	p.logf("%s: %s %s %s on %s in %s: %s, %d of %d serving.", order.Service, order.Kind, order.Model, order.Version,
		order.Target, m.engine.FailureDomain, m.reason, counts[order.Service], m.service.Placement.Min)
}
