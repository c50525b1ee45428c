package journal

import "github.com/go-faster/errors"

// replay rebuilds the log from its records in the order of writing.
type replay struct {
	snapshotIndex uint64
	// keep is set to hold the payloads and not only the indexes.
	keep    bool
	state   []byte
	last    uint64
	first   uint64
	records [][]byte
}

func newReplay(snapshotIndex uint64, keep bool) *replay {
	return &replay{snapshotIndex: snapshotIndex, keep: keep, first: 1}
}

// apply takes one record. An error means that records are missing.
func (r *replay) apply(decoded record) error {
	switch decoded.kind {
	case kindState:
		r.state = append([]byte{}, decoded.payload...)
		return nil
	case kindTruncate:
		r.truncate(decoded.index)
		return nil
	}
	if decoded.index == 0 {
		return errors.New("record with index 0")
	}
	if decoded.index > r.last+1 && decoded.index > r.snapshotIndex+1 {
		return errors.Errorf("record %d follows %d", decoded.index, r.last)
	}
	r.add(decoded)
	return nil
}

// add takes an entry, after dropping those at and after its index. A gap below
// the snapshot starts anew.
func (r *replay) add(decoded record) {
	if decoded.index > r.last+1 || decoded.index < r.first {
		r.first = decoded.index
		r.records = nil
	} else {
		r.truncate(decoded.index - 1)
	}
	r.last = decoded.index
	if r.keep {
		r.records = append(r.records, decoded.payload)
	}
}

func (r *replay) truncate(last uint64) {
	if last >= r.last {
		return
	}
	r.last = last
	kept := uint64(0)
	if last+1 > r.first {
		kept = last + 1 - r.first
	}
	if r.keep {
		r.records = r.records[:min(kept, uint64(len(r.records)))]
	}
}

// contents returns the records above the snapshot.
func (r *replay) contents() (indexes []uint64, records [][]byte) {
	for i, payload := range r.records {
		index := r.first + uint64(i)
		if index > r.snapshotIndex {
			indexes = append(indexes, index)
			records = append(records, payload)
		}
	}
	return indexes, records
}
