package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// move is a planned change of an engine to a service; a nil service unloads it.
type move struct {
	engine  *engine
	service *service
	reason  Reason
}

// dispatch issues orders for the differences from the computed assignment, most
// urgent first, as far as the minimums and the weight store allow.
func (p *Planner) dispatch(now time.Time) {
	a := p.computeAssignment(now)
	moves := append(p.serviceMoves(now, a), p.rolloutMoves(now, a)...)
	counts := p.servingByService(now)
	changing := p.ordersByService()
	for len(moves) > 0 {
		i := mostUrgent(moves, counts, changing)
		next := moves[i]
		moves = slices.Delete(moves, i, i+1)
		order := p.newOrder(next)
		if reason := p.removalBlockReason(now, next.engine, counts); reason != "" {
			p.waitReasons[next.engine.Name] = reason
			continue
		}
		if order.Kind == LoadModel {
			if reason := p.loadWaitReason(now, &order); reason != "" {
				p.waitReasons[next.engine.Name] = reason
				moves = p.deferLoads(moves, reason)
				continue
			}
		}
		p.issueOrder(now, next, order, counts, changing)
	}
}

// loadWaitReason returns why a load cannot start now, or "" if it can.
func (p *Planner) loadWaitReason(now time.Time, order *Order) string {
	if order.Reason != ReasonMinimum && p.minimumLoadRunning(now) {
		return "a service below its minimum loads first"
	}
	return p.loads.waitReason(now, p.runningLoads(now), order.Bytes)
}

// minimumLoadRunning reports whether a load for a service's minimum is in progress
// that other loads would slow down. A load that has exceeded its maximum load time
// does not block others.
func (p *Planner) minimumLoadRunning(now time.Time) bool {
	return slices.ContainsFunc(p.orders, func(o *pendingOrder) bool {
		return o.holdsSlot(now) && o.Reason == ReasonMinimum && now.Sub(o.RecordedAt) < p.loads.maxLoadTime(o.Bytes)
	})
}

// deferLoads removes the moves that need a load, so that no load overtakes a more
// urgent one that waits for the weight store.
func (p *Planner) deferLoads(moves []move, reason string) []move {
	return slices.DeleteFunc(moves, func(m move) bool {
		if m.service == nil || m.service.build().loadedOn(&m.engine.TargetState) {
			return false
		}
		p.waitReasons[m.engine.Name] = reason
		return true
	})
}

// serviceMoves returns the moves of engines to another service or to none.
func (p *Planner) serviceMoves(now time.Time, a *assignment) []move {
	var moves []move
	for i, e := range a.engines {
		if e.order != nil || !e.lostAt.IsZero() || now.Before(e.retryAt) {
			continue
		}
		switch {
		case a.desired[i] == a.initial[i] && a.desired[i] != none:
		case a.desired[i] != none:
			moves = append(moves, move{engine: e, service: a.services[a.desired[i]], reason: a.reason[i]})
		case e.Service == "" || a.fixed[i]:
		case !p.canUnload:
			p.waitReasons[e.Name] = "no service needs it, and targets take no order to unload"
		default:
			moves = append(moves, move{engine: e, reason: ReasonSurplus})
		}
	}
	return moves
}

// ordersByService counts the orders in progress by the service they are for.
func (p *Planner) ordersByService() map[string]int {
	counts := map[string]int{}
	for _, o := range p.orders {
		if o.TakesOutOfService() && o.state != Stuck {
			counts[o.Service]++
		}
	}
	return counts
}

// mostUrgent returns the index of the next move: by reason, then dependencies first,
// then the service with the smallest share of its minimum serving or changing, then
// the largest demand.
func mostUrgent(moves []move, serving, changing map[string]int) int {
	best := 0
	for i := 1; i < len(moves); i++ {
		if compareMoves(&moves[i], &moves[best], serving, changing) < 0 {
			best = i
		}
	}
	return best
}

func compareMoves(m, other *move, serving, changing map[string]int) int {
	if m.reason != other.reason {
		return cmp.Compare(urgency[m.reason], urgency[other.reason])
	}
	if m.service != other.service && m.service != nil && other.service != nil {
		return compareServices(m.service, other.service, serving, changing)
	}
	if m.engine.CachedChats != other.engine.CachedChats {
		return cmp.Compare(m.engine.CachedChats, other.engine.CachedChats)
	}
	return strings.Compare(m.engine.Name, other.engine.Name)
}

func compareServices(s, t *service, serving, changing map[string]int) int {
	if s.depth != t.depth {
		return cmp.Compare(s.depth, t.depth)
	}
	count, otherCount := serving[s.Name]+changing[s.Name], serving[t.Name]+changing[t.Name]
	share := cmp.Compare(count*max(1, t.Placement.Min), otherCount*max(1, s.Placement.Min))
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
	order.Role = normalizeRole(m.service.role())
	if !b.loadedOn(&m.engine.TargetState) {
		order.Kind = LoadModel
		order.Bytes = p.sizeOf(b)
	}
	return order
}

// issueOrder records an order and updates the counts of serving and changing targets.
func (p *Planner) issueOrder(now time.Time, m move, order Order, counts, changing map[string]int) {
	if p.serves(m.engine) && m.engine.countsAsWarm(now, p.timing.WarmUpTimeout) {
		counts[m.engine.Service]--
	}
	changing[order.Service]++
	if m.reason == ReasonPressure {
		m.service.lastScaledAt = now
		if donor := p.byName[m.engine.Service]; donor != nil {
			donor.lastScaledAt = now
		}
	}
	if order.Kind == LoadModel {
		p.loads.reserve(now, order.Bytes)
	}
	p.logDecision(m, &order, counts)
	p.recordOrder(now, m.engine, order)
}

// recordOrder assigns an ID to the order and asks the host to record it.
func (p *Planner) recordOrder(now time.Time, e *engine, order Order) {
	order.ID = p.nextID()
	order.RecordedAt = now
	o := &pendingOrder{Order: order, state: Recording, since: now, resendInterval: p.timing.ResendInterval}
	p.orders = append(p.orders, o)
	p.linkOrder(e, o)
	p.effects = append(p.effects, RecordOrder{Order: order})
}

func (p *Planner) logDecision(m move, order *Order, counts map[string]int) {
	if m.service == nil {
		p.logf("%s: Unload on %s: %s.", m.engine.Service, order.Target, m.reason)
		return
	}
	p.logf("%s: %s %s %s on %s in failure domain %s: %s, %d of %d targets serving.", order.Service, order.Kind, order.Model, order.Version,
		order.Target, m.engine.FailureDomain, m.reason, counts[order.Service], m.service.Placement.Min)
}
