package chat

import "time"

// maxInstances is the number of instances that an InstanceID can distinguish.
const maxInstances = 1<<16 - 1

// maxEventDelaySeconds is the maximum delay of a cache event, in seconds. An eviction
// event that arrives within this time after the last use of a chat may refer to an
// earlier copy.
const maxEventDelaySeconds = 2

// LocationMap tracks where chats are warm. It is not safe for concurrent use.
type LocationMap struct {
	limit     int
	maxAge    uint32
	start     time.Time
	records   slab[record]
	index     table
	instances []instanceState
	// open maps a target to its current instance.
	open          map[string]InstanceID
	freeInstances []InstanceID
	// closed lists instances whose records are evicted first.
	closed []InstanceID
	// changed lists the records to export.
	changed []uint32
}

// Location is where the context of one chat is expected.
type Location struct {
	// Last is where the chat ran last; Second may hold an older copy.
	Last   InstanceID
	Second InstanceID
	// Certain is false if cache events of the last instance have been lost since.
	Certain bool
	// Displaced is set when the chat left its second instance only because the target
	// took no new requests.
	Displaced bool
}

// NewLocationMap returns a map of at most limit chats. Each is removed after maxAge
// without use.
func NewLocationMap(limit int, maxAge time.Duration) *LocationMap {
	m := &LocationMap{
		limit:     max(limit, 1),
		maxAge:    uint32(maxAge / time.Second),
		instances: make([]instanceState, 1),
		open:      map[string]InstanceID{},
	}
	m.index = newTable(func(index uint32) Key { return m.records.at(index).chat })
	return m
}

// Len returns the number of chats in the map.
func (m *LocationMap) Len() int {
	return m.index.count
}

// InstanceOf returns the target's current instance, or NoInstance.
func (m *LocationMap) InstanceOf(target string) InstanceID {
	return m.open[target]
}

// CountAt returns the number of chats whose last instance this is.
func (m *LocationMap) CountAt(id InstanceID) int {
	return m.instances[id].count
}

func (m *LocationMap) seconds(now time.Time) uint32 {
	if m.start.IsZero() {
		// Leaves room for records that were last used before the map was created.
		m.start = now.Add(-time.Duration(m.maxAge) * time.Second)
	}
	return uint32(max(now.Sub(m.start)/time.Second, 0))
}

// Open returns the instance of the target's incarnation and sets its capacity, the
// number of chats in its prefix cache; 0 for unknown. A newer incarnation closes the
// older one. For an incarnation older than the current one, Open returns NoInstance.
func (m *LocationMap) Open(target string, incarnation uint64, capacity int) InstanceID {
	id, known := m.open[target]
	if known {
		instance := &m.instances[id]
		if instance.incarnation == incarnation {
			instance.capacity = capacity
			return id
		}
		if instance.incarnation > incarnation {
			return NoInstance
		}
		m.Close(target)
	}
	id = m.newInstanceID()
	if id == NoInstance {
		return NoInstance
	}
	m.instances[id] = instanceState{target: target, incarnation: incarnation, capacity: capacity}
	m.open[target] = id
	return id
}

func (m *LocationMap) newInstanceID() InstanceID {
	if len(m.freeInstances) == 0 && len(m.instances) > maxInstances {
		m.purgeClosed()
	}
	if last := len(m.freeInstances) - 1; last >= 0 {
		id := m.freeInstances[last]
		m.freeInstances = m.freeInstances[:last]
		return id
	}
	if len(m.instances) > maxInstances {
		return NoInstance
	}
	m.instances = append(m.instances, instanceState{})
	return InstanceID(len(m.instances) - 1)
}

// purgeClosed removes closed instances from all records, so that their IDs can be
// reused.
func (m *LocationMap) purgeClosed() {
	for index := uint32(0); index < m.records.size; index++ {
		r := m.records.at(index)
		if r.chat == 0 {
			continue
		}
		if r.second != NoInstance && m.instances[r.second].closed {
			m.setSecond(r, NoInstance)
		}
		if m.instances[r.last].closed {
			m.removeLast(index, r)
		}
	}
}

// Close closes the target's current instance, because the target is gone or its cache
// is lost.
func (m *LocationMap) Close(target string) {
	id, known := m.open[target]
	if !known {
		return
	}
	delete(m.open, target)
	m.instances[id].closed = true
	if m.instances[id].count > 0 {
		m.closed = append(m.closed, id)
	}
	m.reuseIfUnreferenced(id)
}

// Find returns the location of the chat. Its instances are NoInstance when unknown.
func (m *LocationMap) Find(chat Key) Location {
	if chat == 0 {
		return Location{}
	}
	index, found := m.index.get(chat)
	if !found {
		return Location{}
	}
	r := m.records.at(index)
	location := Location{Last: m.openOrNone(r.last), Second: m.openOrNone(r.second), Displaced: r.hasFlag(flagDisplaced)}
	instance := &m.instances[r.last]
	location.Certain = !r.hasFlag(flagUncertain) && !(instance.uncertain && r.lastUsed() <= instance.uncertainUntil)
	return location
}

func (m *LocationMap) openOrNone(id InstanceID) InstanceID {
	if m.instances[id].closed {
		return NoInstance
	}
	return id
}

// RecordUse records that the chat runs on the instance now, and reports whether it ran
// on another one before. With displaced set, the chat left its last instance only
// because the target takes no new requests, and may return.
func (m *LocationMap) RecordUse(now time.Time, chat Key, id InstanceID, displaced bool) (moved bool) {
	if chat == 0 || id == NoInstance {
		return false
	}
	index, found := m.index.get(chat)
	if !found {
		index = m.insert(chat)
	}
	r := m.records.at(index)
	r.setLastUsed(m.seconds(now))
	r.setFlag(flagUncertain, false)
	moved = r.last != id
	if moved {
		m.updateSecond(r, id, displaced)
	}
	if found {
		m.unlink(r)
	}
	m.pushNewest(index, r, id)
	m.markChanged(index, r)
	m.enforceCapacity(id)
	return moved
}

// updateSecond chooses the second instance of a record that moves to another instance.
func (m *LocationMap) updateSecond(r *record, to InstanceID, displaced bool) {
	if r.last == NoInstance {
		return
	}
	if r.second == to {
		m.setSecond(r, m.openOrNone(r.last))
		r.setFlag(flagDisplaced, displaced)
		return
	}
	if r.hasFlag(flagDisplaced) && m.openOrNone(r.second) != NoInstance {
		return
	}
	m.setSecond(r, m.openOrNone(r.last))
	r.setFlag(flagDisplaced, displaced)
}

// UndoUse reverts a RecordUse that moved the chat to the instance, where it never ran.
func (m *LocationMap) UndoUse(chat Key, id InstanceID) {
	index, found := m.index.get(chat)
	if !found {
		return
	}
	r := m.records.at(index)
	if r.last == id {
		m.removeLast(index, r)
	}
}

func (m *LocationMap) insert(chat Key) uint32 {
	if m.index.count >= m.limit {
		m.evict()
	}
	index := m.records.alloc()
	m.records.at(index).chat = chat
	m.index.put(chat, index)
	return index
}

// enforceCapacity removes the oldest chats beyond the capacity of the instance's
// prefix cache.
func (m *LocationMap) enforceCapacity(id InstanceID) {
	instance := &m.instances[id]
	for instance.capacity > 0 && instance.count > instance.capacity {
		index := instance.oldest - 1
		m.removeLast(index, m.records.at(index))
	}
}

// removeLast removes the last instance of a record. The second instance takes its
// place; without one, the record is removed.
func (m *LocationMap) removeLast(index uint32, r *record) {
	second := m.openOrNone(r.second)
	if second == NoInstance {
		m.removeRecord(index, r)
		return
	}
	m.unlink(r)
	m.pushOldest(index, r, second)
	m.setSecond(r, NoInstance)
	r.setFlag(flagDisplaced, false)
	m.markChanged(index, r)
}

func (m *LocationMap) removeRecord(index uint32, r *record) {
	m.index.remove(r.chat)
	m.unlink(r)
	m.setSecond(r, NoInstance)
	m.records.release(index)
}
