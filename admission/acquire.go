package admission

import (
	"time"

	"comfreytiller.dev/chat"
)

// Acquire requests a permit. The request ends with exactly one final effect, a permit
// or a refusal, which may follow in a later call.
func (c *Controller) Acquire(now time.Time, request Request) {
	c.advance(now)
	defer c.dispatch(now)
	if c.answerDuplicate(&request) {
		return
	}
	if code, message := c.validate(now, &request); code != "" {
		c.refuse(now, &request, 0, code, message)
		return
	}
	if !c.ensureQueueSpace(now, &request) {
		c.refuse(now, &request, 0, RefusedQueueFull, queueFullMessage)
		return
	}
	c.queue.add(c.newQueuedRequest(now, request))
}

// answerDuplicate answers a request whose ID was received before and reports whether
// it was one.
func (c *Controller) answerDuplicate(request *Request) bool {
	if active, known := c.permits[request.ID]; known {
		permit := active.permit
		decision := requestDecision(request, permit.Waited)
		decision.Target, decision.Reason, decision.Warm = permit.Target, "Repeated", permit.Warm
		c.effects = append(c.effects, Effect{Host: request.Host, Permit: &permit, Decision: decision})
		return true
	}
	if _, known := c.queue.byID[request.ID]; known {
		return true
	}
	item, known := c.ended.byID[request.ID]
	if !known {
		return false
	}
	refusal := item.refusal
	if refusal == nil {
		refusal = &Refusal{RequestID: request.ID, Code: RefusedCancelled, Message: "the request has ended"}
	}
	decision := requestDecision(request, 0)
	decision.Reason = "Repeated"
	c.effects = append(c.effects, Effect{Host: request.Host, Refusal: refusal, Decision: decision})
	return true
}

// validate returns why a request cannot even be queued, or "".
func (c *Controller) validate(now time.Time, request *Request) (RefusalCode, string) {
	w, known := c.workspaces[request.Workspace]
	switch {
	case request.Service != c.config.Service.Name:
		return RefusedUnknownService, "the service is not in the fleet text"
	case !known || !w.allowed:
		return RefusedUnknownWorkspace, "the workspace may not use the service"
	case !request.Deadline.IsZero() && !now.Before(request.Deadline):
		return RefusedDeadline, "the deadline has passed"
	}
	return "", ""
}

const queueFullMessage = "the workspace's queue is full"

// ensureQueueSpace reports whether the request may enter its workspace's queue. If the
// queue is full, it refuses a queued request of lower priority to make space.
func (c *Controller) ensureQueueSpace(now time.Time, request *Request) bool {
	w := c.workspaces[request.Workspace]
	if w.queued < c.queueLimit() {
		return true
	}
	last := c.queue.lastInOrder(w)
	if last.request.Priority >= request.Priority {
		return false
	}
	c.refuseQueued(now, last, RefusedQueueFull, queueFullMessage)
	return true
}

func (c *Controller) queueLimit() int {
	if limit := c.config.Service.Limits.Queue; limit > 0 {
		return limit
	}
	return DefaultQueueLength
}

func (c *Controller) newQueuedRequest(now time.Time, request Request) *queuedRequest {
	wait := c.config.Service.Limits.QueueWait
	if wait <= 0 {
		wait = DefaultQueueWait
	}
	expires := now.Add(wait)
	if !request.Deadline.IsZero() && request.Deadline.Before(expires) {
		expires = request.Deadline
	}
	item := &queuedRequest{
		request:    request,
		chat:       chat.KeyOf(request.Chat),
		enqueuedAt: now,
		expiresAt:  expires,
		workspace:  c.workspaces[request.Workspace],
	}
	item.warmTarget = c.chatQuery(item).WarmTargets[0]
	return item
}

// Cancel ends a request that its host has given up. A permit that is already granted
// stays in flight until its release.
func (c *Controller) Cancel(now time.Time, requestID string) {
	c.advance(now)
	defer c.dispatch(now)
	if item, known := c.queue.byID[requestID]; known {
		c.refuseQueued(now, item, RefusedCancelled, "cancelled by the host")
		return
	}
	if _, known := c.permits[requestID]; known {
		return
	}
	if _, known := c.ended.byID[requestID]; !known {
		refusal := &Refusal{RequestID: requestID, Code: RefusedCancelled, Message: "cancelled by the host"}
		c.ended.add(now, requestID, refusal)
	}
}
