package chat

import "time"

// maxPlaces bounds the places of one Memory by the width of their numbers.
const maxPlaces = 1<<16 - 1

// eventLag is how late a cache event may come. An eviction event of a chat that
// was used within it may tell of an earlier copy.
const eventLag = 2 // seconds

// LocationMap remembers where chats are warm. It is not safe for concurrent use.
type LocationMap struct {
	limit   int
	maxAge  uint32
	start   time.Time
	records slab[record]
	index   table
	places  []place
	// open finds the place of a target's present incarnation.
	open       map[string]InstanceID
	freePlaces []InstanceID
	// closed lists places whose records may go first.
	closed []InstanceID
	// changed lists the records to export.
	changed []uint32
}

// Location is what a Memory believes of one chat.
type Location struct {
	// Last is where it ran last; Second may hold an older copy.
	Last   InstanceID
	Second InstanceID
	// Certain is false when events of the last place were lost since.
	Certain bool
	// Displaced is set when the chat left its second place only because that
	// took no new work.
	Displaced bool
}

// NewLocationMap returns a memory of at most limit chats, each forgotten after
// maxAge without use.
func NewLocationMap(limit int, maxAge time.Duration) *LocationMap {
	m := &LocationMap{
		limit:  max(limit, 1),
		maxAge: uint32(maxAge / time.Second),
		places: make([]place, 1),
		open:   map[string]InstanceID{},
	}
	m.index = newTable(func(index uint32) Key { return m.records.at(index).chat })
	return m
}

// Len returns the number of chats remembered.
func (m *LocationMap) Len() int {
	return m.index.count
}

// InstanceOf returns the place of the target's present incarnation, or NoInstance.
func (m *LocationMap) InstanceOf(target string) InstanceID {
	return m.open[target]
}

// CountAt returns the number of chats believed warm at the place.
func (m *LocationMap) CountAt(at InstanceID) int {
	return m.places[at].count
}

func (m *LocationMap) seconds(now time.Time) uint32 {
	if m.start.IsZero() {
		// Leaves room for records that are older than the memory.
		m.start = now.Add(-time.Duration(m.maxAge) * time.Second)
	}
	return uint32(max(now.Sub(m.start)/time.Second, 0))
}

// Open returns the place of the target's incarnation, whose prefix memory holds
// capacity chats; 0 for unknown. A new incarnation forgets the older one. An
// incarnation older than the known one has NoInstance.
func (m *LocationMap) Open(target string, incarnation uint64, capacity int) InstanceID {
	at, known := m.open[target]
	if known {
		p := &m.places[at]
		if p.incarnation == incarnation {
			p.capacity = capacity
			return at
		}
		if p.incarnation > incarnation {
			return NoInstance
		}
		m.Close(target)
	}
	at = m.newPlace()
	if at == NoInstance {
		return NoInstance
	}
	m.places[at] = place{target: target, incarnation: incarnation, capacity: capacity}
	m.open[target] = at
	return at
}

func (m *LocationMap) newPlace() InstanceID {
	if len(m.freePlaces) == 0 && len(m.places) > maxPlaces {
		m.dropClosed()
	}
	if last := len(m.freePlaces) - 1; last >= 0 {
		at := m.freePlaces[last]
		m.freePlaces = m.freePlaces[:last]
		return at
	}
	if len(m.places) > maxPlaces {
		return NoInstance
	}
	m.places = append(m.places, place{})
	return InstanceID(len(m.places) - 1)
}

// dropClosed removes closed places from all records, to free their numbers.
func (m *LocationMap) dropClosed() {
	for index := uint32(0); index < m.records.size; index++ {
		r := m.records.at(index)
		if r.chat == 0 {
			continue
		}
		if r.second != NoInstance && m.places[r.second].closed {
			m.setSecond(r, NoInstance)
		}
		if m.places[r.last].closed {
			m.forgetLast(index, r)
		}
	}
}

// Close forgets what is warm on the target, which is gone or lost its cache.
func (m *LocationMap) Close(target string) {
	at, known := m.open[target]
	if !known {
		return
	}
	delete(m.open, target)
	m.places[at].closed = true
	if m.places[at].count > 0 {
		m.closed = append(m.closed, at)
	}
	m.recycle(at)
}

// Find returns what is believed of the chat; places are NoInstance when unknown.
func (m *LocationMap) Find(chat Key) Location {
	if chat == 0 {
		return Location{}
	}
	index, found := m.index.get(chat)
	if !found {
		return Location{}
	}
	r := m.records.at(index)
	known := Location{Last: m.usable(r.last), Second: m.usable(r.second), Displaced: r.is(flagDisplaced)}
	p := &m.places[r.last]
	known.Certain = !r.is(flagDoubtful) && !(p.doubtful && r.used() <= p.doubtUntil)
	return known
}

func (m *LocationMap) usable(at InstanceID) InstanceID {
	if m.places[at].closed {
		return NoInstance
	}
	return at
}

// RecordUse records that the chat runs at the place now, and reports whether that is
// another place than its last one. With out set it left the last place only
// because that takes no new work, and may come back.
func (m *LocationMap) RecordUse(now time.Time, chat Key, at InstanceID, out bool) (moved bool) {
	if chat == 0 || at == NoInstance {
		return false
	}
	index, found := m.index.get(chat)
	if !found {
		index = m.insert(chat)
	}
	r := m.records.at(index)
	r.setUsed(m.seconds(now))
	r.set(flagDoubtful, false)
	moved = r.last != at
	if moved {
		m.move(r, at, out)
	}
	if found {
		m.unlink(r)
	}
	m.pushNewest(index, r, at)
	m.markChanged(index, r)
	m.trim(at)
	return moved
}

// move chooses the second place of a record that goes to another place.
func (m *LocationMap) move(r *record, to InstanceID, out bool) {
	if r.last == NoInstance {
		return
	}
	if r.second == to {
		m.setSecond(r, m.usable(r.last))
		r.set(flagDisplaced, out)
		return
	}
	if r.is(flagDisplaced) && m.usable(r.second) != NoInstance {
		return
	}
	m.setSecond(r, m.usable(r.last))
	r.set(flagDisplaced, out)
}

// UndoUse takes back a Use that moved the chat to the place, where it never ran.
func (m *LocationMap) UndoUse(chat Key, at InstanceID) {
	index, found := m.index.get(chat)
	if !found {
		return
	}
	r := m.records.at(index)
	if r.last == at {
		m.forgetLast(index, r)
	}
}

func (m *LocationMap) insert(chat Key) uint32 {
	if m.index.count >= m.limit {
		m.evict()
	}
	index := m.records.take()
	m.records.at(index).chat = chat
	m.index.put(chat, index)
	return index
}

// trim forgets the oldest chats beyond the place's prefix memory.
func (m *LocationMap) trim(at InstanceID) {
	p := &m.places[at]
	for p.capacity > 0 && p.count > p.capacity {
		index := p.oldest - 1
		m.forgetLast(index, m.records.at(index))
	}
}

// forgetLast drops the last place of a record: its second place takes over, or
// the record goes.
func (m *LocationMap) forgetLast(index uint32, r *record) {
	second := m.usable(r.second)
	if second == NoInstance {
		m.drop(index, r)
		return
	}
	m.unlink(r)
	m.pushOldest(index, r, second)
	m.setSecond(r, NoInstance)
	r.set(flagDisplaced, false)
	m.markChanged(index, r)
}

func (m *LocationMap) drop(index uint32, r *record) {
	m.index.remove(r.chat)
	m.unlink(r)
	m.setSecond(r, NoInstance)
	m.records.give(index)
}
