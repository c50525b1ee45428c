package placement

// alarmSet gives each condition once, when it starts.
type alarmSet struct {
	active map[alarmKey]Alarm
	next   map[alarmKey]Alarm
	fresh  []Alarm
}

type alarmKey struct {
	kind    AlarmKind
	service string
	target  string
}

// raise says that a condition holds now.
func (s *alarmSet) raise(a Alarm) {
	key := alarmKey{kind: a.Kind, service: a.Service, target: a.Target}
	if s.next == nil {
		s.next = map[alarmKey]Alarm{}
	}
	_, known := s.active[key]
	if _, now := s.next[key]; !known && !now {
		s.fresh = append(s.fresh, a)
	}
	s.next[key] = a
}

// event gives an alarm that is not a lasting condition.
func (s *alarmSet) event(a Alarm) {
	s.fresh = append(s.fresh, a)
}

// take returns the alarms that are new and makes the raised ones the active set.
func (s *alarmSet) take() []Effect {
	effects := make([]Effect, len(s.fresh))
	for i, a := range s.fresh {
		effects[i] = a
	}
	s.active = s.next
	s.next = nil
	s.fresh = nil
	return effects
}
