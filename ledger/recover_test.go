package ledger_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/ledger"
)

// Guards against a ledger that refuses all writes for as long as its process runs, and
// against records of a failed call that take effect later: calls fail at any step, the ledger
// recovers, and what it holds must survive further calls and a loss of power.
func TestRecover_KeepsAcknowledgedRecords(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		files := newMemoryFileSystem()
		log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(150))
		require.NoError(t, err)
		acknowledged := contents{first: 1, records: []string{}}
		for callNumber := range rapid.IntRange(1, 40).Draw(t, "calls") {
			next := drawCall(t, acknowledged, callNumber)
			switch rapid.IntRange(0, 3).Draw(t, "fault") {
			case 0:
				files.failAt = files.calls + rapid.IntRange(1, 8).Draw(t, "failed call")
			case 1:
				files.failSync = 1
			}
			callErr := next.call(log)
			if callErr == nil {
				acknowledged = next.after[0]
			} else {
				require.ErrorIs(t, callErr, ledger.ErrFailed)
				if files.failAt > 0 && rapid.Bool().Draw(t, "disk still refuses writes") {
					require.ErrorIs(t, log.Recover(), ledger.ErrFailed)
					require.ErrorIs(t, next.call(log), ledger.ErrFailed)
				}
			}
			files.failAt, files.failSync = 0, 0
			require.NoError(t, log.Recover())
			held := load(t, log)
			if callErr != nil && held.snapshotIndex == acknowledged.snapshotIndex && held.snapshot != acknowledged.snapshot {
				// The snapshot at this index was replaced.
				acknowledged = next.after[0]
			}
			require.Equal(t, acknowledged, held)
		}
		require.NoError(t, log.Close())
		log, err = ledger.Open(dir, ledger.WithFileSystem(files.crash(t)))
		require.NoError(t, err)
		defer log.Close()
		require.Equal(t, acknowledged, load(t, log))
	})
}

// Neither a ledger that has not failed nor a closed one is changed.
func TestRecover_OnlyAfterFailure(t *testing.T) {
	files := newMemoryFileSystem()
	log, err := ledger.Open(t.TempDir(), ledger.WithFileSystem(files))
	require.NoError(t, err)
	require.NoError(t, log.Append(nil, []uint64{1}, bytesOf([]string{"a"})))
	calls := files.calls
	require.NoError(t, log.Recover())
	require.Equal(t, calls, files.calls)
	require.NoError(t, log.Close())
	require.ErrorIs(t, log.Recover(), ledger.ErrClosed)
}

// Guards against a disk that the ledger fills itself: while it refused removals, partially
// written and replaced files were left behind.
func TestRecover_RemovesFilesOfFailedCalls(t *testing.T) {
	dir := t.TempDir()
	for step := 1; step <= 12; step++ {
		files := newMemoryFileSystem()
		log, err := ledger.Open(dir, ledger.WithFileSystem(files))
		require.NoError(t, err)
		require.NoError(t, log.Append(nil, indexesFrom(1, 9), make([][]byte, 9)))
		for index := uint64(1); index <= 5; index++ {
			files.failAt = files.calls + step
			_ = log.SaveSnapshot(index, []byte("snapshot"))
			files.failAt = 0
			require.NoError(t, log.Recover())
		}
		require.NoError(t, log.SaveSnapshot(9, []byte("last")))
		names, err := files.List(dir)
		require.NoError(t, err)
		require.Len(t, names, 2, "step %d: %s", step, strings.Join(names, ", "))
		require.NoError(t, log.Close())
	}
}
