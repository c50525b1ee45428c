package placement

import (
	"fmt"
	"slices"
	"time"
)

// OrderRecorded reports that the log holds the order. fencingToken is the token from
// the log, which increases with each recorded order; 0 keeps the leader's.
func (p *Planner) OrderRecorded(now time.Time, id string, fencingToken uint64) {
	if o := p.findOrder(id); o != nil && o.state == Recording {
		o.FencingToken = max(o.FencingToken, fencingToken)
		o.setState(now, Draining)
	}
}

// OrderNotRecorded reports that the log rejected the order. The target is retried
// with another order after a backoff.
func (p *Planner) OrderNotRecorded(now time.Time, id string) {
	o := p.findOrder(id)
	if o == nil || o.state != Recording {
		return
	}
	p.targets[o.Target].retryAt = now.Add(p.timing.RetryBackoff)
	p.closeOrder(now, o, OutcomeCancelled, "the log rejected the order")
}

// OrderReplied processes a target's reply. Replies to orders that have ended or that
// belong to another target or incarnation are ignored.
func (p *Planner) OrderReplied(now time.Time, reply OrderReply) {
	o := p.findOrder(reply.ID)
	if o == nil || o.Target != reply.Target || o.Incarnation != reply.Incarnation || o.SentAt.IsZero() {
		return
	}
	switch reply.Result {
	case Accepted:
		if o.state == Sent {
			o.setState(now, Running)
		}
	case Done:
		if o.state != Confirming {
			o.setState(now, Confirming)
		}
	case Failed:
		p.failOrder(now, o, OutcomeFailed, Alarm{Kind: AlarmOrderFailed, Message: reply.Reason})
	case Refused:
		p.handleRefusal(now, o)
	}
}

// handleRefusal ends an order that the target has refused, unless an earlier send
// may have succeeded. In that case, the outcome is known only from the target's
// report.
func (p *Planner) handleRefusal(now time.Time, o *pendingOrder) {
	alarm := Alarm{
		Kind: AlarmOldFencingToken, Service: o.Service, Target: o.Target,
		Message: fmt.Sprintf("it has seen a higher fencing number than %d", o.FencingToken),
	}
	if o.adopted || o.sendCount > 1 {
		p.alarms.raise(alarm)
		return
	}
	p.failOrder(now, o, OutcomeFailed, alarm)
}

func (p *Planner) findOrder(id string) *pendingOrder {
	for _, o := range p.orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

func (o *pendingOrder) setState(now time.Time, state OrderState) {
	o.state = state
	o.since = now
}

// advanceOrders updates every order for the current time and its target's report.
func (p *Planner) advanceOrders(now time.Time) {
	for _, o := range slices.Clone(p.orders) {
		e := p.targets[o.Target]
		switch {
		case !o.TakesOutOfService():
			p.advanceCacheOrder(now, o, e)
		case e.Incarnation > o.Incarnation:
			p.closeOrder(now, o, OutcomeRestarted, "the target restarted")
		case !e.present(p.observedAt):
			p.advanceMissing(now, o, e)
		case o.wasSent() && o.isFulfilledBy(&e.TargetState) && (e.Ready || o.Kind == Unload):
			p.closeOrder(now, o, OutcomeDone, "the target reports the ordered state")
		default:
			p.advanceOrder(now, o, e)
		}
	}
}

// wasSent reports whether the target may have received the order.
func (o *pendingOrder) wasSent() bool {
	return o.adopted || !o.SentAt.IsZero()
}

// advanceMissing ends an order whose target is missing. An order that was sent ends
// only after its maximum load time, when the target can no longer be loading from
// the weight store.
func (p *Planner) advanceMissing(now time.Time, o *pendingOrder, e *managedTarget) {
	if !e.lost(now, p.timing.LossGrace) {
		return
	}
	if !o.wasSent() {
		p.closeOrder(now, o, OutcomeCancelled, "the target is missing")
		return
	}
	if now.Sub(o.since) >= p.loads.maxLoadTime(o.Bytes) {
		p.closeOrder(now, o, OutcomeGone, "the target is missing")
	}
}

func (p *Planner) advanceOrder(now time.Time, o *pendingOrder, e *managedTarget) {
	switch o.state {
	case Draining:
		p.advanceDraining(now, o, e)
	case Sent, Running:
		p.advanceSent(now, o, e)
	case Confirming:
		p.advanceConfirming(now, o, e)
	case Stuck:
		p.raiseStuck(o)
	}
}

// advanceDraining sends the order once its target has no requests in flight. It
// cancels an obsolete order, unless a former leader may have sent it.
func (p *Planner) advanceDraining(now time.Time, o *pendingOrder, e *managedTarget) {
	if now.Before(p.sendAfter) {
		return
	}
	if reason := p.obsoleteReason(now, o, e); reason != "" {
		p.cancelOrWait(now, o, reason)
		return
	}
	serving := e.Ready && e.Service != ""
	propagated := now.Sub(o.since) >= p.timing.PropagationDelay
	if serving && (!propagated || e.InFlight > 0) {
		p.checkDrainTimeout(now, o, e)
		return
	}
	if p.handover.findTransfer(e.Name) != nil {
		p.waitReasons[e.Name] = "its chats are being moved"
		return
	}
	if reason := p.removalBlockReason(now, e, p.servingByService(now)); reason != "" {
		p.cancelOrWait(now, o, reason)
		return
	}
	if reason := p.slotWaitReason(now, o); reason != "" {
		p.waitReasons[o.Target] = reason
		return
	}
	o.previousBuild = build{model: e.Model, version: e.Version, adapters: e.Adapters}
	o.previousService = e.Service
	o.previousMismatched = e.mismatched
	o.deadline = now.Add(max(p.timing.OrderTimeout, 2*p.loads.maxLoadTime(o.Bytes)))
	p.send(now, o)
}

// slotWaitReason returns why an adopted load whose slot in the load limiter has
// expired cannot be sent again now, or "" if it can.
func (p *Planner) slotWaitReason(now time.Time, o *pendingOrder) string {
	if o.Kind != LoadModel || o.holdsSlot(now) {
		return ""
	}
	reason := p.loads.waitReason(now, p.runningLoads(now), o.Bytes)
	if reason == "" {
		p.loads.reserve(now, o.Bytes)
	}
	return reason
}

// cancelOrWait cancels an order that is obsolete or would bring a service below its
// minimum. An order that a former leader may have sent waits instead.
func (p *Planner) cancelOrWait(now time.Time, o *pendingOrder, reason string) {
	if o.adopted {
		p.waitReasons[o.Target] = reason
		return
	}
	p.closeOrder(now, o, OutcomeCancelled, reason)
}

// obsoleteReason returns why an unsent order is no longer needed, or "" if it is.
func (p *Planner) obsoleteReason(now time.Time, o *pendingOrder, e *managedTarget) string {
	if !p.inService(e) {
		return "the target is taken out"
	}
	if o.Kind == Unload {
		return ""
	}
	s := p.byName[o.Service]
	if s == nil {
		return "the service is gone"
	}
	if b := s.build(); b.model != o.Model || b.version != o.Version {
		return "the wish has changed"
	}
	busy := e.Ready && e.Service != "" && e.Service != o.Service
	if o.Reason == ReasonMinimum && busy && !p.isShortWithout(now, o, e) {
		return "the service is at its minimum again"
	}
	return ""
}

// isShortWithout reports whether the order's service would be below its minimum
// without the order.
func (p *Planner) isShortWithout(now time.Time, o *pendingOrder, e *managedTarget) bool {
	e.order = nil
	a := p.newAssignment(now)
	e.order = o
	p.assignPinned(a)
	for service, s := range a.services {
		if s.Name == o.Service {
			return a.shortage(service) > 0
		}
	}
	return false
}

// checkDrainTimeout raises an alarm for a target that has not drained within
// DrainTimeout, and cancels the order unless a former leader may have sent it.
func (p *Planner) checkDrainTimeout(now time.Time, o *pendingOrder, e *managedTarget) {
	if now.Sub(o.since) < p.timing.DrainTimeout {
		return
	}
	message := fmt.Sprintf("%d requests still run on %s", e.InFlight, e.Name)
	p.alarms.raise(Alarm{Kind: AlarmDrainStuck, Service: e.Service, Target: e.Name, Message: message})
	if !o.adopted {
		e.retryAt = now.Add(p.timing.RetryBackoff)
		p.closeOrder(now, o, OutcomeCancelled, message)
	}
}

// send asks the host to send the order, for the first time or again.
func (p *Planner) send(now time.Time, o *pendingOrder) {
	if o.SentAt.IsZero() {
		o.SentAt = now
		o.setState(now, Sent)
	}
	o.sendCount++
	o.nextSend = now.Add(o.resendInterval)
	o.resendInterval = min(2*o.resendInterval, p.timing.MaxResendInterval)
	p.effects = append(p.effects, SendOrder{Order: o.Order, Until: p.leaseUntil})
}

// advanceSent resends the order until its deadline; the reply to a resend also
// returns the order's state.
func (p *Planner) advanceSent(now time.Time, o *pendingOrder, e *managedTarget) {
	if o.hasDeviated(e) {
		p.failMismatched(now, o, e)
		return
	}
	if !now.Before(o.deadline) {
		o.setState(now, Stuck)
		p.raiseStuck(o)
		p.stopRollout(o, "it did not finish in time")
		return
	}
	if !now.Before(o.nextSend) {
		p.send(now, o)
	}
}

// hasDeviated reports whether the target serves neither what it served before nor
// what was ordered.
func (o *pendingOrder) hasDeviated(e *managedTarget) bool {
	if !e.Ready || e.Service == "" || o.isFulfilledBy(&e.TargetState) {
		return false
	}
	return e.Service != o.previousService || !o.previousBuild.loadedOn(&e.TargetState)
}

// advanceConfirming waits until the target's report matches its reply.
func (p *Planner) advanceConfirming(now time.Time, o *pendingOrder, e *managedTarget) {
	lagging := now.Sub(o.since) < p.timing.MaxReportLag
	if lagging || (o.isFulfilledBy(&e.TargetState) && now.Before(o.deadline)) {
		return
	}
	p.failMismatched(now, o, e)
}

// failMismatched ends an order whose target reports something other than what was
// ordered.
func (p *Planner) failMismatched(now time.Time, o *pendingOrder, e *managedTarget) {
	message := fmt.Sprintf("ordered %s with %s %s, shows %q with %s %s", o.Service, o.Model, o.Version, e.Service, e.Model, e.Version)
	e.mismatched = o.previousMismatched || o.adopted || e.Service != o.previousService || !o.previousBuild.loadedOn(&e.TargetState)
	p.failOrder(now, o, OutcomeMismatch, Alarm{Kind: AlarmOrderMismatch, Message: message})
}

func (p *Planner) raiseStuck(o *pendingOrder) {
	message := fmt.Sprintf("%s of %s was sent at %s and has not finished", o.Kind, o.Service, o.SentAt.UTC().Format(time.RFC3339))
	p.alarms.raise(Alarm{Kind: AlarmOrderStuck, Service: o.Service, Target: o.Target, Message: message})
}

// failOrder ends an order with an alarm and starts the target's backoff, which doubles
// with each failure.
func (p *Planner) failOrder(now time.Time, o *pendingOrder, outcome Outcome, alarm Alarm) {
	alarm.Service, alarm.Target = o.Service, o.Target
	p.alarms.emitEvent(alarm)
	if t := p.handover.transferOf(o); t != nil {
		p.dropBatch(now, t, alarm.Message)
		return
	}
	e := p.targets[o.Target]
	backoff := p.timing.RetryBackoff << min(e.failures, 16)
	e.failures++
	e.retryAt = now.Add(min(backoff, p.timing.MaxRetryBackoff))
	p.stopRollout(o, alarm.Message)
	p.closeOrder(now, o, outcome, alarm.Message)
}

// closeOrder removes an order that has ended.
func (p *Planner) closeOrder(now time.Time, o *pendingOrder, outcome Outcome, reason string) {
	p.orders = slices.DeleteFunc(p.orders, func(other *pendingOrder) bool { return other == o })
	e := p.targets[o.Target]
	e.unlinkOrder(o)
	if o.Kind == LoadModel && !o.wasSent() {
		p.loads.refund(now, o.Bytes)
	}
	if outcome == OutcomeDone {
		e.failures = 0
	}
	p.logf("%s: order %s (%s on %s) closed: %s, %s.", o.Service, o.ID, o.Kind, o.Target, outcome, reason)
	if o.TakesOutOfService() {
		p.effects = append(p.effects, CloseOrder{ID: o.ID, Target: o.Target, Outcome: outcome})
	}
}
