package admission

import "time"

// Release gives a permit back. Unknown permits are ignored, so that a release
// may be repeated. A host that does not know the target leaves it empty.
func (s *Controller) Release(now time.Time, release Release) {
	s.advance(now)
	defer s.pump(now)
	granted, known := s.permits[release.RequestID]
	if !known || release.Target != "" && granted.permit.Target != release.Target {
		return
	}
	s.giveBack(now, granted, &release)
	s.recent.add(now, release.RequestID, nil)
}

// Withdraw takes back a permit that never left the owner's host. The request may
// be asked for again.
func (s *Controller) Withdraw(now time.Time, requestID string) {
	s.advance(now)
	defer s.pump(now)
	if granted, known := s.permits[requestID]; known {
		s.giveBack(now, granted, &Release{Outcome: OutcomeUnsent})
	}
}

func (s *Controller) giveBack(now time.Time, granted *grant, release *Release) {
	s.drop(now, granted)
	if s.present(granted) {
		s.learn(now, granted, release)
	}
}

// drop stops counting a permit.
func (s *Controller) drop(now time.Time, granted *grant) {
	delete(s.permits, granted.permit.RequestID)
	granted.workspace.inFlight--
	s.addInFlight(now, granted.target, -1)
	s.sync(now, granted.target)
}

// learn takes what the outcome tells of the target.
func (s *Controller) learn(now time.Time, granted *grant, release *Release) {
	t := s.targets[granted.target]
	switch release.Outcome {
	case OutcomeDone:
		t.circuit.succeed()
		t.warmUp.complete(s.config.Service.WarmUp, release.FirstByte)
	case OutcomeFailed, OutcomeUnreachable:
		t.circuit.fail(now, granted.probe)
	case OutcomeUnsent:
		if granted.moved {
			s.memory.UndoUse(granted.chat, t.place)
		}
		t.circuit.inconclusive(granted.probe)
	case OutcomeCancelled, OutcomeRefused:
		t.circuit.inconclusive(granted.probe)
	}
	s.sync(now, granted.target)
}
