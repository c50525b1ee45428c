package placement

import (
	"fmt"
	"slices"
	"time"
)

// OrderRecorded reports that the log holds the order. fence is the fencing token
// from the log, which grows with each record; 0 keeps the leader's.
func (p *Planner) OrderRecorded(now time.Time, id string, fence uint64) {
	if o := p.order(id); o != nil && o.state == Recording {
		o.Fence = max(o.Fence, fence)
		o.enter(now, Draining)
	}
}

// OrderNotRecorded reports that the log rejected the order. The target is retried
// with another order after a backoff.
func (p *Planner) OrderNotRecorded(now time.Time, id string) {
	o := p.order(id)
	if o == nil || o.state != Recording {
		return
	}
	p.engines[o.Target].retryAt = now.Add(p.timing.RetryBackoff)
	p.close(now, o, OutcomeCancelled, "the log does not take it")
}

// OrderAnswered processes a target's answer. Answers to orders that have ended or
// that belong to another target or incarnation are ignored.
func (p *Planner) OrderAnswered(now time.Time, reply OrderReply) {
	o := p.order(reply.ID)
	if o == nil || o.Target != reply.Target || o.Incarnation != reply.Incarnation || o.SentAt.IsZero() {
		return
	}
	switch reply.Result {
	case Accepted:
		if o.state == Sent {
			o.enter(now, Running)
		}
	case Done:
		if o.state != Confirming {
			o.enter(now, Confirming)
		}
	case Failed:
		p.fail(now, o, OutcomeFailed, Alarm{Kind: AlarmOrderFailed, Message: reply.Reason})
	case Refused:
		p.handleRefusal(now, o)
	}
}

// handleRefusal ends an order that the target has refused, unless an earlier send
// may have succeeded. In that case only the target's report shows the outcome.
func (p *Planner) handleRefusal(now time.Time, o *pendingOrder) {
	alarm := Alarm{
		Kind: AlarmOldFence, Service: o.Service, Target: o.Target,
		Message: fmt.Sprintf("it has seen a higher fencing number than %d", o.Fence),
	}
	if o.adopted || o.sendCount > 1 {
		p.alarms.raise(alarm)
		return
	}
	p.fail(now, o, OutcomeFailed, alarm)
}

func (p *Planner) order(id string) *pendingOrder {
	for _, o := range p.orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

func (o *pendingOrder) enter(now time.Time, state OrderState) {
	o.state = state
	o.since = now
}

// advanceOrders updates every order for the current time and its target's report.
func (p *Planner) advanceOrders(now time.Time) {
	for _, o := range slices.Clone(p.orders) {
		e := p.engines[o.Target]
		switch {
		case !o.TakesOutOfService():
			p.advanceCacheOrder(now, o, e)
		case e.Incarnation > o.Incarnation:
			p.close(now, o, OutcomeRestarted, "the target restarted")
		case !e.present(p.observedAt):
			p.advanceMissing(now, o, e)
		case o.wasSent() && o.isFulfilledBy(&e.TargetState) && (e.Ready || o.Kind == Unload):
			p.close(now, o, OutcomeDone, "the target shows it")
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
func (p *Planner) advanceMissing(now time.Time, o *pendingOrder, e *engine) {
	if !e.lost(now, p.timing.LossGrace) {
		return
	}
	if !o.wasSent() {
		p.close(now, o, OutcomeCancelled, "the target is missing")
		return
	}
	if now.Sub(o.since) >= p.loads.maxLoadTime(o.Bytes) {
		p.close(now, o, OutcomeGone, "the target is missing")
	}
}

func (p *Planner) advanceOrder(now time.Time, o *pendingOrder, e *engine) {
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
func (p *Planner) advanceDraining(now time.Time, o *pendingOrder, e *engine) {
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

// cancelOrWait cancels an order that is obsolete or would take a service below its
// minimum. An order that a former leader may have sent waits instead.
func (p *Planner) cancelOrWait(now time.Time, o *pendingOrder, reason string) {
	if o.adopted {
		p.waitReasons[o.Target] = reason
		return
	}
	p.close(now, o, OutcomeCancelled, reason)
}

// obsoleteReason returns why an unsent order is no longer needed, or "" if it is.
func (p *Planner) obsoleteReason(now time.Time, o *pendingOrder, e *engine) string {
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
func (p *Planner) isShortWithout(now time.Time, o *pendingOrder, e *engine) bool {
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
func (p *Planner) checkDrainTimeout(now time.Time, o *pendingOrder, e *engine) {
	if now.Sub(o.since) < p.timing.DrainTimeout {
		return
	}
	message := fmt.Sprintf("%d requests still run on %s", e.InFlight, e.Name)
	p.alarms.raise(Alarm{Kind: AlarmDrainStuck, Service: e.Service, Target: e.Name, Message: message})
	if !o.adopted {
		e.retryAt = now.Add(p.timing.RetryBackoff)
		p.close(now, o, OutcomeCancelled, message)
	}
}

// send asks the host to send the order, for the first time or again.
func (p *Planner) send(now time.Time, o *pendingOrder) {
	if o.SentAt.IsZero() {
		o.SentAt = now
		o.enter(now, Sent)
	}
	o.sendCount++
	o.nextSend = now.Add(o.resendInterval)
	o.resendInterval = min(2*o.resendInterval, p.timing.MaxResendInterval)
	p.effects = append(p.effects, SendOrder{Order: o.Order, Until: p.leaseUntil})
}

// advanceSent resends the order until its deadline; the answer to a resend also
// returns the order's state.
func (p *Planner) advanceSent(now time.Time, o *pendingOrder, e *engine) {
	if o.hasDeviated(e) {
		p.mismatch(now, o, e)
		return
	}
	if !now.Before(o.deadline) {
		o.enter(now, Stuck)
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
func (o *pendingOrder) hasDeviated(e *engine) bool {
	if !e.Ready || e.Service == "" || o.isFulfilledBy(&e.TargetState) {
		return false
	}
	return e.Service != o.previousService || !o.previousBuild.loadedOn(&e.TargetState)
}

// advanceConfirming waits until the target's report matches its answer.
func (p *Planner) advanceConfirming(now time.Time, o *pendingOrder, e *engine) {
	lagging := now.Sub(o.since) < p.timing.MaxReportLag
	if lagging || (o.isFulfilledBy(&e.TargetState) && now.Before(o.deadline)) {
		return
	}
	p.mismatch(now, o, e)
}

// mismatch ends an order whose target reports something other than what was ordered.
func (p *Planner) mismatch(now time.Time, o *pendingOrder, e *engine) {
	message := fmt.Sprintf("ordered %s with %s %s, shows %q with %s %s", o.Service, o.Model, o.Version, e.Service, e.Model, e.Version)
	e.mismatched = o.previousMismatched || o.adopted || e.Service != o.previousService || !o.previousBuild.loadedOn(&e.TargetState)
	p.fail(now, o, OutcomeMismatch, Alarm{Kind: AlarmOrderMismatch, Message: message})
}

func (p *Planner) raiseStuck(o *pendingOrder) {
	message := fmt.Sprintf("%s of %s was sent at %s and has not finished", o.Kind, o.Service, o.SentAt.UTC().Format(time.RFC3339))
	p.alarms.raise(Alarm{Kind: AlarmOrderStuck, Service: o.Service, Target: o.Target, Message: message})
}

// fail ends an order with an alarm and starts the target's backoff, which doubles
// with each failure.
func (p *Planner) fail(now time.Time, o *pendingOrder, outcome Outcome, alarm Alarm) {
	alarm.Service, alarm.Target = o.Service, o.Target
	p.alarms.raiseOnce(alarm)
	if t := p.handover.transferOf(o); t != nil {
		p.dropBatch(now, t, alarm.Message)
		return
	}
	e := p.engines[o.Target]
	backoff := p.timing.RetryBackoff << min(e.failures, 16)
	e.failures++
	e.retryAt = now.Add(min(backoff, p.timing.MaxRetryBackoff))
	p.stopRollout(o, alarm.Message)
	p.close(now, o, outcome, alarm.Message)
}

// close removes an order that has ended.
func (p *Planner) close(now time.Time, o *pendingOrder, outcome Outcome, reason string) {
	p.orders = slices.DeleteFunc(p.orders, func(other *pendingOrder) bool { return other == o })
	e := p.engines[o.Target]
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
