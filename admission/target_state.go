package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target"
)

// targetState is what the owner knows about one target.
type targetState struct {
	name string
	// incarnation is the incarnation that the other fields describe.
	incarnation  uint64
	announcement target.Announcement
	// membershipStamp is the stamp of the newest announcement or leave.
	membershipStamp target.Stamp
	// loadReportStamp is the stamp of the newest load report.
	loadReportStamp target.Stamp
	known           bool
	left            bool
	// superseded is set when a message of a newer incarnation has arrived, but not yet
	// its announcement.
	superseded bool
	lastSeen   time.Time
	// seenDirectly is set once this owner has received a message from the target
	// itself.
	seenDirectly bool
	// lastExport holds the fields of the last export, made at lastExportAt.
	lastExport   exportedFields
	lastExportAt time.Time
	instance     chat.InstanceID
	warmUp       warmUp
	circuit      circuit
	// externalLoad is the number of requests that the target reports beyond the
	// permits granted.
	externalLoad int
	// peakInFlight is the highest number in flight that a delayed report may show.
	peakInFlight windowedMax
}

// markSeen records that a message from the target has arrived.
func (t *targetState) markSeen(now time.Time) {
	t.lastSeen = now
	t.seenDirectly = true
}

// availability returns why the target takes no new requests, or route.Open.
func (t *targetState) availability(now time.Time, c *Controller) route.Reason {
	silentFor := now.Sub(t.lastSeen)
	switch {
	case !t.known:
		return route.Unannounced
	case t.announcement.Service != c.config.Service.Name:
		return route.OtherService
	case t.left:
		return route.Leaving
	case c.config.DomainsOut[t.announcement.FailureDomain]:
		return route.DomainOut
	case c.config.TargetsOut[t.name]:
		return route.TargetOut
	case silentFor >= c.options.goneAfter:
		return route.Gone
	case t.superseded || silentFor >= c.options.suspectAfter:
		return route.Suspect
	case t.circuit.blocks(now):
		return route.CircuitOpen
	}
	return route.Open
}

// nextAvailabilityChange returns the earliest time at which availability may change
// without a message.
func (t *targetState) nextAvailabilityChange(now time.Time, c *Controller) time.Time {
	next := t.lastSeen.Add(c.options.suspectAfter)
	if !next.After(now) {
		next = t.lastSeen.Add(c.options.goneAfter)
	}
	if !next.After(now) {
		next = t.lastSeen.Add(DefaultForgetAfter)
	}
	if !next.After(now) {
		next = now.Add(c.options.goneAfter)
	}
	if t.circuit.open && t.circuit.openUntil.After(now) && t.circuit.openUntil.Before(next) {
		return t.circuit.openUntil
	}
	return next
}

// warmLimit returns the largest number in flight when the target is warm.
func (t *targetState) warmLimit(c *Controller) int {
	limit := c.config.Service.Limits.InFlightPerTarget
	if capacity := t.announcement.Capacity; capacity > 0 && (limit <= 0 || capacity < limit) {
		limit = capacity
	}
	if limit <= 0 {
		return unlimited
	}
	return limit
}

// unlimited is the limit of a target without a limit of its own.
const unlimited = 1 << 20

// currentLimit returns the largest number in flight now. Requests from outside the
// fleet reduce it.
func (t *targetState) currentLimit(c *Controller) (limit int, warming bool) {
	warmLimit := t.warmLimit(c)
	limit = t.warmUp.limit(c.config.Service.WarmUp, warmLimit)
	warming = limit < warmLimit
	return max(limit-t.externalLoad, 0), warming
}

// maxReportAge is the maximum age of a load report on arrival.
const maxReportAge = 5 * time.Second

// windowedMax tracks the maximum of a value over the current and the previous window.
type windowedMax struct {
	start    time.Time
	current  int
	previous int
}

func (w *windowedMax) observe(now time.Time, value int) {
	if elapsed := now.Sub(w.start); elapsed >= maxReportAge {
		w.previous = w.current
		if elapsed >= 2*maxReportAge {
			w.previous = value
		}
		w.current = value
		w.start = now
	}
	w.current = max(w.current, value)
}

func (w *windowedMax) max() int {
	return max(w.current, w.previous)
}
