package chat

import (
	"time"

	"comfreytiller.dev/target"
)

// ApplyEvent corrects the records with a cache event. It returns false if the target's
// incarnation is unknown. Events that arrive out of order are dropped. After a gap in
// the sequence, the target's earlier records become uncertain.
func (m *LocationMap) ApplyEvent(now time.Time, event target.CacheEvent) bool {
	id, known := m.open[event.Name]
	if !known || event.Incarnation > m.instances[id].incarnation {
		return false
	}
	instance := &m.instances[id]
	if event.Incarnation < instance.incarnation || event.Sequence <= instance.lastSequence {
		return true
	}
	if event.Sequence != instance.lastSequence+1 {
		instance.uncertain = true
		instance.uncertainUntil = m.seconds(now)
	}
	instance.lastSequence = event.Sequence
	switch event.Change {
	case target.CacheStored:
		m.applyStored(now, event.Chats, id)
	case target.CacheEvicted:
		m.applyEvicted(now, event.Chats, id)
	case target.CacheCleared:
		m.applyCleared(event.Name, id)
	}
	return true
}

func (m *LocationMap) applyStored(now time.Time, chats []string, id InstanceID) {
	for _, name := range chats {
		chat := KeyOf(name)
		index, found := m.index.get(chat)
		if !found || m.instances[m.records.at(index).last].closed {
			m.RecordUse(now, chat, id, false)
			continue
		}
		r := m.records.at(index)
		if r.last == id {
			m.markCertain(r)
		} else if m.openOrNone(r.second) == NoInstance {
			m.setSecond(r, id)
		}
	}
}

// markCertain clears the uncertainty that a gap or a late event caused.
func (m *LocationMap) markCertain(r *record) {
	r.setFlag(flagUncertain, false)
	instance := &m.instances[r.last]
	if instance.uncertain && r.lastUsed() <= instance.uncertainUntil {
		r.setLastUsed(instance.uncertainUntil + 1)
	}
}

func (m *LocationMap) applyEvicted(now time.Time, chats []string, id InstanceID) {
	for _, name := range chats {
		index, found := m.index.get(KeyOf(name))
		if !found {
			continue
		}
		r := m.records.at(index)
		switch {
		case r.second == id:
			m.setSecond(r, NoInstance)
			r.setFlag(flagDisplaced, false)
		case r.last != id:
		case r.lastUsed()+maxEventDelaySeconds >= m.seconds(now):
			r.setFlag(flagUncertain, true)
		default:
			m.removeLast(index, r)
		}
	}
}

// applyCleared closes an instance and opens a new one for the same incarnation, which
// keeps the event sequence.
func (m *LocationMap) applyCleared(name string, id InstanceID) {
	old := m.instances[id]
	m.Close(name)
	next := m.Open(name, old.incarnation, old.capacity)
	m.instances[next].lastSequence = old.lastSequence
}
