package admission

import (
	"time"

	"comfreytiller.dev/route"
)

// The bounds of RetryAfter.
const (
	leastRetryAfter = 100 * time.Millisecond
	mostRetryAfter  = time.Minute
)

func (s *Controller) refuseWaiting(now time.Time, item *waiting, code RefusalCode, message string) {
	s.queue.remove(item)
	s.refuse(now, &item.request, now.Sub(item.since), code, message)
}

func (s *Controller) refuse(now time.Time, request *Request, waited time.Duration, code RefusalCode, message string) {
	refusal := &Refusal{
		RequestID:  request.ID,
		Code:       code,
		Message:    message,
		RetryAfter: s.retryAfter(now, request.Workspace, code),
	}
	if code != RefusedNotOwner {
		s.recent.add(now, request.ID, refusal)
	}
	s.metrics.refused(code)
	decision := decisionOf(request, waited)
	decision.Reason = string(code)
	decision.Skipped = s.closedTargets()
	s.effects = append(s.effects, Effect{Host: request.Host, Refusal: refusal, Decision: decision})
}

// retryAfter estimates when the workspace's queue will have drained.
func (s *Controller) retryAfter(now time.Time, name string, code RefusalCode) time.Duration {
	w, known := s.workspaces[name]
	switch {
	case code == RefusedNoTarget:
		return s.options.suspectAfter
	case !known || code != RefusedQueueFull && code != RefusedDeadline:
		return 0
	}
	interval := w.drain.interval(now)
	if interval == 0 {
		return min(max(s.config.Service.Limits.QueueWait, leastRetryAfter), mostRetryAfter)
	}
	return min(max(time.Duration(w.waiting+1)*interval, leastRetryAfter), mostRetryAfter)
}

// mostListed bounds the targets that a refusal's decision lists.
const mostListed = 4

// closedTargets lists the first targets that take nothing at all.
func (s *Controller) closedTargets() []SkippedTarget {
	var list []SkippedTarget
	for at := range s.candidates {
		if s.targets[at].name == "" {
			continue
		}
		if reason := s.candidates[at].CheckCapacity(unlimited); reason != route.Open {
			list = append(list, SkippedTarget{s.targets[at].name, reason.String()})
		}
		if len(list) == mostListed {
			break
		}
	}
	return list
}

func decisionOf(request *Request, waited time.Duration) Decision {
	return Decision{
		RequestID: request.ID,
		Host:      request.Host,
		Service:   request.Service,
		Workspace: request.Workspace,
		Chat:      request.Chat,
		Waited:    waited,
	}
}

func (s *Controller) decide(item *waiting, permit *Permit, bound int, choice *route.Choice) Decision {
	decision := decisionOf(&item.request, permit.Waited)
	decision.Target = permit.Target
	decision.Reason = permit.Reason
	decision.Warm = permit.Warm
	decision.InFlight = int(s.candidates[choice.Target].InFlight)
	decision.Bound = bound
	for _, refused := range choice.Skipped[:choice.SkippedCount] {
		decision.Skipped = append(decision.Skipped, SkippedTarget{s.targets[refused.Target].name, refused.Reason.String()})
	}
	return decision
}
