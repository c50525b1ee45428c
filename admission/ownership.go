package admission

import (
	"time"

	"comfreytiller.dev/chat"
)

// AdoptPermit counts a permit that an earlier owner granted.
func (c *Controller) AdoptPermit(now time.Time, permit Permit) {
	c.advance(now)
	defer c.dispatch(now)
	if _, known := c.permits[permit.RequestID]; known {
		return
	}
	if item, known := c.queue.byID[permit.RequestID]; known {
		c.queue.remove(item)
	}
	at := c.ensureTarget(now, permit.Target)
	t := c.targets[at]
	if permit.Incarnation > t.incarnation {
		c.startIncarnation(at, permit.Incarnation)
	}
	active := &activePermit{
		permit:    permit,
		target:    at,
		workspace: c.workspaceQueueOf(permit.Workspace),
		chat:      chat.KeyOf(permit.Chat),
	}
	active.workspace.inFlight++
	c.permits[permit.RequestID] = active
	c.addInFlight(now, at, 1)
	if !c.isCurrentIncarnation(active) {
		c.refreshTarget(now, at)
		return
	}
	t.warmUp.raiseToInFlight(c.config.Service.WarmUp, t.warmLimit(c), int(c.candidates[at].InFlight))
	c.openInstance(at)
	c.locations.RecordUse(now, active.chat, t.instance, false)
	c.refreshTarget(now, at)
}

// CompleteAdoption marks all permits of earlier owners as counted, which enables
// grants.
func (c *Controller) CompleteAdoption(now time.Time) {
	c.advance(now)
	defer c.dispatch(now)
	c.adopted = true
	c.suspended = false
	if !c.noTargetsSince.IsZero() || c.load.Targets == 0 {
		c.noTargetsSince = now
	}
}

// Suspend stops all grants until CompleteAdoption is called again. It refuses queued
// requests with RefusedNotOwner, so that hosts send them to the next owner. An export
// made while suspended is Current.
func (c *Controller) Suspend(now time.Time) {
	c.suspended = c.suspended || c.adopted
	c.adopted = false
	for _, item := range c.queue.sortedByArrival() {
		c.refuseQueued(now, item, RefusedNotOwner, "the service moves to another owner")
	}
}

// ReleaseHost removes the permits and queued requests of a host whose session is
// closed. It produces no effects for them.
func (c *Controller) ReleaseHost(now time.Time, host string) {
	c.advance(now)
	defer c.dispatch(now)
	for _, item := range c.queue.sortedByArrival() {
		if item.request.Host == host {
			c.queue.remove(item)
		}
	}
	for _, active := range c.permits {
		if active.permit.Host == host {
			c.removePermit(now, active)
			if c.isCurrentIncarnation(active) {
				c.targets[active.target].circuit.recordInconclusive(active.probe)
				c.refreshTarget(now, active.target)
			}
		}
	}
}

// maxSweptChats bounds the chats that one Tick removes.
const maxSweptChats = 256

// Tick applies what is due at the given time: missed heartbeats, expired deadlines in
// the queue, and chats beyond their maximum age.
func (c *Controller) Tick(now time.Time) {
	c.advance(now)
	defer c.dispatch(now)
	for c.queue.byExpiry.len() > 0 && !now.Before(c.queue.byExpiry.top().expiresAt) {
		c.refuseQueued(now, c.queue.byExpiry.top(), RefusedDeadline, "the deadline passed in the queue")
	}
	c.refuseWithoutTargets(now)
	c.locations.Sweep(now, maxSweptChats)
	c.metrics.updateGauges(c)
}

// refuseWithoutTargets refuses requests that have waited for noTargetWait while no
// target admits requests.
func (c *Controller) refuseWithoutTargets(now time.Time) {
	if !c.adopted || c.load.Targets > 0 || now.Sub(c.noTargetsSince) < c.options.noTargetWait {
		return
	}
	for _, item := range c.queue.sortedByArrival() {
		if now.Sub(item.enqueuedAt) >= c.options.noTargetWait {
			c.refuseQueued(now, item, RefusedNoTarget, "no target takes work")
		}
	}
}
