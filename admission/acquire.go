package admission

import (
	"time"

	"comfreytiller.dev/chat"
)

// Acquire asks for a permit. Its one final effect is a permit or a refusal, now
// or later.
func (s *Controller) Acquire(now time.Time, request Request) {
	s.advance(now)
	defer s.pump(now)
	if s.repeat(&request) {
		return
	}
	if code, message := s.refuses(now, &request); code != "" {
		s.refuse(now, &request, 0, code, message)
		return
	}
	if !s.makeRoom(now, &request) {
		s.refuse(now, &request, 0, RefusedQueueFull, queueFull)
		return
	}
	s.queue.add(s.newWaiting(now, request))
}

// repeat answers a request that was asked for before.
func (s *Controller) repeat(request *Request) bool {
	if granted, known := s.permits[request.ID]; known {
		permit := granted.permit
		decision := decisionOf(request, permit.Waited)
		decision.Target, decision.Reason, decision.Warm = permit.Target, "Repeated", permit.Warm
		s.effects = append(s.effects, Effect{Host: request.Host, Permit: &permit, Decision: decision})
		return true
	}
	if _, known := s.queue.waiting[request.ID]; known {
		return true
	}
	item, known := s.recent.byID[request.ID]
	if !known {
		return false
	}
	refusal := item.refusal
	if refusal == nil {
		refusal = &Refusal{RequestID: request.ID, Code: RefusedCancelled, Message: "the request has ended"}
	}
	decision := decisionOf(request, 0)
	decision.Reason = "Repeated"
	s.effects = append(s.effects, Effect{Host: request.Host, Refusal: refusal, Decision: decision})
	return true
}

// refuses returns why a request can't even wait, or "".
func (s *Controller) refuses(now time.Time, request *Request) (RefusalCode, string) {
	w, known := s.workspaces[request.Workspace]
	switch {
	case request.Service != s.config.Service.Name:
		return RefusedUnknownService, "the service is not in the fleet text"
	case !known || !w.allowed:
		return RefusedUnknownWorkspace, "the workspace may not use the service"
	case !request.Deadline.IsZero() && !now.Before(request.Deadline):
		return RefusedDeadline, "the deadline has passed"
	}
	return "", ""
}

const queueFull = "the workspace's queue is full"

// makeRoom reports whether the request may enter its workspace's queue. From a
// full queue it displaces one of a lower priority.
func (s *Controller) makeRoom(now time.Time, request *Request) bool {
	w := s.workspaces[request.Workspace]
	if w.waiting < s.queueLimit() {
		return true
	}
	last := s.queue.last(w)
	if last.request.Priority >= request.Priority {
		return false
	}
	s.refuseWaiting(now, last, RefusedQueueFull, queueFull)
	return true
}

func (s *Controller) queueLimit() int {
	if limit := s.config.Service.Limits.Queue; limit > 0 {
		return limit
	}
	return DefaultQueueLength
}

func (s *Controller) newWaiting(now time.Time, request Request) *waiting {
	wait := s.config.Service.Limits.QueueWait
	if wait <= 0 {
		wait = DefaultQueueWait
	}
	expires := now.Add(wait)
	if !request.Deadline.IsZero() && request.Deadline.Before(expires) {
		expires = request.Deadline
	}
	item := &waiting{
		request:   request,
		chat:      chat.KeyOf(request.Chat),
		since:     now,
		expires:   expires,
		workspace: s.workspaces[request.Workspace],
	}
	item.wants = s.query(item).WarmTargets[0]
	return item
}

// Cancel ends a request that its host no longer wants. A permit that was granted
// already stays until its release.
func (s *Controller) Cancel(now time.Time, requestID string) {
	s.advance(now)
	defer s.pump(now)
	if item, known := s.queue.waiting[requestID]; known {
		s.refuseWaiting(now, item, RefusedCancelled, "cancelled by the host")
		return
	}
	if _, known := s.permits[requestID]; known {
		return
	}
	if _, known := s.recent.byID[requestID]; !known {
		refusal := &Refusal{RequestID: requestID, Code: RefusedCancelled, Message: "cancelled by the host"}
		s.recent.add(now, requestID, refusal)
	}
}
