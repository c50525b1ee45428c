package chat

import (
	"time"

	"comfreytiller.dev/target"
)

// ApplyEvent corrects the memory by a cache event. It reports whether the target's
// incarnation is known. Late events are dropped; a gap makes what is known of
// the target uncertain.
func (m *LocationMap) ApplyEvent(now time.Time, event target.CacheEvent) bool {
	at, known := m.open[event.Name]
	if !known || event.Incarnation > m.places[at].incarnation {
		return false
	}
	p := &m.places[at]
	if event.Incarnation < p.incarnation || event.Sequence <= p.events {
		return true
	}
	if event.Sequence != p.events+1 {
		p.doubtful = true
		p.doubtUntil = m.seconds(now)
	}
	p.events = event.Sequence
	switch event.Change {
	case target.CacheStored:
		m.stored(now, event.Chats, at)
	case target.CacheEvicted:
		m.evicted(now, event.Chats, at)
	case target.CacheCleared:
		m.clear(event.Name, at)
	}
	return true
}

func (m *LocationMap) stored(now time.Time, chats []string, at InstanceID) {
	for _, name := range chats {
		chat := KeyOf(name)
		index, found := m.index.get(chat)
		if !found || m.places[m.records.at(index).last].closed {
			m.RecordUse(now, chat, at, false)
			continue
		}
		r := m.records.at(index)
		if r.last == at {
			m.confirm(r)
		} else if m.usable(r.second) == NoInstance {
			m.setSecond(r, at)
		}
	}
}

// confirm makes a record certain that a gap or a late event made uncertain.
func (m *LocationMap) confirm(r *record) {
	r.set(flagDoubtful, false)
	p := &m.places[r.last]
	if p.doubtful && r.used() <= p.doubtUntil {
		r.setUsed(p.doubtUntil + 1)
	}
}

func (m *LocationMap) evicted(now time.Time, chats []string, at InstanceID) {
	for _, name := range chats {
		index, found := m.index.get(KeyOf(name))
		if !found {
			continue
		}
		r := m.records.at(index)
		switch {
		case r.second == at:
			m.setSecond(r, NoInstance)
			r.set(flagDisplaced, false)
		case r.last != at:
		case r.used()+eventLag >= m.seconds(now):
			r.set(flagDoubtful, true)
		default:
			m.forgetLast(index, r)
		}
	}
}

// clear forgets all that is known of a place, and goes on with a new one for
// the same incarnation and sequence of events.
func (m *LocationMap) clear(name string, at InstanceID) {
	old := m.places[at]
	m.Close(name)
	next := m.Open(name, old.incarnation, old.capacity)
	m.places[next].events = old.events
}
