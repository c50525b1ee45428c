package placement

import (
	"slices"
	"strings"
	"time"

	"comfreytiller.dev/target"
)

// Status is what an operator sees of placement.
type Status struct {
	// Leading says that this planner gives orders, from SendsAfter on.
	Leading    bool
	SendsAfter time.Time
	Services   []ServiceStatus
	Targets    []TargetStatus
	Orders     []OrderStatus
	Handovers  []HandoverStatus
	// StoreBacklog is the number of bytes that loads were started for and that
	// the weight store can't have given yet.
	StoreBacklog int64
	Alarms       []Alarm
}

// ServiceStatus compares a service's wish with what is.
type ServiceStatus struct {
	Name string
	// Min, Max and Spread are the wish.
	Min, Max, Spread int
	// Serving targets take work, Changing ones have an order to serve here, and
	// Stale ones lack the wished build.
	Serving, Changing, Stale int
	// Domains are the failure domains of the serving targets.
	Domains []string
	// Load is the demand as a share of what the serving targets bear.
	Load float64
	// RollStopped says why the roll to a new build has stopped; empty if not.
	RollStopped string
}

// TargetStatus says what a target does and why it waits.
type TargetStatus struct {
	Name          string
	FailureDomain string
	Service       string
	Model         string
	Version       string
	Pin           string
	// WaitReason says why a wished change has not begun; empty for none.
	WaitReason string
}

// OrderStatus is an order in flight.
type OrderStatus struct {
	Order
	State OrderState
	// Since is when the order came into the state.
	Since time.Time
}

// Status returns the wishes, what is, the orders in flight and why things wait,
// as of the last Step.
func (p *Planner) Status(now time.Time) Status {
	p.store.drain(now)
	status := Status{
		Leading:      p.leading,
		SendsAfter:   p.sendAfter,
		StoreBacklog: int64(p.store.backlog),
		Handovers:    p.handover.status(),
		Alarms:       p.alarms.list(),
	}
	for _, s := range p.services {
		status.Services = append(status.Services, p.serviceStatus(s))
	}
	for _, name := range p.names {
		e := p.engines[name]
		if e.Kind == target.KindModel {
			status.Targets = append(status.Targets, p.targetStatus(e))
		}
	}
	for _, o := range p.orders {
		status.Orders = append(status.Orders, OrderStatus{Order: o.Order, State: o.state, Since: o.since})
	}
	return status
}

func (p *Planner) serviceStatus(s *service) ServiceStatus {
	status := ServiceStatus{
		Name: s.Name, Min: s.Placement.Min, Max: s.Placement.Max, Spread: s.Placement.Spread,
	}
	for _, name := range p.names {
		e := p.engines[name]
		if e.order != nil && e.order.Service == s.Name {
			status.Changing++
		}
		if e.Service != s.Name || !p.serves(e) {
			continue
		}
		status.Serving++
		if s.isModel() && !buildOf(&s.Service).loadedOn(&e.TargetState) {
			status.Stale++
		}
		if !slices.Contains(status.Domains, e.FailureDomain) {
			status.Domains = append(status.Domains, e.FailureDomain)
		}
	}
	slices.Sort(status.Domains)
	status.Load = s.load(status.Serving)
	if s.roll.stopped {
		status.RollStopped = s.roll.reason
	}
	return status
}

func (p *Planner) targetStatus(e *engine) TargetStatus {
	return TargetStatus{
		Name: e.Name, FailureDomain: e.FailureDomain, Service: e.Service, Model: e.Model, Version: e.Version,
		Pin: p.pins[e.Name], WaitReason: p.waits[e.Name],
	}
}

// list returns the conditions that hold, in a fixed order.
func (s *alarmSet) list() []Alarm {
	var all []Alarm
	for _, a := range s.active {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b Alarm) int {
		return strings.Compare(string(a.Kind)+a.Service+"\x00"+a.Target, string(b.Kind)+b.Service+"\x00"+b.Target)
	})
	return all
}
