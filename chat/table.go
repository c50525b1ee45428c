package chat

// table maps keys to slab indexes. It uses open addressing with linear probing and is
// at most three quarters full. A slot holds the index plus one; 0 is empty.
type table struct {
	slots []uint32
	count int
	keyAt func(index uint32) Key
}

func newTable(keyAt func(uint32) Key) table {
	return table{slots: make([]uint32, 64), keyAt: keyAt}
}

func (t *table) homeSlot(key Key) int {
	return int(uint64(key)*0x9e3779b97f4a7c15>>32) & (len(t.slots) - 1)
}

// findSlot returns the slot that holds key, or the empty slot where key belongs.
func (t *table) findSlot(key Key) (slot int, found bool) {
	mask := len(t.slots) - 1
	for slot = t.homeSlot(key); t.slots[slot] != 0; slot = (slot + 1) & mask {
		if t.keyAt(t.slots[slot]-1) == key {
			return slot, true
		}
	}
	return slot, false
}

func (t *table) get(key Key) (index uint32, found bool) {
	slot, found := t.findSlot(key)
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
	slot, _ := t.findSlot(key)
	t.slots[slot] = index + 1
	t.count++
}

func (t *table) grow() {
	old := t.slots
	t.slots = make([]uint32, 2*len(old))
	for _, entry := range old {
		if entry != 0 {
			slot, _ := t.findSlot(t.keyAt(entry - 1))
			t.slots[slot] = entry
		}
	}
}

// remove removes a key and moves later entries of its probe sequence back.
func (t *table) remove(key Key) {
	hole, found := t.findSlot(key)
	if !found {
		return
	}
	mask := len(t.slots) - 1
	for next := (hole + 1) & mask; t.slots[next] != 0; next = (next + 1) & mask {
		home := t.homeSlot(t.keyAt(t.slots[next] - 1))
		if (next-home)&mask >= (next-hole)&mask {
			t.slots[hole] = t.slots[next]
			hole = next
		}
	}
	t.slots[hole] = 0
	t.count--
}
