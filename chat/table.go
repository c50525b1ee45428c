package chat

// table finds slab indexes by key: open addressing, linear probing, at most
// three quarters full. A slot holds the index plus one; 0 is empty.
type table struct {
	slots []uint32
	count int
	keyAt func(index uint32) Key
}

func newTable(keyAt func(uint32) Key) table {
	return table{slots: make([]uint32, 64), keyAt: keyAt}
}

func (t *table) start(key Key) int {
	return int(uint64(key)*0x9e3779b97f4a7c15>>32) & (len(t.slots) - 1)
}

// find returns the slot that holds key, or the empty slot where it belongs.
func (t *table) find(key Key) (slot int, found bool) {
	mask := len(t.slots) - 1
	for slot = t.start(key); t.slots[slot] != 0; slot = (slot + 1) & mask {
		if t.keyAt(t.slots[slot]-1) == key {
			return slot, true
		}
	}
	return slot, false
}

func (t *table) get(key Key) (index uint32, found bool) {
	slot, found := t.find(key)
	if !found {
		return 0, false
	}
	return t.slots[slot] - 1, true
}

// put adds a key that is not in the table.
func (t *table) put(key Key, index uint32) {
	if (t.count+1)*4 > len(t.slots)*3 {
		t.grow()
	}
	slot, _ := t.find(key)
	t.slots[slot] = index + 1
	t.count++
}

func (t *table) grow() {
	old := t.slots
	t.slots = make([]uint32, 2*len(old))
	for _, entry := range old {
		if entry != 0 {
			slot, _ := t.find(t.keyAt(entry - 1))
			t.slots[slot] = entry
		}
	}
}

// remove takes a key out and moves later entries of its run back.
func (t *table) remove(key Key) {
	hole, found := t.find(key)
	if !found {
		return
	}
	mask := len(t.slots) - 1
	for next := (hole + 1) & mask; t.slots[next] != 0; next = (next + 1) & mask {
		home := t.start(t.keyAt(t.slots[next] - 1))
		if (next-home)&mask >= (next-hole)&mask {
			t.slots[hole] = t.slots[next]
			hole = next
		}
	}
	t.slots[hole] = 0
	t.count--
}
