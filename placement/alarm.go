package placement

// alarmSet tracks active conditions and emits each one once, when it starts.
type alarmSet struct {
	active    map[alarmKey]Alarm
	raised    map[alarmKey]Alarm
	newAlarms []Alarm
}

type alarmKey struct {
	kind    AlarmKind
	service string
	target  string
}

// raise marks a condition as active in this step. It emits an alarm only if the
// condition was not active before.
func (s *alarmSet) raise(a Alarm) {
	key := alarmKey{kind: a.Kind, service: a.Service, target: a.Target}
	if s.raised == nil {
		s.raised = map[alarmKey]Alarm{}
	}
	_, active := s.active[key]
	if _, raised := s.raised[key]; !active && !raised {
		s.newAlarms = append(s.newAlarms, a)
	}
	s.raised[key] = a
}

// emitEvent emits an alarm for an event, not a lasting condition. It emits one for
// each call.
func (s *alarmSet) emitEvent(a Alarm) {
	s.newAlarms = append(s.newAlarms, a)
}

// flush returns the new alarms and makes the conditions raised since the last call
// the active ones.
func (s *alarmSet) flush() []Effect {
	effects := make([]Effect, len(s.newAlarms))
	for i, a := range s.newAlarms {
		effects[i] = a
	}
	s.active = s.raised
	s.raised = nil
	s.newAlarms = nil
	return effects
}
