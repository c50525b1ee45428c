package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target"
)

// targetState is what the owner knows of one target.
type targetState struct {
	name string
	// incarnation is the one that all of the rest is about.
	incarnation  uint64
	announcement target.Announcement
	// announced is the stamp of the newest announcement or leave.
	announced target.Stamp
	// reported is the stamp of the newest load report.
	reported target.Stamp
	known    bool
	left     bool
	// replaced is set when a newer incarnation was heard of that has not
	// announced itself yet.
	replaced bool
	lastSeen time.Time
	// heard is set once the target itself told this owner something.
	heard bool
	// exported is what the last export told, at exportedAt.
	exported   exportable
	exportedAt time.Time
	place      chat.InstanceID
	warmUp     warmUp
	circuit    circuit
	// outside is the work that the target reports beyond what was granted.
	outside int
	// peak is the highest number in flight that a late report may show.
	peak peak
}

// hear notes a message of the target.
func (t *targetState) hear(now time.Time) {
	t.lastSeen = now
	t.heard = true
}

// closed returns why the target takes no new work at all, or route.Open.
func (t *targetState) closed(now time.Time, s *Controller) route.Reason {
	silent := now.Sub(t.lastSeen)
	switch {
	case !t.known:
		return route.Unannounced
	case t.announcement.Service != s.config.Service.Name:
		return route.OtherService
	case t.left:
		return route.Leaving
	case s.config.DomainsOut[t.announcement.FailureDomain]:
		return route.DomainOut
	case s.config.TargetsOut[t.name]:
		return route.TargetOut
	case silent >= s.options.goneAfter:
		return route.Gone
	case t.replaced || silent >= s.options.suspectAfter:
		return route.Suspect
	case t.circuit.closedFor(now):
		return route.CircuitOpen
	}
	return route.Open
}

// nextChange returns the next time at which closed may change by itself.
func (t *targetState) nextChange(now time.Time, s *Controller) time.Time {
	next := t.lastSeen.Add(s.options.suspectAfter)
	if !next.After(now) {
		next = t.lastSeen.Add(s.options.goneAfter)
	}
	if !next.After(now) {
		next = t.lastSeen.Add(DefaultForgetAfter)
	}
	if !next.After(now) {
		next = now.Add(s.options.goneAfter)
	}
	if t.circuit.open && t.circuit.openTill.After(now) && t.circuit.openTill.Before(next) {
		return t.circuit.openTill
	}
	return next
}

// full returns the largest number in flight when warm.
func (t *targetState) full(s *Controller) int {
	full := s.config.Service.Limits.InFlightPerTarget
	if capacity := t.announcement.Capacity; capacity > 0 && (full <= 0 || capacity < full) {
		full = capacity
	}
	if full <= 0 {
		return unlimited
	}
	return full
}

// unlimited stands for no limit of a target's own.
const unlimited = 1 << 20

// limit returns the largest number in flight now. Work from outside the fleet
// takes from it.
func (t *targetState) limit(s *Controller) (limit int, warming bool) {
	full := t.full(s)
	limit = t.warmUp.limit(s.config.Service.WarmUp, full)
	warming = limit < full
	return max(limit-t.outside, 0), warming
}

// lagWindow is how old a load report may be.
const lagWindow = 5 * time.Second

// peak is the highest value in the present and the last window of time.
type peak struct {
	start   time.Time
	current int
	before  int
}

func (p *peak) note(now time.Time, value int) {
	if elapsed := now.Sub(p.start); elapsed >= lagWindow {
		p.before = p.current
		if elapsed >= 2*lagWindow {
			p.before = value
		}
		p.current = value
		p.start = now
	}
	p.current = max(p.current, value)
}

func (p *peak) highest() int {
	return max(p.current, p.before)
}
