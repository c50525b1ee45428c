package chat

// instanceState is the state of one incarnation of one target, with the list of the
// chats that ran there last.
type instanceState struct {
	target      string
	incarnation uint64
	// capacity is the number of chats in the instance's prefix cache; 0 for unknown.
	capacity int
	// newest and oldest are the ends of the list, as record index plus one.
	newest uint32
	oldest uint32
	count  int
	// secondaryCount counts the records whose second instance this is.
	secondaryCount int
	// lastSequence is the sequence number of the last cache event applied.
	lastSequence uint64
	// uncertain is set after a gap in the events: contexts last used at uncertainUntil
	// or earlier may have been evicted.
	uncertain      bool
	uncertainUntil uint32
	// closed is set when the contexts on the instance are lost.
	closed bool
}

func (m *LocationMap) pushNewest(index uint32, r *record, id InstanceID) {
	instance := &m.instances[id]
	r.last = id
	r.newer = 0
	r.older = instance.newest
	if instance.newest != 0 {
		m.records.at(instance.newest - 1).newer = index + 1
	} else {
		instance.oldest = index + 1
	}
	instance.newest = index + 1
	instance.count++
}

func (m *LocationMap) pushOldest(index uint32, r *record, id InstanceID) {
	instance := &m.instances[id]
	r.last = id
	r.older = 0
	r.newer = instance.oldest
	if instance.oldest != 0 {
		m.records.at(instance.oldest - 1).older = index + 1
	} else {
		instance.newest = index + 1
	}
	instance.oldest = index + 1
	instance.count++
}

func (m *LocationMap) unlink(r *record) {
	instance := &m.instances[r.last]
	if r.newer != 0 {
		m.records.at(r.newer - 1).older = r.older
	} else {
		instance.newest = r.older
	}
	if r.older != 0 {
		m.records.at(r.older - 1).newer = r.newer
	} else {
		instance.oldest = r.newer
	}
	instance.count--
	m.reuseIfUnreferenced(r.last)
	r.last = NoInstance
}

func (m *LocationMap) setSecond(r *record, id InstanceID) {
	if r.second == id {
		return
	}
	before := r.second
	r.second = id
	if id != NoInstance {
		m.instances[id].secondaryCount++
	}
	if before != NoInstance {
		m.instances[before].secondaryCount--
		m.reuseIfUnreferenced(before)
	}
}

// reuseIfUnreferenced frees the ID of a closed instance that no record refers to.
func (m *LocationMap) reuseIfUnreferenced(id InstanceID) {
	instance := &m.instances[id]
	if id != NoInstance && instance.closed && instance.count == 0 && instance.secondaryCount == 0 {
		m.freeInstances = append(m.freeInstances, id)
		*instance = instanceState{}
	}
}
