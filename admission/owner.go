package admission

import (
	"time"

	"comfreytiller.dev/chat"
)

// AdoptPermit counts a permit that an earlier owner granted.
func (s *Controller) AdoptPermit(now time.Time, permit Permit) {
	s.advance(now)
	defer s.pump(now)
	if _, known := s.permits[permit.RequestID]; known {
		return
	}
	if item, known := s.queue.waiting[permit.RequestID]; known {
		s.queue.remove(item)
	}
	at := s.slot(now, permit.Target)
	t := s.targets[at]
	if permit.Incarnation > t.incarnation {
		s.enter(at, permit.Incarnation)
	}
	granted := &grant{
		permit:    permit,
		target:    at,
		workspace: s.workspaceOf(permit.Workspace),
		chat:      chat.KeyOf(permit.Chat),
	}
	granted.workspace.inFlight++
	s.permits[permit.RequestID] = granted
	s.addInFlight(now, at, 1)
	if !s.present(granted) {
		s.sync(now, at)
		return
	}
	t.warmUp.bore(s.config.Service.WarmUp, t.full(s), int(s.candidates[at].InFlight))
	s.openPlace(at)
	s.memory.RecordUse(now, granted.chat, t.place, false)
	s.sync(now, at)
}

// CompleteAdoption says that every permit of earlier owners is counted. Grants are made
// from here on.
func (s *Controller) CompleteAdoption(now time.Time) {
	s.advance(now)
	defer s.pump(now)
	s.adopted = true
	s.suspended = false
	if !s.empty.IsZero() || s.load.Targets == 0 {
		s.empty = now
	}
}

// Suspend ends all grants until Adopted is called again, and refuses what waits
// with RefusedNotOwner, so that it is asked for again at the next owner. An
// export made then still is current.
func (s *Controller) Suspend(now time.Time) {
	s.suspended = s.suspended || s.adopted
	s.adopted = false
	for _, item := range s.queue.inOrder() {
		s.refuseWaiting(now, item, RefusedNotOwner, "the service moves to another owner")
	}
}

// ReleaseHost drops the permits and waiting requests of a host whose session is
// closed. They get no effect.
func (s *Controller) ReleaseHost(now time.Time, host string) {
	s.advance(now)
	defer s.pump(now)
	for _, item := range s.queue.inOrder() {
		if item.request.Host == host {
			s.queue.remove(item)
		}
	}
	for _, granted := range s.permits {
		if granted.permit.Host == host {
			s.drop(now, granted)
			if s.present(granted) {
				s.targets[granted.target].circuit.inconclusive(granted.probe)
				s.sync(now, granted.target)
			}
		}
	}
}

// sweepBudget bounds the chats that one Tick forgets.
const sweepBudget = 256

// Tick does what is due: heartbeats that stopped, deadlines in the queue, and
// chats that are too old.
func (s *Controller) Tick(now time.Time) {
	s.advance(now)
	defer s.pump(now)
	for s.queue.expiring.len() > 0 && !now.Before(s.queue.expiring.top().expires) {
		s.refuseWaiting(now, s.queue.expiring.top(), RefusedDeadline, "the deadline passed in the queue")
	}
	s.refuseWithoutTargets(now)
	s.memory.Sweep(now, sweepBudget)
	s.metrics.state(s)
}

// refuseWithoutTargets gives up on requests that have waited long enough while
// no target takes work.
func (s *Controller) refuseWithoutTargets(now time.Time) {
	if !s.adopted || s.load.Targets > 0 || now.Sub(s.empty) < s.options.noTargetWait {
		return
	}
	for _, item := range s.queue.inOrder() {
		if now.Sub(item.since) >= s.options.noTargetWait {
			s.refuseWaiting(now, item, RefusedNoTarget, "no target takes work")
		}
	}
}
