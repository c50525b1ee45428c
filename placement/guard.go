package placement

import (
	"fmt"
	"time"
)

// warm reports whether a ready engine counts for its service's minimum.
func (e *engine) warm(now time.Time, grace time.Duration) bool {
	return e.Ready && (!e.Cold || now.Sub(e.readySince) >= grace)
}

// serves reports whether the target takes work for its service now: nobody took
// it out, it is not missing, shows what it was told, and has no order that takes
// it out.
func (p *Planner) serves(e *engine) bool {
	return e.Ready && !e.mismatched && e.lostAt.IsZero() && p.inService(e) && (e.order == nil || !e.order.TakesOutOfService())
}

// serving returns the number of warm targets that serve each service.
func (p *Planner) serving(now time.Time) map[string]int {
	counts := map[string]int{}
	for _, name := range p.names {
		e := p.engines[name]
		if e.Service != "" && p.serves(e) && e.warm(now, p.times.WarmUpTimeout) {
			counts[e.Service]++
		}
	}
	return counts
}

// guard returns why the engine can't be taken out of service; empty if it can.
// counts does not hold the engine any more when it has its order already.
func (p *Planner) guard(now time.Time, e *engine, counts map[string]int) string {
	s := p.byName[e.Service]
	if s == nil || !e.Ready || e.mismatched || !p.inService(e) || !e.lostAt.IsZero() {
		return ""
	}
	left := counts[e.Service]
	if p.serves(e) && e.warm(now, p.times.WarmUpTimeout) {
		left--
	}
	if left >= s.Placement.Min {
		return ""
	}
	return fmt.Sprintf("%s would have %d of %d targets", s.Name, max(0, left), s.Placement.Min)
}

// checkServices raises the alarms of services below their minimum.
func (p *Planner) checkServices() {
	ready := map[string]int{}
	for _, name := range p.names {
		e := p.engines[name]
		if p.serves(e) {
			ready[e.Service]++
		}
	}
	for _, s := range p.services {
		if ready[s.Name] < s.Placement.Min {
			text := fmt.Sprintf("%s has %d of %d targets", s.Name, ready[s.Name], s.Placement.Min)
			p.alarms.raise(Alarm{Kind: AlarmBelowMinimum, Service: s.Name, Message: text})
		}
		if s.roll.stopped {
			p.alarms.raise(Alarm{Kind: AlarmRollStopped, Service: s.Name, Message: s.roll.reason})
		}
	}
}
