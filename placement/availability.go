package placement

import (
	"fmt"
	"time"
)

// countsAsWarm reports whether the engine counts toward its service's minimum: it is
// ready, and warm or ready for at least the warm-up timeout.
func (e *engine) countsAsWarm(now time.Time, timeout time.Duration) bool {
	return e.Ready && (!e.Cold || now.Sub(e.readySince) >= timeout)
}

// serves reports whether the target accepts work for its service: it is ready, in
// service and not missing, reports what was ordered, and has no order that takes it
// out of service.
func (p *Planner) serves(e *engine) bool {
	return e.Ready && !e.mismatched && e.lostAt.IsZero() && p.inService(e) && (e.order == nil || !e.order.TakesOutOfService())
}

// servingByService returns the number of warm targets that serve each service.
func (p *Planner) servingByService(now time.Time) map[string]int {
	counts := map[string]int{}
	for _, name := range p.targetNames {
		e := p.engines[name]
		if e.Service != "" && p.serves(e) && e.countsAsWarm(now, p.timing.WarmUpTimeout) {
			counts[e.Service]++
		}
	}
	return counts
}

// removalBlockReason returns why the engine cannot be taken out of service, or "" if
// it can. An engine that already has its order is not included in counts.
func (p *Planner) removalBlockReason(now time.Time, e *engine, counts map[string]int) string {
	s := p.byName[e.Service]
	if s == nil || !e.Ready || e.mismatched || !p.inService(e) || !e.lostAt.IsZero() {
		return ""
	}
	remaining := counts[e.Service]
	if p.serves(e) && e.countsAsWarm(now, p.timing.WarmUpTimeout) {
		remaining--
	}
	if remaining >= s.Placement.Min {
		return ""
	}
	return fmt.Sprintf("%s would have %d of %d targets", s.Name, max(0, remaining), s.Placement.Min)
}

// raiseServiceAlarms raises alarms for services below their minimum and for stopped
// rollouts.
func (p *Planner) raiseServiceAlarms() {
	ready := map[string]int{}
	for _, name := range p.targetNames {
		e := p.engines[name]
		if p.serves(e) {
			ready[e.Service]++
		}
	}
	for _, s := range p.services {
		if ready[s.Name] < s.Placement.Min {
			message := fmt.Sprintf("%s has %d of %d targets", s.Name, ready[s.Name], s.Placement.Min)
			p.alarms.raise(Alarm{Kind: AlarmBelowMinimum, Service: s.Name, Message: message})
		}
		if s.rollout.stopped {
			p.alarms.raise(Alarm{Kind: AlarmRollStopped, Service: s.Name, Message: s.rollout.reason})
		}
	}
}
