package chat

import "time"

// evict removes one record: one of a closed instance if there is any, else the least
// recently used one.
func (m *LocationMap) evict() {
	if m.evictFromClosed() {
		return
	}
	oldest := uint32(0)
	for id := 1; id < len(m.instances); id++ {
		tail := m.instances[id].oldest
		if tail != 0 && (oldest == 0 || m.records.at(tail-1).lastUsed() < m.records.at(oldest-1).lastUsed()) {
			oldest = tail
		}
	}
	if oldest != 0 {
		m.removeRecord(oldest-1, m.records.at(oldest-1))
	}
}

// evictFromClosed removes one record whose instance is closed and reports whether
// there was one. Records with an open second instance move there instead.
func (m *LocationMap) evictFromClosed() bool {
	for len(m.closed) > 0 {
		id := m.closed[len(m.closed)-1]
		instance := &m.instances[id]
		if !instance.closed || instance.count == 0 {
			m.closed = m.closed[:len(m.closed)-1]
			continue
		}
		index := instance.oldest - 1
		r := m.records.at(index)
		kept := m.openOrNone(r.second) != NoInstance
		m.removeLast(index, r)
		if !kept {
			return true
		}
	}
	return false
}

// Sweep removes up to budget records that exceed the maximum age or whose instance is
// closed.
func (m *LocationMap) Sweep(now time.Time, budget int) {
	for budget > 0 && m.evictFromClosed() {
		budget--
	}
	seconds := m.seconds(now)
	for id := 1; id < len(m.instances) && budget > 0; id++ {
		budget = m.sweepInstance(InstanceID(id), seconds, budget)
	}
}

func (m *LocationMap) sweepInstance(id InstanceID, seconds uint32, budget int) int {
	for budget > 0 {
		tail := m.instances[id].oldest
		if tail == 0 {
			return budget
		}
		r := m.records.at(tail - 1)
		if r.lastUsed()+m.maxAge >= seconds {
			return budget
		}
		m.removeRecord(tail-1, r)
		budget--
	}
	return budget
}
