package admission

import (
	"time"

	"comfreytiller.dev/route"
)

// The bounds on RetryAfter.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

func (c *Controller) refuseQueued(now time.Time, item *queuedRequest, code RefusalCode, message string) {
	c.queue.remove(item)
	c.refuse(now, &item.request, now.Sub(item.enqueuedAt), code, message)
}

func (c *Controller) refuse(now time.Time, request *Request, waited time.Duration, code RefusalCode, message string) {
	refusal := &Refusal{
		RequestID:  request.ID,
		Code:       code,
		Message:    message,
		RetryAfter: c.retryAfter(now, request.Workspace, code),
	}
	if code != RefusedNotOwner {
		c.ended.add(now, request.ID, refusal)
	}
	c.metrics.recordRefusal(code)
	decision := requestDecision(request, waited)
	decision.Reason = string(code)
	decision.Skipped = c.unavailableTargets()
	c.effects = append(c.effects, Effect{Host: request.Host, Refusal: refusal, Decision: decision})
}

// retryAfter estimates the time until the workspace's queue has drained.
func (c *Controller) retryAfter(now time.Time, name string, code RefusalCode) time.Duration {
	w, known := c.workspaces[name]
	switch {
	case code == RefusedNoTarget:
		return c.options.suspectAfter
	case !known || code != RefusedQueueFull && code != RefusedDeadline:
		return 0
	}
	interval := w.dispatchRate.meanInterval(now)
	if interval == 0 {
		return min(max(c.config.Service.Limits.QueueWait, minRetryAfter), maxRetryAfter)
	}
	return min(max(time.Duration(w.queued+1)*interval, minRetryAfter), maxRetryAfter)
}

// maxListedTargets bounds the targets that the decision of a refusal lists.
const maxListedTargets = 4

// unavailableTargets lists the first targets that can take no request.
func (c *Controller) unavailableTargets() []SkippedTarget {
	var skipped []SkippedTarget
	for at := range c.candidates {
		if c.targets[at].name == "" {
			continue
		}
		if reason := c.candidates[at].CheckCapacity(unlimited); reason != route.Open {
			skipped = append(skipped, SkippedTarget{c.targets[at].name, reason.String()})
		}
		if len(skipped) == maxListedTargets {
			break
		}
	}
	return skipped
}

func requestDecision(request *Request, waited time.Duration) Decision {
	return Decision{
		RequestID: request.ID,
		Host:      request.Host,
		Service:   request.Service,
		Workspace: request.Workspace,
		Chat:      request.Chat,
		Waited:    waited,
	}
}

func (c *Controller) permitDecision(item *queuedRequest, permit *Permit, bound int, choice *route.Choice) Decision {
	decision := requestDecision(&item.request, permit.Waited)
	decision.Target = permit.Target
	decision.Reason = permit.Reason
	decision.Warm = permit.Warm
	decision.InFlight = int(c.candidates[choice.Target].InFlight)
	decision.Bound = bound
	for _, skipped := range choice.Skipped[:choice.SkippedCount] {
		decision.Skipped = append(decision.Skipped, SkippedTarget{c.targets[skipped.Target].name, skipped.Reason.String()})
	}
	return decision
}
