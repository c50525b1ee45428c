package ledger_test

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
)

// losePower returns the file system after a loss of power that kept the directory changes
// whose bit is set in kept, and unsynced data if keptData is set.
func (m *memoryFileSystem) losePower(kept int, keptData bool) *memoryFileSystem {
	names := maps.Clone(m.synced)
	for i, apply := range m.pending {
		if kept&(1<<i) != 0 {
			apply(names)
		}
	}
	after := newMemoryFileSystem()
	for name, node := range names {
		content := node.synced
		if keptData {
			content = node.cached
		}
		after.cached[name] = &inode{cached: slices.Clone(content), synced: slices.Clone(content)}
	}
	after.synced = maps.Clone(after.cached)
	return after
}

const killTestSegmentBytes = 120

// ledgerCall is one change of a ledger.
type ledgerCall func(*ledger.Ledger) error

// appendRecord and the functions after it return calls that store the same state.
func appendRecord(index uint64) ledgerCall {
	return func(log *ledger.Ledger) error {
		return log.Append([]byte("identity"), []uint64{index}, [][]byte{[]byte("a record of some length")})
	}
}

func appendRecords(first, last uint64) (calls []ledgerCall) {
	for index := first; index <= last; index++ {
		calls = append(calls, appendRecord(index))
	}
	return calls
}

func saveSnapshot(index uint64) ledgerCall {
	return func(log *ledger.Ledger) error { return log.SaveSnapshot(index, []byte("snapshot")) }
}

func appendStates(count int) (calls []ledgerCall) {
	for range count {
		calls = append(calls, func(log *ledger.Ledger) error { return log.Append([]byte("identity"), nil, nil) })
	}
	return calls
}

// killedLedger returns the file system of a ledger whose process was killed after a number of
// file system calls in the changes that follow prepared, what was acknowledged by then, and
// whether all changes had ended.
func killedLedger(t *testing.T, dir string, prepared, changes []ledgerCall, calls int) (files *memoryFileSystem, acknowledged contents, ended bool) {
	files = newMemoryFileSystem()
	log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(killTestSegmentBytes))
	require.NoError(t, err)
	for _, call := range prepared {
		require.NoError(t, call(log))
	}
	files.failAt = files.calls + calls
	ended = true
	acknowledged = load(t, log)
	for _, call := range changes {
		if ended = call(log) == nil; !ended {
			break
		}
		acknowledged = load(t, log)
	}
	require.NoError(t, log.Close())
	files.failAt = 0
	return files, acknowledged, ended
}

// Guards against losing acknowledged records, or the state with the replica's identity, in a
// loss of power while the ledger is opened after a kill: what the killed process renamed is
// not durable yet, and Open must not remove what it replaces before. Every kill and
// every loss of power is tried, with every subset of the names.
func TestKillThenPowerLossWhileOpening_KeepsAcknowledgedRecords(t *testing.T) {
	for name, test := range map[string]struct{ prepared, changes []ledgerCall }{
		"first snapshot":         {appendRecords(1, 6), []ledgerCall{saveSnapshot(6)}},
		"next snapshot":          {append(appendRecords(1, 6), saveSnapshot(3)), []ledgerCall{saveSnapshot(6)}},
		"next segment":           {appendRecords(1, 2), appendRecords(3, 5)},
		"next segment, snapshot": {append(appendRecords(1, 2), saveSnapshot(2)), appendRecords(3, 5)},
		"states only":            {appendStates(7), appendStates(7)},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			for ended, kill := false, 1; !ended; kill++ {
				var acknowledged contents
				killed := func() (files *memoryFileSystem) {
					files, acknowledged, ended = killedLedger(t, dir, test.prepared, test.changes, kill)
					return files
				}
				for opened, calls := false, 1; !opened; calls++ {
					files := killed()
					files.failAt = files.calls + calls
					log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(killTestSegmentBytes))
					if opened = err == nil; opened {
						require.NoError(t, log.Close())
					}
					requireKept(t, dir, files, acknowledged, kill, calls)
				}
			}
		})
	}
}

// requireKept requires that every loss of power leaves what was acknowledged. kill and calls
// tell when the process was killed, and when the power was lost.
func requireKept(t *testing.T, dir string, files *memoryFileSystem, acknowledged contents, kill, calls int) {
	t.Helper()
	for kept := range 1 << len(files.pending) {
		for _, keptData := range []bool{false, true} {
			after := files.losePower(kept, keptData)
			log, err := ledger.Open(dir, ledger.WithFileSystem(after), ledger.WithSegmentBytes(killTestSegmentBytes))
			require.NoError(t, err, "kill at call %d, loss of power at call %d, kept names %b", kill, calls, kept)
			got := load(t, log)
			require.NoError(t, log.Close())
			require.Equal(t, "identity", got.state, "kill at call %d, loss of power at call %d, kept names %b", kill, calls, kept)
			require.GreaterOrEqual(t, got.snapshotIndex, acknowledged.snapshotIndex)
			require.GreaterOrEqual(t, got.last(), acknowledged.last(), "kill at call %d, loss of power at call %d, kept names %b", kill, calls, kept)
		}
	}
}
