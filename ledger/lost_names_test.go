package ledger_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
)

// segmentNames returns the sorted paths of the segments.
func segmentNames(names map[string]*inode) []string {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(names)), func(name string) bool { return !strings.Contains(name, "/segment-") })
}

// writtenSegments returns a file system with a ledger of several segments, whose records
// are of the given indexes, and the segments' names.
func writtenSegments(t *testing.T, dir string, indexes ...uint64) (*memoryFileSystem, *ledger.Ledger, []string) {
	t.Helper()
	files := newMemoryFileSystem()
	log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(120))
	require.NoError(t, err)
	for _, index := range indexes {
		require.NoError(t, log.Append([]byte("state"), []uint64{index}, [][]byte{fmt.Append(nil, "a record of some length ", index)}))
	}
	return files, log, segmentNames(files.cached)
}

// restoredFiles returns a copy of the files with those of removed that are selected.
func restoredFiles(files *memoryFileSystem, removed map[string]*inode, selected func(i int) bool) *memoryFileSystem {
	after := newMemoryFileSystem()
	for name, node := range files.cached {
		after.cached[name] = &inode{cached: slices.Clone(node.cached), synced: slices.Clone(node.cached)}
	}
	for i, name := range slices.Sorted(maps.Keys(removed)) {
		if selected(i) {
			after.cached[name] = &inode{cached: slices.Clone(removed[name].cached), synced: slices.Clone(removed[name].cached)}
		}
	}
	after.synced = maps.Clone(after.cached)
	return after
}

// Guards against replicas that don't start after a loss of power behind a snapshot: the
// disk may have kept the names of any of the segments that the snapshot covers. The snapshot
// is taken at each index, so that the next segment starts with or without records.
func TestPowerLoss_AnyRemovedSegmentsReturn(t *testing.T) {
	const records = 12
	for snapshotIndex := uint64(1); snapshotIndex <= records; snapshotIndex++ {
		dir := t.TempDir()
		indexes := indexesFrom(1, records)
		files, log, before := writtenSegments(t, dir, indexes...)
		all := maps.Clone(files.cached)
		if snapshotIndex == records {
			// The last segment has no record of its own yet.
			require.NoError(t, log.Truncate(records))
		}
		require.NoError(t, log.SaveSnapshot(snapshotIndex, []byte("snapshot")))
		want := load(t, log)
		require.NoError(t, log.Close())
		removed := map[string]*inode{}
		for _, name := range before {
			if files.cached[name] == nil {
				removed[name] = all[name]
			}
		}
		for subset := range 1 << len(removed) {
			after := restoredFiles(files, removed, func(i int) bool { return subset&(1<<i) != 0 })
			log, err := ledger.Open(dir, ledger.WithFileSystem(after))
			require.NoError(t, err, "snapshot at %d, kept names %b of %d", snapshotIndex, subset, len(removed))
			require.Equal(t, want, load(t, log))
			require.NoError(t, log.Append(nil, []uint64{want.last() + 1}, [][]byte{[]byte("next")}))
			require.NoError(t, log.Close())
		}
	}
}

// A segment with records that no snapshot covers is missing, which no loss of power
// explains. Open must report that rather than drop acknowledged records, whatever the
// segments behind it contain.
func TestMissingSegment_WithUncoveredRecordsIsReported(t *testing.T) {
	for _, snapshotIndex := range []uint64{0, 2} {
		dir := t.TempDir()
		files, log, names := writtenSegments(t, dir, indexesFrom(1, 12)...)
		if snapshotIndex > 0 {
			require.NoError(t, log.SaveSnapshot(snapshotIndex, []byte("snapshot")))
		}
		require.NoError(t, log.Close())
		names = segmentNames(files.cached)
		require.Greater(t, len(names), 3)
		for _, missing := range names[1 : len(names)-1] {
			after := restoredFiles(files, nil, nil)
			delete(after.cached, missing)
			_, err := ledger.Open(dir, ledger.WithFileSystem(after))
			require.ErrorIs(t, err, ledger.ErrCorrupt, "%s is missing", missing)
		}
	}
}

// With only a state in the segments behind the missing one, no index shows the gap.
func TestMissingSegment_BeforeStatesIsReported(t *testing.T) {
	dir := t.TempDir()
	files, log, _ := writtenSegments(t, dir, indexesFrom(1, 6)...)
	require.NoError(t, log.SaveSnapshot(1, []byte("snapshot")))
	for range 8 {
		require.NoError(t, log.Append([]byte("a state that fills the segment without any record"), nil, nil))
	}
	require.NoError(t, log.Close())
	names := segmentNames(files.cached)
	for _, missing := range names[1 : len(names)-1] {
		after := restoredFiles(files, nil, nil)
		delete(after.cached, missing)
		_, err := ledger.Open(dir, ledger.WithFileSystem(after))
		var corrupt *ledger.CorruptError
		require.True(t, errors.As(err, &corrupt), "%s is missing: %v", missing, err)
	}
}

// A file that only an earlier segment can precede is there, but no segment is. Open must report
// that rather than begin an empty ledger, in which a replica would get a new identity.
func TestMissingSegments_BesideLaterTemporaryFileIsReported(t *testing.T) {
	for name, isDamage := range map[string]bool{
		"segment-0000000000000001.tmp":  false,
		"segment-0000000000000002.tmp":  true,
		"snapshot-0000000000000005.tmp": true,
	} {
		dir := t.TempDir()
		files := newMemoryFileSystem()
		files.cached[dir+"/"+name] = &inode{}
		log, err := ledger.Open(dir, ledger.WithFileSystem(files))
		if !isDamage {
			require.NoError(t, err)
			require.NoError(t, log.Close())
			continue
		}
		require.ErrorIs(t, err, ledger.ErrCorrupt, name)
		require.Contains(t, files.cached, dir+"/"+name)
	}
}
