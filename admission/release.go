package admission

import "time"

// Release ends a permit. Unknown permits are ignored, so that a release may be
// repeated. A host that does not know the target leaves release.Target empty.
func (c *Controller) Release(now time.Time, release Release) {
	c.advance(now)
	defer c.dispatch(now)
	active, known := c.permits[release.RequestID]
	if !known || release.Target != "" && active.permit.Target != release.Target {
		return
	}
	c.endPermit(now, active, &release)
	c.ended.add(now, release.RequestID, nil)
}

// Withdraw takes back a permit that was never sent from the owner's host. The same
// request may be acquired again.
func (c *Controller) Withdraw(now time.Time, requestID string) {
	c.advance(now)
	defer c.dispatch(now)
	if active, known := c.permits[requestID]; known {
		c.endPermit(now, active, &Release{Outcome: OutcomeUnsent})
	}
}

func (c *Controller) endPermit(now time.Time, active *activePermit, release *Release) {
	c.removePermit(now, active)
	if c.isCurrentIncarnation(active) {
		c.applyOutcome(now, active, release)
	}
}

// removePermit removes a permit from the numbers in flight.
func (c *Controller) removePermit(now time.Time, active *activePermit) {
	delete(c.permits, active.permit.RequestID)
	active.workspace.inFlight--
	c.addInFlight(now, active.target, -1)
	c.refreshTarget(now, active.target)
}

// applyOutcome updates the target's warm-up and circuit breaker with the outcome.
func (c *Controller) applyOutcome(now time.Time, active *activePermit, release *Release) {
	t := c.targets[active.target]
	switch release.Outcome {
	case OutcomeDone:
		t.circuit.recordSuccess()
		t.warmUp.recordCompletion(c.config.Service.WarmUp, release.FirstByte)
	case OutcomeFailed, OutcomeUnreachable:
		t.circuit.recordFailure(now, active.probe)
	case OutcomeUnsent:
		if active.chatMoved {
			c.locations.UndoUse(active.chat, t.instance)
		}
		t.circuit.recordInconclusive(active.probe)
	case OutcomeCancelled, OutcomeRefused:
		t.circuit.recordInconclusive(active.probe)
	}
	c.refreshTarget(now, active.target)
}
