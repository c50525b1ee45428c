package admission

import "time"

// Release gives a permit back. Unknown permits are ignored, so that a release
// may be repeated.
func (s *Service) Release(now time.Time, release Release) {
	s.advance(now)
	defer s.pump(now)
	granted, known := s.permits[release.RequestID]
	if !known || granted.permit.Target != release.Target {
		return
	}
	s.drop(now, granted)
	if granted.counted {
		s.learn(now, granted, &release)
	}
	s.recent.add(now, release.RequestID, nil)
}

// drop stops counting a permit.
func (s *Service) drop(now time.Time, granted *grant) {
	delete(s.permits, granted.permit.RequestID)
	granted.workspace.inFlight--
	if granted.counted {
		s.addInFlight(now, granted.target, -1)
	}
}

// learn takes what the outcome tells of the target.
func (s *Service) learn(now time.Time, granted *grant, release *Release) {
	t := s.targets[granted.target]
	switch release.Outcome {
	case OutcomeDone:
		t.circuit.succeed()
		t.warmUp.complete(s.config.Service.WarmUp, release.FirstByte)
	case OutcomeFailed:
		t.circuit.fail(now, granted.probe)
	case OutcomeUnsent:
		if granted.moved {
			s.memory.Undo(granted.chat, t.place)
		}
		t.circuit.inconclusive(granted.probe)
	case OutcomeCancelled:
		t.circuit.inconclusive(granted.probe)
	}
	s.sync(now, granted.target)
}
