package chat

import "time"

// evict removes one record: of a closed place if there is one, else the one
// that is used least recently.
func (m *LocationMap) evict() {
	if m.dropOfClosed() {
		return
	}
	oldest := uint32(0)
	for at := 1; at < len(m.places); at++ {
		tail := m.places[at].oldest
		if tail != 0 && (oldest == 0 || m.records.at(tail-1).used() < m.records.at(oldest-1).used()) {
			oldest = tail
		}
	}
	if oldest != 0 {
		m.drop(oldest-1, m.records.at(oldest-1))
	}
}

// dropOfClosed takes one record off a closed place's list and reports whether
// it found one to remove.
func (m *LocationMap) dropOfClosed() bool {
	for len(m.closed) > 0 {
		at := m.closed[len(m.closed)-1]
		p := &m.places[at]
		if !p.closed || p.count == 0 {
			m.closed = m.closed[:len(m.closed)-1]
			continue
		}
		index := p.oldest - 1
		r := m.records.at(index)
		kept := m.usable(r.second) != NoInstance
		m.forgetLast(index, r)
		if !kept {
			return true
		}
	}
	return false
}

// Sweep removes up to budget records that are too old or whose place is closed.
func (m *LocationMap) Sweep(now time.Time, budget int) {
	for budget > 0 && m.dropOfClosed() {
		budget--
	}
	seconds := m.seconds(now)
	for at := 1; at < len(m.places) && budget > 0; at++ {
		budget = m.sweepPlace(InstanceID(at), seconds, budget)
	}
}

func (m *LocationMap) sweepPlace(at InstanceID, seconds uint32, budget int) int {
	for budget > 0 {
		tail := m.places[at].oldest
		if tail == 0 {
			return budget
		}
		r := m.records.at(tail - 1)
		if r.used()+m.maxAge >= seconds {
			return budget
		}
		m.drop(tail-1, r)
		budget--
	}
	return budget
}
