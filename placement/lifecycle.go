package placement

import (
	"fmt"
	"slices"
	"time"
)

// OrderRecorded says that the log holds the order, under a fencing number that
// grows with each record; 0 keeps the leader's.
func (p *Planner) OrderRecorded(now time.Time, id string, fence uint64) {
	if o := p.order(id); o != nil && o.state == Recording {
		o.Fence = max(o.Fence, fence)
		o.enter(now, Draining)
	}
}

// OrderNotRecorded says that the log does not take the order. Its target gets
// another one after a pause.
func (p *Planner) OrderNotRecorded(now time.Time, id string) {
	o := p.order(id)
	if o == nil || o.state != Recording {
		return
	}
	p.engines[o.Target].retryAt = now.Add(p.times.RetryBackoff)
	p.close(now, o, OutcomeCancelled, "the log does not take it")
}

// OrderAnswered takes a target's answer. Answers to orders that have ended, or of
// another target or start, are dropped.
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
		p.refused(now, o)
	}
}

// refused ends an order that the target has refused, unless an earlier send of it
// may have got through: then only the target's report tells.
func (p *Planner) refused(now time.Time, o *pending) {
	alarm := Alarm{
		Kind: AlarmOldFence, Service: o.Service, Target: o.Target,
		Message: fmt.Sprintf("it has seen a higher fencing number than %d", o.Fence),
	}
	if o.adopted || o.sends > 1 {
		p.alarms.raise(alarm)
		return
	}
	p.fail(now, o, OutcomeFailed, alarm)
}

func (p *Planner) order(id string) *pending {
	for _, o := range p.orders {
		if o.ID == id {
			return o
		}
	}
	return nil
}

func (o *pending) enter(now time.Time, state OrderState) {
	o.state = state
	o.since = now
}

// progressOrders moves every order on by the time and by what its target shows.
func (p *Planner) progressOrders(now time.Time) {
	for _, o := range slices.Clone(p.orders) {
		e := p.engines[o.Target]
		switch {
		case !o.TakesOutOfService():
			p.progressCache(now, o, e)
		case e.Incarnation > o.Incarnation:
			p.close(now, o, OutcomeRestarted, "the target restarted")
		case !e.present(p.observedAt):
			p.progressMissing(now, o, e)
		case o.wasSent() && o.shows(&e.TargetState) && (e.Ready || o.Kind == Unload):
			p.close(now, o, OutcomeDone, "the target shows it")
		default:
			p.progress(now, o, e)
		}
	}
}

// wasSent reports whether the target may have the order.
func (o *pending) wasSent() bool {
	return o.adopted || !o.SentAt.IsZero()
}

// progressMissing ends an order whose target is gone, once the weight store can't
// be serving it any more.
func (p *Planner) progressMissing(now time.Time, o *pending, e *engine) {
	if !e.lost(now, p.times.LossGrace) {
		return
	}
	if !o.wasSent() {
		p.close(now, o, OutcomeCancelled, "the target is missing")
		return
	}
	if now.Sub(o.since) >= p.store.expected(o.Bytes) {
		p.close(now, o, OutcomeGone, "the target is missing")
	}
}

func (p *Planner) progress(now time.Time, o *pending, e *engine) {
	switch o.state {
	case Draining:
		p.progressDraining(now, o, e)
	case Sent, Running:
		p.progressSent(now, o, e)
	case Confirming:
		p.progressConfirming(now, o, e)
	case Stuck:
		p.raiseStuck(o)
	}
}

// progressDraining sends the order once its target runs nothing. It is cancelled
// when its purpose is gone, unless an earlier leader may have sent it.
func (p *Planner) progressDraining(now time.Time, o *pending, e *engine) {
	if now.Before(p.sendAfter) {
		return
	}
	if reason := p.pointless(now, o, e); reason != "" {
		p.refuseSend(now, o, reason)
		return
	}
	serving := e.Ready && e.Service != ""
	settled := now.Sub(o.since) >= p.times.PropagationDelay
	if serving && (!settled || e.InFlight > 0) {
		p.checkDrain(now, o, e)
		return
	}
	if p.handover.find(e.Name) != nil {
		p.waits[e.Name] = "its chats are being moved"
		return
	}
	if wait := p.guard(now, e, p.serving(now)); wait != "" {
		p.refuseSend(now, o, wait)
		return
	}
	if wait := p.slotRefusal(now, o); wait != "" {
		p.waits[o.Target] = wait
		return
	}
	o.before = build{model: e.Model, version: e.Version, adapters: e.Adapters}
	o.beforeService = e.Service
	o.beforeMismatched = e.mismatched
	o.deadline = now.Add(max(p.times.OrderTimeout, 2*p.store.expected(o.Bytes)))
	p.send(now, o)
}

// slotRefusal returns why an adopted load that has lost its share of the weight
// store can't be sent again now.
func (p *Planner) slotRefusal(now time.Time, o *pending) string {
	if o.Kind != LoadModel || o.holdsSlot(now) {
		return ""
	}
	wait := p.store.refusal(now, p.runningLoads(now), o.Bytes)
	if wait == "" {
		p.store.start(now, o.Bytes)
	}
	return wait
}

// refuseSend cancels an order that is not wanted or would take a service below
// its minimum. One that an earlier leader may have sent waits instead.
func (p *Planner) refuseSend(now time.Time, o *pending, wait string) {
	if o.adopted {
		p.waits[o.Target] = wait
		return
	}
	p.close(now, o, OutcomeCancelled, wait)
}

// pointless returns why an order that was not sent is not wanted any more.
func (p *Planner) pointless(now time.Time, o *pending, e *engine) string {
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
	if o.Reason == ReasonMinimum && busy && !p.lacksWithout(now, o, e) {
		return "the service is at its minimum again"
	}
	return ""
}

// lacksWithout reports whether the order's service would lack targets if the
// order were not there.
func (p *Planner) lacksWithout(now time.Time, o *pending, e *engine) bool {
	e.order = nil
	a := p.newAssignment(now)
	e.order = o
	p.applyPins(a)
	for service, s := range a.services {
		if s.Name == o.Service {
			return a.shortage(service) > 0
		}
	}
	return false
}

// checkDrain ends an order whose target does not run empty.
func (p *Planner) checkDrain(now time.Time, o *pending, e *engine) {
	if now.Sub(o.since) < p.times.DrainTimeout {
		return
	}
	text := fmt.Sprintf("%d requests still run on %s", e.InFlight, e.Name)
	p.alarms.raise(Alarm{Kind: AlarmDrainStuck, Service: e.Service, Target: e.Name, Message: text})
	if !o.adopted {
		e.retryAt = now.Add(p.times.RetryBackoff)
		p.close(now, o, OutcomeCancelled, text)
	}
}

// send gives the order to the host, the first time or again.
func (p *Planner) send(now time.Time, o *pending) {
	if o.SentAt.IsZero() {
		o.SentAt = now
		o.enter(now, Sent)
	}
	o.sends++
	o.nextSend = now.Add(o.pause)
	o.pause = min(2*o.pause, p.times.MaxResendInterval)
	p.effects = append(p.effects, SendOrder{Order: o.Order, Until: p.until})
}

// progressSent sends again, which also asks for the state, until the deadline.
func (p *Planner) progressSent(now time.Time, o *pending, e *engine) {
	if o.strayed(e) {
		p.mismatch(now, o, e)
		return
	}
	if !now.Before(o.deadline) {
		o.enter(now, Stuck)
		p.raiseStuck(o)
		p.stopRoll(o, "it did not finish in time")
		return
	}
	if !now.Before(o.nextSend) {
		p.send(now, o)
	}
}

// strayed reports whether the target serves something that is neither what it
// served before nor what the order asks for.
func (o *pending) strayed(e *engine) bool {
	if !e.Ready || e.Service == "" || o.shows(&e.TargetState) {
		return false
	}
	return e.Service != o.beforeService || !o.before.loadedOn(&e.TargetState)
}

// progressConfirming waits for the target's report to show what it answered.
func (p *Planner) progressConfirming(now time.Time, o *pending, e *engine) {
	lagging := now.Sub(o.since) < p.times.MaxReportLag
	if lagging || (o.shows(&e.TargetState) && now.Before(o.deadline)) {
		return
	}
	p.mismatch(now, o, e)
}

// mismatch ends an order whose target did something else.
func (p *Planner) mismatch(now time.Time, o *pending, e *engine) {
	text := fmt.Sprintf("ordered %s with %s %s, shows %q with %s %s", o.Service, o.Model, o.Version, e.Service, e.Model, e.Version)
	e.mismatched = o.beforeMismatched || o.adopted || e.Service != o.beforeService || !o.before.loadedOn(&e.TargetState)
	p.fail(now, o, OutcomeMismatch, Alarm{Kind: AlarmOrderMismatch, Message: text})
}

func (p *Planner) raiseStuck(o *pending) {
	text := fmt.Sprintf("%s of %s was sent at %s and has not finished", o.Kind, o.Service, o.SentAt.UTC().Format(time.RFC3339))
	p.alarms.raise(Alarm{Kind: AlarmOrderStuck, Service: o.Service, Target: o.Target, Message: text})
}

// fail ends an order with an alarm and pauses its target, longer each time.
func (p *Planner) fail(now time.Time, o *pending, outcome Outcome, alarm Alarm) {
	alarm.Service, alarm.Target = o.Service, o.Target
	p.alarms.event(alarm)
	if t := p.handover.owner(o); t != nil {
		p.dropBatch(now, t, alarm.Message)
		return
	}
	e := p.engines[o.Target]
	pause := p.times.RetryBackoff << min(e.failures, 16)
	e.failures++
	e.retryAt = now.Add(min(pause, p.times.MaxRetryBackoff))
	p.stopRoll(o, alarm.Message)
	p.close(now, o, outcome, alarm.Message)
}

// close ends an order.
func (p *Planner) close(now time.Time, o *pending, outcome Outcome, reason string) {
	p.orders = slices.DeleteFunc(p.orders, func(other *pending) bool { return other == o })
	e := p.engines[o.Target]
	e.detach(o)
	if o.Kind == LoadModel && !o.wasSent() {
		p.store.cancel(now, o.Bytes)
	}
	if outcome == OutcomeDone {
		e.failures = 0
	}
	p.logf("%s: order %s, %s on %s: %s, %s.", o.Service, o.ID, o.Kind, o.Target, outcome, reason)
	if o.TakesOutOfService() {
		p.effects = append(p.effects, CloseOrder{ID: o.ID, Target: o.Target, Outcome: outcome})
	}
}
