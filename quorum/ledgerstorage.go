package quorum

import (
	"math"

	"github.com/go-faster/errors"
)

// Ledger is the write-ahead log on disk that a LedgerStorage uses.
type Ledger interface {
	// Append writes a state, or keeps the stored one if it is nil, and records
	// with contiguous indexes. If the first index is not above the last stored
	// one, the records from that index on are dropped first. Everything is
	// durable on return, with one sync.
	Append(state []byte, indexes []uint64, records [][]byte) error
	// SaveSnapshot writes a snapshot durably and atomically and drops the
	// records up to the index. The next record has the index after the last
	// record, or after the snapshot if no record is left.
	SaveSnapshot(index uint64, data []byte) error
	// Load returns the stored data.
	Load() (state []byte, snapshotIndex uint64, snapshot []byte, indexes []uint64, records [][]byte, err error)
	Close() error
}

// RecoverableLedger is a Ledger that may reject all calls after a failed write.
type RecoverableLedger interface {
	Ledger
	// Recover durably drops what the failed write left behind, and makes the ledger
	// accept calls again.
	Recover() error
}

// LedgerStorage is a Storage that uses a Ledger.
type LedgerStorage struct {
	ledger Ledger
	terms  termRuns
	// failed is set after a failed write until the ledger has recovered.
	failed bool
}

// NewLedgerStorage returns a storage that uses the ledger. After a failed write, a
// RecoverableLedger recovers before the next one. The caller closes the ledger.
func NewLedgerStorage(ledger Ledger) *LedgerStorage {
	return &LedgerStorage{ledger: ledger}
}

// Save implements Storage.
func (s *LedgerStorage) Save(state HardState, entries []Entry) error {
	indexes := make([]uint64, len(entries))
	records := make([][]byte, len(entries))
	for i := range entries {
		indexes[i] = entries[i].Index
		records[i] = EncodeEntry(entries[i])
	}
	if err := s.append(EncodeHardState(state), indexes, records); err != nil {
		return errors.Wrap(err, "append to the ledger")
	}
	for i := range entries {
		s.terms.add(entries[i].Index, entries[i].Term)
	}
	return nil
}

// SaveSnapshot implements Storage. If the entry at the snapshot's index
// conflicts with the snapshot, an empty record first replaces that entry and the
// later ones: they are certainly not committed, whereas earlier ones may be.
func (s *LedgerStorage) SaveSnapshot(snapshot Snapshot) error {
	term, held := s.terms.term(snapshot.Index)
	conflict := held && term != snapshot.Term
	if conflict {
		if err := s.append(nil, []uint64{snapshot.Index}, [][]byte{{}}); err != nil {
			return errors.Wrap(err, "cut the ledger")
		}
		s.terms.truncate(snapshot.Index)
	}
	if err := s.saveSnapshot(snapshot.Index, EncodeSnapshot(snapshot)); err != nil {
		return errors.Wrap(err, "save a snapshot in the ledger")
	}
	s.terms.compact(snapshot.Index)
	return nil
}

func (s *LedgerStorage) append(state []byte, indexes []uint64, records [][]byte) error {
	return s.write(func() error { return s.ledger.Append(state, indexes, records) })
}

func (s *LedgerStorage) saveSnapshot(index uint64, data []byte) error {
	return s.write(func() error { return s.ledger.SaveSnapshot(index, data) })
}

// write writes to the ledger, which recovers first if the last write failed.
func (s *LedgerStorage) write(write func() error) error {
	if ledger, ok := s.ledger.(RecoverableLedger); ok && s.failed {
		if err := ledger.Recover(); err != nil {
			return err
		}
	}
	err := write()
	s.failed = err != nil
	return err
}

// Load implements Storage. It returns ErrCorrupt for invalid records.
func (s *LedgerStorage) Load() (HardState, Snapshot, []Entry, error) {
	var (
		state    HardState
		snapshot Snapshot
	)
	stateData, snapshotIndex, snapshotData, indexes, records, err := s.ledger.Load()
	if err != nil {
		return state, snapshot, nil, errors.Wrap(err, "load ledger")
	}
	if len(stateData) > 0 {
		if state, err = DecodeHardState(stateData); err != nil {
			return state, snapshot, nil, errors.Wrap(err, "load hard state")
		}
	}
	if snapshotIndex > 0 {
		if snapshot, err = DecodeSnapshot(snapshotData); err != nil {
			return state, snapshot, nil, errors.Wrap(err, "load snapshot")
		}
	}
	entries, err := decodeRecords(snapshot, indexes, records)
	if err != nil {
		return state, snapshot, nil, err
	}
	s.terms = termRuns{}
	for i := range entries {
		s.terms.add(entries[i].Index, entries[i].Term)
	}
	return state, snapshot, entries, nil
}

// decodeRecords returns the entries after the snapshot, up to an empty record,
// which replaces entries that conflicted with a snapshot.
func decodeRecords(snapshot Snapshot, indexes []uint64, records [][]byte) ([]Entry, error) {
	var entries []Entry
	for i, record := range records {
		if len(record) == 0 {
			break
		}
		if indexes[i] <= snapshot.Index {
			continue
		}
		e, err := DecodeEntry(record)
		if err != nil {
			return nil, errors.Wrapf(err, "load entry %d", indexes[i])
		}
		if e.Index != indexes[i] {
			return nil, errors.Wrapf(ErrCorrupt, "record %d holds entry %d", indexes[i], e.Index)
		}
		entries = append(entries, e)
	}
	return entries, validateEntries(snapshot.Index, snapshot.Term, math.MaxUint64, entries)
}

// termRuns holds the terms of contiguous entries as runs of equal terms; terms
// change rarely.
type termRuns struct {
	runs []termRun
	last uint64
}

// termRun is the first index of consecutive entries of one term.
type termRun struct {
	first uint64
	term  uint64
}

// add sets the term of the last entry and drops the entries that were stored
// from its index on.
func (r *termRuns) add(index, term uint64) {
	r.truncate(index)
	r.last = index
	if count := len(r.runs); count == 0 || r.runs[count-1].term != term {
		r.runs = append(r.runs, termRun{first: index, term: term})
	}
}

// truncate drops the entry at the index and all later ones.
func (r *termRuns) truncate(index uint64) {
	for len(r.runs) > 0 && r.runs[len(r.runs)-1].first >= index {
		r.runs = r.runs[:len(r.runs)-1]
	}
	r.last = min(r.last, index-1)
}

// compact drops the entries up to the index.
func (r *termRuns) compact(index uint64) {
	if index >= r.last {
		r.runs, r.last = nil, 0
		return
	}
	for len(r.runs) > 1 && r.runs[1].first <= index+1 {
		r.runs = r.runs[1:]
	}
	r.runs[0].first = max(r.runs[0].first, index+1)
}

// term returns the term of the entry at the index, and false if there is none.
func (r *termRuns) term(index uint64) (uint64, bool) {
	if index > r.last {
		return 0, false
	}
	for i := len(r.runs) - 1; i >= 0; i-- {
		if r.runs[i].first <= index {
			return r.runs[i].term, true
		}
	}
	return 0, false
}
