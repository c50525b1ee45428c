package ledger

import "github.com/go-faster/errors"

// replay rebuilds the log from its records in the order in which they were
// written.
type replay struct {
	snapshotIndex uint64
	// keepPayloads is set to keep the payloads in addition to the indexes.
	keepPayloads bool
	state        []byte
	// last and first are the indexes of the last and the first entry.
	last  uint64
	first uint64
	// records are the payloads of the entries.
	records [][]byte
	// afterGap is set behind a missing segment until a record shows that the snapshot
	// covers what is missing.
	afterGap bool
}

func newReplay(snapshotIndex uint64, keepPayloads bool) *replay {
	return &replay{snapshotIndex: snapshotIndex, keepPayloads: keepPayloads, first: 1}
}

// skipGap drops the entries before a missing segment.
func (r *replay) skipGap() {
	r.afterGap = true
	r.first, r.last, r.records = 1, 0, nil
}

// errUncoveredGap reports a missing segment whose records no snapshot covers.
var errUncoveredGap = errors.New("the preceding segment is missing")

// apply processes one record. It returns an error if records are missing before
// it.
func (r *replay) apply(decoded record) error {
	switch decoded.kind {
	case kindState:
		r.state = append([]byte{}, decoded.payload...)
		return nil
	case kindTruncate:
		if r.afterGap && decoded.index > r.snapshotIndex {
			return errUncoveredGap
		}
		r.afterGap = false
		r.truncate(decoded.index)
		return nil
	}
	if r.afterGap && decoded.index > r.snapshotIndex+1 {
		return errUncoveredGap
	}
	r.afterGap = false
	if decoded.index == 0 {
		return errors.New("record has index 0")
	}
	if decoded.index > r.last+1 && decoded.index > r.snapshotIndex+1 {
		return errors.Errorf("record %d follows record %d", decoded.index, r.last)
	}
	r.add(decoded)
	return nil
}

// add appends an entry after dropping the entries at and after its index. An entry
// that precedes the first one, or leaves a gap, replaces all entries; apply
// rejects gaps above the snapshot.
func (r *replay) add(decoded record) {
	if decoded.index > r.last+1 || decoded.index < r.first {
		r.first = decoded.index
		r.records = nil
	} else {
		r.truncate(decoded.index - 1)
	}
	r.last = decoded.index
	if r.keepPayloads {
		r.records = append(r.records, decoded.payload)
	}
}

// truncate drops the entries after last.
func (r *replay) truncate(last uint64) {
	if last >= r.last {
		return
	}
	r.last = last
	kept := uint64(0)
	if last+1 > r.first {
		kept = last + 1 - r.first
	}
	if r.keepPayloads {
		r.records = r.records[:min(kept, uint64(len(r.records)))]
	}
}

// contents returns the entries after the snapshot.
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
