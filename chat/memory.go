package chat

import "time"

// maxPlaces bounds the places of one Memory by the width of their numbers.
const maxPlaces = 1<<16 - 1

// eventLag is how late a cache event may come. An eviction event of a chat that
// was used within it may tell of an earlier copy.
const eventLag = 2 // seconds

// Memory remembers where chats are warm. It is not safe for concurrent use.
type Memory struct {
	limit   int
	maxAge  uint32
	start   time.Time
	records slab[record]
	index   table
	places  []place
	// open finds the place of a target's present incarnation.
	open       map[string]Place
	freePlaces []Place
	// closed lists places whose records may go first.
	closed []Place
	// changed lists the records to export.
	changed []uint32
}

// Known is what a Memory believes of one chat.
type Known struct {
	// Last is where it ran last; Second may hold an older copy.
	Last   Place
	Second Place
	// Certain is false when events of the last place were lost since.
	Certain bool
	// Displaced is set when the chat left its second place only because that
	// took no new work.
	Displaced bool
}

// NewMemory returns a memory of at most limit chats, each forgotten after
// maxAge without use.
func NewMemory(limit int, maxAge time.Duration) *Memory {
	m := &Memory{
		limit:  max(limit, 1),
		maxAge: uint32(maxAge / time.Second),
		places: make([]place, 1),
		open:   map[string]Place{},
	}
	m.index = newTable(func(index uint32) Key { return m.records.at(index).chat })
	return m
}

// Len returns the number of chats remembered.
func (m *Memory) Len() int {
	return m.index.count
}

// PlaceOf returns the place of the target's present incarnation, or NoPlace.
func (m *Memory) PlaceOf(target string) Place {
	return m.open[target]
}

// Count returns the number of chats believed warm at the place.
func (m *Memory) Count(at Place) int {
	return m.places[at].count
}

func (m *Memory) seconds(now time.Time) uint32 {
	if m.start.IsZero() {
		// Leaves room for records that are older than the memory.
		m.start = now.Add(-time.Duration(m.maxAge) * time.Second)
	}
	return uint32(max(now.Sub(m.start)/time.Second, 0))
}

// Open returns the place of the target's incarnation, whose prefix memory holds
// capacity chats; 0 for unknown. A new incarnation forgets the older one. An
// incarnation older than the known one has NoPlace.
func (m *Memory) Open(target string, incarnation uint64, capacity int) Place {
	at, known := m.open[target]
	if known {
		p := &m.places[at]
		if p.incarnation == incarnation {
			p.capacity = capacity
			return at
		}
		if p.incarnation > incarnation {
			return NoPlace
		}
		m.Close(target)
	}
	at = m.newPlace()
	if at == NoPlace {
		return NoPlace
	}
	m.places[at] = place{target: target, incarnation: incarnation, capacity: capacity}
	m.open[target] = at
	return at
}

func (m *Memory) newPlace() Place {
	if len(m.freePlaces) == 0 && len(m.places) > maxPlaces {
		m.dropClosed()
	}
	if last := len(m.freePlaces) - 1; last >= 0 {
		at := m.freePlaces[last]
		m.freePlaces = m.freePlaces[:last]
		return at
	}
	if len(m.places) > maxPlaces {
		return NoPlace
	}
	m.places = append(m.places, place{})
	return Place(len(m.places) - 1)
}

// dropClosed removes closed places from all records, to free their numbers.
func (m *Memory) dropClosed() {
	for index := uint32(0); index < m.records.size; index++ {
		r := m.records.at(index)
		if r.chat == 0 {
			continue
		}
		if r.second != NoPlace && m.places[r.second].closed {
			m.setSecond(r, NoPlace)
		}
		if m.places[r.last].closed {
			m.forgetLast(index, r)
		}
	}
}

// Close forgets what is warm on the target, which is gone or lost its cache.
func (m *Memory) Close(target string) {
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

// Find returns what is believed of the chat; places are NoPlace when unknown.
func (m *Memory) Find(chat Key) Known {
	if chat == 0 {
		return Known{}
	}
	index, found := m.index.get(chat)
	if !found {
		return Known{}
	}
	r := m.records.at(index)
	known := Known{Last: m.usable(r.last), Second: m.usable(r.second), Displaced: r.is(flagDisplaced)}
	p := &m.places[r.last]
	known.Certain = !r.is(flagDoubtful) && !(p.doubtful && r.used() <= p.doubtUntil)
	return known
}

func (m *Memory) usable(at Place) Place {
	if m.places[at].closed {
		return NoPlace
	}
	return at
}

// Use records that the chat runs at the place now, and reports whether that is
// another place than its last one. With out set it left the last place only
// because that takes no new work, and may come back.
func (m *Memory) Use(now time.Time, chat Key, at Place, out bool) (moved bool) {
	if chat == 0 || at == NoPlace {
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
func (m *Memory) move(r *record, to Place, out bool) {
	if r.last == NoPlace {
		return
	}
	if r.second == to {
		m.setSecond(r, m.usable(r.last))
		r.set(flagDisplaced, out)
		return
	}
	if r.is(flagDisplaced) && m.usable(r.second) != NoPlace {
		return
	}
	m.setSecond(r, m.usable(r.last))
	r.set(flagDisplaced, out)
}

// Undo takes back a Use that moved the chat to the place, where it never ran.
func (m *Memory) Undo(chat Key, at Place) {
	index, found := m.index.get(chat)
	if !found {
		return
	}
	r := m.records.at(index)
	if r.last == at {
		m.forgetLast(index, r)
	}
}

func (m *Memory) insert(chat Key) uint32 {
	if m.index.count >= m.limit {
		m.evict()
	}
	index := m.records.take()
	m.records.at(index).chat = chat
	m.index.put(chat, index)
	return index
}

// trim forgets the oldest chats beyond the place's prefix memory.
func (m *Memory) trim(at Place) {
	p := &m.places[at]
	for p.capacity > 0 && p.count > p.capacity {
		index := p.oldest - 1
		m.forgetLast(index, m.records.at(index))
	}
}

// forgetLast drops the last place of a record: its second place takes over, or
// the record goes.
func (m *Memory) forgetLast(index uint32, r *record) {
	second := m.usable(r.second)
	if second == NoPlace {
		m.drop(index, r)
		return
	}
	m.unlink(r)
	m.pushOldest(index, r, second)
	m.setSecond(r, NoPlace)
	r.set(flagDisplaced, false)
	m.markChanged(index, r)
}

func (m *Memory) drop(index uint32, r *record) {
	m.index.remove(r.chat)
	m.unlink(r)
	m.setSecond(r, NoPlace)
	m.records.give(index)
}
