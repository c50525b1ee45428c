package placement

// alarmSet tracks active conditions and emits each one once, when it starts.
type alarmSet struct {
	active  map[alarmKey]Alarm
	raised  map[alarmKey]Alarm
	started []Alarm
}

type alarmKey struct {
	kind    AlarmKind
	service string
	target  string
}

// raise marks a condition as active in this step.
func (s *alarmSet) raise(a Alarm) {
	key := alarmKey{kind: a.Kind, service: a.Service, target: a.Target}
	if s.raised == nil {
		s.raised = map[alarmKey]Alarm{}
	}
	_, active := s.active[key]
	if _, raised := s.raised[key]; !active && !raised {
		s.started = append(s.started, a)
	}
	s.raised[key] = a
}

// raiseOnce emits an alarm that is an event and not a lasting condition.
func (s *alarmSet) raiseOnce(a Alarm) {
	s.started = append(s.started, a)
}

// flush returns the new alarms and makes the conditions raised since the last call
// the active ones.
func (s *alarmSet) flush() []Effect {
	effects := make([]Effect, len(s.started))
	for i, a := range s.started {
		effects[i] = a
	}
	s.active = s.raised
	s.raised = nil
	s.started = nil
	return effects
}
