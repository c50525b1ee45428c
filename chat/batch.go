package chat

import "time"

// Instance is one incarnation of one target.
type Instance struct {
	Target      string
	Incarnation uint64
}

// Entry is the location of one chat in a batch. Last and Second are indexes into the
// batch's Instances; -1 for none.
type Entry struct {
	Chat      Key
	Last      int
	Second    int
	Displaced bool
	// Age is the time since the last use, in whole seconds.
	Age time.Duration
}

// Batch is a part of a LocationMap in a form that can be copied to another host.
type Batch struct {
	Instances []Instance
	Entries   []Entry
}

func (m *LocationMap) markChanged(index uint32, r *record) {
	if r.hasFlag(flagChanged) {
		return
	}
	r.setFlag(flagChanged, true)
	m.changed = append(m.changed, index)
}

// TakeChanges returns up to limit records that changed since they were last returned.
func (m *LocationMap) TakeChanges(now time.Time, limit int) Batch {
	batch := newBatchWriter(m, now)
	taken := 0
	for taken < len(m.changed) && len(batch.Entries) < limit {
		index := m.changed[taken]
		taken++
		r := m.records.at(index)
		if r.chat != 0 && r.hasFlag(flagChanged) {
			r.setFlag(flagChanged, false)
			batch.add(r)
		}
	}
	m.changed = m.changed[taken:]
	if len(m.changed) == 0 {
		m.changed = nil
	}
	return batch.Batch
}

// All returns every record, ordered by instance and from the least to the most
// recently used.
func (m *LocationMap) All(now time.Time) Batch {
	batch := newBatchWriter(m, now)
	for id := 1; id < len(m.instances); id++ {
		for link := m.instances[id].oldest; link != 0; {
			r := m.records.at(link - 1)
			batch.add(r)
			link = r.newer
		}
	}
	return batch.Batch
}

// Merge adds a batch from another LocationMap. Records that were used more recently
// here are kept.
func (m *LocationMap) Merge(now time.Time, batch Batch) {
	ids := make([]InstanceID, len(batch.Instances))
	for i, instance := range batch.Instances {
		id, known := m.open[instance.Target]
		if known && m.instances[id].incarnation == instance.Incarnation {
			ids[i] = id
			continue
		}
		ids[i] = m.Open(instance.Target, instance.Incarnation, 0)
	}
	idOf := func(index int) InstanceID {
		if index < 0 || index >= len(ids) {
			return NoInstance
		}
		return ids[index]
	}
	for _, entry := range batch.Entries {
		m.mergeEntry(now, entry, idOf(entry.Last), idOf(entry.Second))
	}
}

func (m *LocationMap) mergeEntry(now time.Time, entry Entry, last, second InstanceID) {
	if last == NoInstance {
		last, second = second, NoInstance
	}
	if last == NoInstance || entry.Chat == 0 {
		return
	}
	used := m.seconds(now) - min(m.seconds(now), uint32(entry.Age/time.Second))
	if index, found := m.index.get(entry.Chat); found {
		r := m.records.at(index)
		if r.lastUsed() > used && !m.instances[r.last].closed {
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
	r.setFlag(flagDisplaced, entry.Displaced && second != NoInstance)
}

// batchWriter builds a batch and assigns the indexes of its instances.
type batchWriter struct {
	Batch
	locations *LocationMap
	seconds   uint32
	indexes   map[InstanceID]int
}

func newBatchWriter(m *LocationMap, now time.Time) *batchWriter {
	return &batchWriter{locations: m, seconds: m.seconds(now), indexes: map[InstanceID]int{}}
}

func (b *batchWriter) add(r *record) {
	last, second := b.instanceIndex(r.last), b.instanceIndex(r.second)
	if last < 0 && second < 0 {
		return
	}
	age := b.seconds - min(b.seconds, r.lastUsed())
	b.Entries = append(b.Entries, Entry{
		Chat:      r.chat,
		Last:      last,
		Second:    second,
		Displaced: r.hasFlag(flagDisplaced),
		Age:       time.Duration(age) * time.Second,
	})
}

func (b *batchWriter) instanceIndex(id InstanceID) int {
	if b.locations.openOrNone(id) == NoInstance {
		return -1
	}
	if index, known := b.indexes[id]; known {
		return index
	}
	instance := &b.locations.instances[id]
	b.Instances = append(b.Instances, Instance{instance.target, instance.incarnation})
	b.indexes[id] = len(b.Instances) - 1
	return len(b.Instances) - 1
}
