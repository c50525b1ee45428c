package chat

import "time"

// Instance names a place in a batch.
type Instance struct {
	Target      string
	Incarnation uint64
}

// Entry is one chat in a batch. Last and Second are positions in the batch's
// spots; -1 for none.
type Entry struct {
	Chat      Key
	Last      int
	Second    int
	Displaced bool
	// Age is the time since the last use, in whole seconds.
	Age time.Duration
}

// Batch is a part of a memory, to be copied to another host.
type Batch struct {
	Instances []Instance
	Entries   []Entry
}

func (m *LocationMap) markChanged(index uint32, r *record) {
	if r.is(flagChanged) {
		return
	}
	r.set(flagChanged, true)
	m.changed = append(m.changed, index)
}

// TakeChanges returns up to limit records that changed since they were last
// returned.
func (m *LocationMap) TakeChanges(now time.Time, limit int) Batch {
	batch := newBatchWriter(m, now)
	taken := 0
	for taken < len(m.changed) && len(batch.Entries) < limit {
		index := m.changed[taken]
		taken++
		r := m.records.at(index)
		if r.chat != 0 && r.is(flagChanged) {
			r.set(flagChanged, false)
			batch.add(r)
		}
	}
	m.changed = m.changed[taken:]
	if len(m.changed) == 0 {
		m.changed = nil
	}
	return batch.Batch
}

// All returns every record, the least recently used of each place first.
func (m *LocationMap) All(now time.Time) Batch {
	batch := newBatchWriter(m, now)
	for at := 1; at < len(m.places); at++ {
		for link := m.places[at].oldest; link != 0; {
			r := m.records.at(link - 1)
			batch.add(r)
			link = r.newer
		}
	}
	return batch.Batch
}

// Merge takes a batch of another memory. Records that are known here to be used
// more recently stay.
func (m *LocationMap) Merge(now time.Time, batch Batch) {
	places := make([]InstanceID, len(batch.Instances))
	for i, spot := range batch.Instances {
		at, known := m.open[spot.Target]
		if known && m.places[at].incarnation == spot.Incarnation {
			places[i] = at
			continue
		}
		places[i] = m.Open(spot.Target, spot.Incarnation, 0)
	}
	placeOf := func(spot int) InstanceID {
		if spot < 0 || spot >= len(places) {
			return NoInstance
		}
		return places[spot]
	}
	for _, entry := range batch.Entries {
		m.merge(now, entry, placeOf(entry.Last), placeOf(entry.Second))
	}
}

func (m *LocationMap) merge(now time.Time, entry Entry, last, second InstanceID) {
	if last == NoInstance {
		last, second = second, NoInstance
	}
	if last == NoInstance || entry.Chat == 0 {
		return
	}
	used := m.seconds(now) - min(m.seconds(now), uint32(entry.Age/time.Second))
	if index, found := m.index.get(entry.Chat); found {
		r := m.records.at(index)
		if r.used() > used && !m.places[r.last].closed {
			return
		}
	}
	m.RecordUse(now.Add(-entry.Age), entry.Chat, last, false)
	index, found := m.index.get(entry.Chat)
	if !found {
		return
	}
	r := m.records.at(index)
	m.setSecond(r, second)
	r.set(flagDisplaced, entry.Displaced && second != NoInstance)
}

// batchWriter builds a batch and numbers its spots.
type batchWriter struct {
	Batch
	memory  *LocationMap
	seconds uint32
	spots   map[InstanceID]int
}

func newBatchWriter(m *LocationMap, now time.Time) *batchWriter {
	return &batchWriter{memory: m, seconds: m.seconds(now), spots: map[InstanceID]int{}}
}

func (b *batchWriter) add(r *record) {
	last, second := b.spot(r.last), b.spot(r.second)
	if last < 0 && second < 0 {
		return
	}
	age := b.seconds - min(b.seconds, r.used())
	b.Entries = append(b.Entries, Entry{
		Chat:      r.chat,
		Last:      last,
		Second:    second,
		Displaced: r.is(flagDisplaced),
		Age:       time.Duration(age) * time.Second,
	})
}

func (b *batchWriter) spot(at InstanceID) int {
	if b.memory.usable(at) == NoInstance {
		return -1
	}
	if spot, known := b.spots[at]; known {
		return spot
	}
	p := &b.memory.places[at]
	b.Instances = append(b.Instances, Instance{p.target, p.incarnation})
	b.spots[at] = len(b.Instances) - 1
	return len(b.Instances) - 1
}
