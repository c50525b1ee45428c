package chat

// place is one incarnation of one target, with the list of the chats that ran
// there last.
type place struct {
	target      string
	incarnation uint64
	// capacity is the number of chats that its prefix memory holds; 0 for
	// unknown.
	capacity int
	// newest and oldest are the ends of the list, as index plus one.
	newest uint32
	oldest uint32
	count  int
	// seconds counts the records whose second place this is.
	seconds int
	// events is the sequence of the last cache event taken.
	events uint64
	// doubtful is set after a gap: what was last used at doubtUntil or before
	// may be gone.
	doubtful   bool
	doubtUntil uint32
	// closed is set when its contexts are lost.
	closed bool
}

func (m *LocationMap) pushNewest(index uint32, r *record, at InstanceID) {
	p := &m.places[at]
	r.last = at
	r.newer = 0
	r.older = p.newest
	if p.newest != 0 {
		m.records.at(p.newest - 1).newer = index + 1
	} else {
		p.oldest = index + 1
	}
	p.newest = index + 1
	p.count++
}

func (m *LocationMap) pushOldest(index uint32, r *record, at InstanceID) {
	p := &m.places[at]
	r.last = at
	r.older = 0
	r.newer = p.oldest
	if p.oldest != 0 {
		m.records.at(p.oldest - 1).older = index + 1
	} else {
		p.newest = index + 1
	}
	p.oldest = index + 1
	p.count++
}

func (m *LocationMap) unlink(r *record) {
	p := &m.places[r.last]
	if r.newer != 0 {
		m.records.at(r.newer - 1).older = r.older
	} else {
		p.newest = r.older
	}
	if r.older != 0 {
		m.records.at(r.older - 1).newer = r.newer
	} else {
		p.oldest = r.newer
	}
	p.count--
	m.recycle(r.last)
	r.last = NoInstance
}

func (m *LocationMap) setSecond(r *record, at InstanceID) {
	if r.second == at {
		return
	}
	before := r.second
	r.second = at
	if at != NoInstance {
		m.places[at].seconds++
	}
	if before != NoInstance {
		m.places[before].seconds--
		m.recycle(before)
	}
}

// recycle frees the number of a closed place that no record names any more.
func (m *LocationMap) recycle(at InstanceID) {
	p := &m.places[at]
	if at != NoInstance && p.closed && p.count == 0 && p.seconds == 0 {
		m.freePlaces = append(m.freePlaces, at)
		*p = place{}
	}
}
