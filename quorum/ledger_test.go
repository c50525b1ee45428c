package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// memoryLedger is a strict Ledger in memory. writesLeft is the number of
// writes that still succeed; later ones fail without an effect, as after a
// crash. A negative value sets no limit. With tearNext, the first write that fails leaves
// the state and keptRecords of its records behind, as a torn write does.
type memoryLedger struct {
	state         []byte
	snapshotIndex uint64
	snapshot      []byte
	indexes       []uint64
	records       [][]byte
	writesLeft    int
	tearNext      bool
	keptRecords   int
}

var (
	errCrash = errors.New("crashed")
	errGap   = errors.New("records are not contiguous")
)

func newMemoryLedger() *memoryLedger { return &memoryLedger{writesLeft: -1} }

func (j *memoryLedger) countWrite() error {
	if j.writesLeft == 0 {
		return errCrash
	}
	if j.writesLeft > 0 {
		j.writesLeft--
	}
	return nil
}

func (j *memoryLedger) Append(state []byte, indexes []uint64, records [][]byte) error {
	err := j.countWrite()
	if err != nil {
		if !j.tearNext {
			return err
		}
		j.tearNext = false
		kept := min(j.keptRecords, len(indexes))
		indexes, records = indexes[:kept], records[:kept]
	}
	if state != nil {
		j.state = slices.Clone(state)
	}
	for i, index := range indexes {
		if at := slices.Index(j.indexes, index); at >= 0 {
			j.indexes, j.records = j.indexes[:at], j.records[:at]
		}
		before := j.snapshotIndex
		if len(j.indexes) > 0 {
			before = j.indexes[len(j.indexes)-1]
		}
		if index != before+1 {
			return errors.Wrapf(errGap, "%d after %d", index, before)
		}
		j.indexes = append(j.indexes, index)
		j.records = append(j.records, slices.Clone(records[i]))
	}
	return err
}

func (j *memoryLedger) SaveSnapshot(index uint64, data []byte) error {
	if err := j.countWrite(); err != nil {
		return err
	}
	j.snapshotIndex, j.snapshot = index, slices.Clone(data)
	for len(j.indexes) > 0 && j.indexes[0] <= index {
		j.indexes, j.records = j.indexes[1:], j.records[1:]
	}
	return nil
}

func (j *memoryLedger) Load() ([]byte, uint64, []byte, []uint64, [][]byte, error) {
	return j.state, j.snapshotIndex, j.snapshot, slices.Clone(j.indexes), slices.Clone(j.records), nil
}

func (j *memoryLedger) Close() error { return nil }

func makeEntries(term uint64, indexes ...uint64) []Entry {
	var entries []Entry
	for _, index := range indexes {
		entries = append(entries, Entry{Index: index, Term: term, Data: fmt.Append(nil, index)})
	}
	return entries
}

func TestLedgerStorageReplacesTail(t *testing.T) {
	s := NewLedgerStorage(newMemoryLedger())
	state := HardState{Cluster: "c", ID: "a", Host: "h", Term: 2, Vote: "b", Commit: 1}
	require.NoError(t, s.Save(state, makeEntries(1, 1, 2, 3)))
	require.NoError(t, s.Save(state, makeEntries(2, 2)))
	loaded, _, entries, err := s.Load()
	require.NoError(t, err)
	require.Equal(t, state, loaded)
	require.Equal(t, append(makeEntries(1, 1), makeEntries(2, 2)...), entries)
}

func TestLedgerStorageSnapshotKeepsMatchingTail(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}}
	for _, reload := range []bool{false, true} {
		s := NewLedgerStorage(newMemoryLedger())
		state := HardState{ID: "a", Host: "h", Term: 2}
		require.NoError(t, s.Save(state, append(makeEntries(1, 1, 2), makeEntries(2, 3, 4)...)))
		if reload {
			_, _, _, err := s.Load()
			require.NoError(t, err)
		}
		require.NoError(t, s.SaveSnapshot(Snapshot{Index: 3, Term: 2, Members: members, Data: []byte("x")}))
		_, snapshot, entries, err := s.Load()
		require.NoError(t, err)
		require.Equal(t, uint64(3), snapshot.Index)
		require.Equal(t, makeEntries(2, 4), entries)
	}
}

// A snapshot that conflicts with the stored entries drops the entries from its
// index on, also if the host crashes between the two writes. The earlier
// entries are kept until the snapshot is durable.
func TestLedgerStorageSnapshotDropsConflictingTail(t *testing.T) {
	snapshot := Snapshot{Index: 3, Term: 5, Members: []Member{{ID: "a", Voter: true}}}
	for writes := range 3 {
		j := newMemoryLedger()
		s := NewLedgerStorage(j)
		require.NoError(t, s.Save(HardState{ID: "a", Host: "h", Term: 2}, makeEntries(1, 1, 2, 3, 4)))
		j.writesLeft = writes
		err := s.SaveSnapshot(snapshot)
		_, loaded, entries, loadErr := s.Load()
		require.NoError(t, loadErr)
		switch writes {
		case 0:
			require.ErrorIs(t, err, errCrash)
			require.Equal(t, makeEntries(1, 1, 2, 3, 4), entries)
		case 1:
			require.ErrorIs(t, err, errCrash)
			require.Equal(t, makeEntries(1, 1, 2), entries)
		case 2:
			require.NoError(t, err)
			require.Equal(t, uint64(3), loaded.Index)
			require.Empty(t, entries)
			j.writesLeft = -1
			require.NoError(t, s.Save(HardState{ID: "a", Host: "h", Term: 5}, makeEntries(5, 4)))
		}
	}
}

func TestLedgerStorageRejectsGaps(t *testing.T) {
	j := newMemoryLedger()
	s := NewLedgerStorage(j)
	require.NoError(t, s.Save(HardState{ID: "a", Host: "h"}, makeEntries(1, 1, 2, 3)))
	j.indexes = slices.Delete(j.indexes, 1, 2)
	j.records = slices.Delete(j.records, 1, 2)
	_, _, _, err := s.Load()
	require.ErrorIs(t, err, ErrCorrupt)
}

// failingLedger rejects all calls from a failed write until it recovers.
type failingLedger struct {
	*memoryLedger
	recoverErr error
	recoveries int
}

func (j *failingLedger) Recover() error {
	j.recoveries++
	if j.recoverErr == nil {
		j.writesLeft = -1
	}
	return j.recoverErr
}

// Guards against a storage that never accepts a write again after one has failed.
func TestLedgerStorage_RecoversBeforeNextWrite(t *testing.T) {
	j := &failingLedger{memoryLedger: newMemoryLedger()}
	s := NewLedgerStorage(j)
	state := HardState{ID: "a", Host: "h", Term: 2}
	require.NoError(t, s.Save(state, makeEntries(1, 1, 2)))
	snapshot := Snapshot{Index: 1, Term: 1, Members: []Member{{ID: "a", Voter: true}}}
	for _, write := range []func() error{
		func() error { return s.Save(state, makeEntries(2, 3)) },
		func() error { return s.SaveSnapshot(snapshot) },
	} {
		j.writesLeft, j.recoverErr, j.recoveries = 0, errCrash, 0
		require.ErrorIs(t, write(), errCrash)
		require.Zero(t, j.recoveries)
		require.ErrorIs(t, write(), errCrash)
		require.Equal(t, 1, j.recoveries)
		j.recoverErr = nil
		require.NoError(t, write())
		require.NoError(t, write())
		require.Equal(t, 2, j.recoveries, "a ledger that accepts writes needs no recovery")
	}
	_, loaded, entries, err := s.Load()
	require.NoError(t, err)
	require.Equal(t, uint64(1), loaded.Index)
	require.Equal(t, append(makeEntries(1, 2), makeEntries(2, 3)...), entries)
}
