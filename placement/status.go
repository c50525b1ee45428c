package placement

import (
	"slices"
	"strings"
	"time"

	"comfreytiller.dev/target"
)

// Status is the state of placement as shown to operators.
type Status struct {
	// Leading is set if this planner leads. It sends orders from SendsAfter on.
	Leading    bool
	SendsAfter time.Time
	Services   []ServiceStatus
	Targets    []TargetStatus
	Orders     []OrderStatus
	Handovers  []HandoverStatus
	// StoreBacklog is the number of bytes of started loads that the weight store
	// cannot have delivered yet.
	StoreBacklog int64
	Alarms       []Alarm
}

// ServiceStatus compares a service's configured and actual placement.
type ServiceStatus struct {
	Name string
	// Min, Max and Spread are the configured bounds.
	Min, Max, Spread int
	// Serving is the number of targets that accept work, Changing the number with
	// an order for this service, Stale the number that lack the configured build.
	Serving, Changing, Stale int
	// Domains are the failure domains of the serving targets.
	Domains []string
	// Load is the demand as a share of the serving targets' capacity.
	Load float64
	// RollStopped is why the rollout of a new build has stopped; empty if it has
	// not.
	RollStopped string
}

// TargetStatus is the state of a target and why it is waiting.
type TargetStatus struct {
	Name          string
	FailureDomain string
	Service       string
	Model         string
	Version       string
	Pin           string
	// WaitReason is why a planned change has not started; empty for none.
	WaitReason string
}

// OrderStatus is an order in flight.
type OrderStatus struct {
	Order
	State OrderState
	// Since is when the order entered the state.
	Since time.Time
}

// Status returns the configured and actual placement, the orders in flight and the
// wait reasons as of the last Step.
func (p *Planner) Status(now time.Time) Status {
	p.loads.updateBacklog(now)
	status := Status{
		Leading:      p.leading,
		SendsAfter:   p.sendAfter,
		StoreBacklog: int64(p.loads.backlog),
		Handovers:    p.handover.status(),
		Alarms:       p.alarms.list(),
	}
	for _, s := range p.services {
		status.Services = append(status.Services, p.serviceStatus(s))
	}
	for _, name := range p.targetNames {
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
	for _, name := range p.targetNames {
		e := p.engines[name]
		if e.order != nil && e.order.Service == s.Name {
			status.Changing++
		}
		if e.Service != s.Name || !p.serves(e) {
			continue
		}
		status.Serving++
		if s.isModel() && !configuredBuild(&s.Service).loadedOn(&e.TargetState) {
			status.Stale++
		}
		if !slices.Contains(status.Domains, e.FailureDomain) {
			status.Domains = append(status.Domains, e.FailureDomain)
		}
	}
	slices.Sort(status.Domains)
	status.Load = s.load(status.Serving)
	if s.rollout.stopped {
		status.RollStopped = s.rollout.reason
	}
	return status
}

func (p *Planner) targetStatus(e *engine) TargetStatus {
	return TargetStatus{
		Name: e.Name, FailureDomain: e.FailureDomain, Service: e.Service, Model: e.Model, Version: e.Version,
		Pin: p.pins[e.Name], WaitReason: p.waitReasons[e.Name],
	}
}

// list returns the active conditions in a fixed order.
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
