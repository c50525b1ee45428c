package admission

import (
	"time"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

// Announce takes a target's announcement. It returns false for one that is
// older than what is known.
func (s *Service) Announce(now time.Time, announcement target.Announcement) bool {
	s.advance(now)
	defer s.pump(now)
	at, known := s.byName[announcement.Name]
	if !known && announcement.Service != s.config.Service.Name {
		return true
	}
	if !known {
		at = s.slot(now, announcement.Name)
	}
	t := s.targets[at]
	if t.announced.After(announcement.Stamp) {
		return false
	}
	if t.known && t.announced == announcement.Stamp {
		s.repeated(now, at)
		return !t.left
	}
	s.enter(at, announcement.Incarnation)
	t.known = true
	t.left = false
	t.replaced = false
	t.announced = announcement.Stamp
	t.announcement = announcement
	t.hear(now)
	t.warmUp.report(announcement.Cold)
	s.openPlace(at)
	s.sync(now, at)
	return true
}

// repeated takes the newest announcement once more, which is how a target that
// reports no load shows that it is there.
func (s *Service) repeated(now time.Time, at int) {
	if t := s.targets[at]; !t.left && !t.replaced {
		t.hear(now)
		s.sync(now, at)
	}
}

// enter makes the target's state that of the incarnation. Permits of an earlier
// one still count until they are released: one that is not sent yet will reach
// the new process, which takes calls at the same address.
func (s *Service) enter(at int, incarnation uint64) {
	t := s.targets[at]
	if t.incarnation == incarnation {
		return
	}
	*t = targetState{name: t.name, incarnation: incarnation, lastSeen: t.lastSeen}
}

// present reports whether the permit is for the target's present incarnation:
// only then its outcome tells something of it.
func (s *Service) present(granted *grant) bool {
	return granted.permit.Incarnation == s.targets[granted.target].incarnation
}

func (s *Service) openPlace(at int) {
	t := s.targets[at]
	t.place = s.memory.Open(t.name, t.incarnation, t.announcement.CacheCapacityChats)
	s.bindPlace(t.place, at)
}

func (s *Service) bindPlace(place chat.Place, at int) {
	for len(s.byPlace) <= int(place) {
		s.byPlace = append(s.byPlace, 0)
	}
	if place != chat.NoPlace {
		s.byPlace[place] = at
	}
}

// heard finds the target of a message. Of a newer incarnation only the
// announcement makes it known.
func (s *Service) heard(now time.Time, name string, incarnation uint64) (at int, known, present bool) {
	at, known = s.byName[name]
	if !known || !s.targets[at].known {
		return 0, false, false
	}
	t := s.targets[at]
	if incarnation > t.incarnation {
		t.replaced = true
		s.sync(now, at)
		return at, false, false
	}
	return at, true, incarnation == t.incarnation
}

// Load takes a load report, which also is the target's heartbeat. It returns
// false if the target or its incarnation is not known, so that it should be
// asked to announce itself again.
func (s *Service) Load(now time.Time, report target.LoadReport) bool {
	s.advance(now)
	defer s.pump(now)
	at, known, present := s.heard(now, report.Name, report.Incarnation)
	if !known || !present {
		return known
	}
	t := s.targets[at]
	if !report.Stamp.After(t.reported) {
		return true
	}
	t.reported = report.Stamp
	t.hear(now)
	t.warmUp.report(report.Cold)
	t.peak.note(now, int(s.candidates[at].InFlight))
	t.outside = max(report.InFlight+report.Queued-t.peak.highest(), 0)
	s.sync(now, at)
	return true
}

// Cache takes a cache event. It returns false if the target or its incarnation
// is not known.
func (s *Service) Cache(now time.Time, event target.CacheEvent) bool {
	s.advance(now)
	defer s.pump(now)
	at, known, present := s.heard(now, event.Name, event.Incarnation)
	if !known || !present {
		return known
	}
	s.memory.Apply(now, event)
	s.targets[at].place = s.memory.PlaceOf(event.Name)
	s.bindPlace(s.targets[at].place, at)
	return true
}

// Leave takes a target's word that it takes no new work from now on.
func (s *Service) Leave(now time.Time, leave target.Leave) {
	s.advance(now)
	defer s.pump(now)
	at := s.slot(now, leave.Name)
	t := s.targets[at]
	if t.announced.After(leave.Stamp) {
		return
	}
	s.enter(at, leave.Incarnation)
	t.announced = leave.Stamp
	t.heard = true
	t.left = true
	s.sync(now, at)
}
