package ledger_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestReopenKeepsContents(t *testing.T) {
	dir := t.TempDir()
	log, err := ledger.Open(dir)
	require.NoError(t, err)
	require.NoError(t, log.Append([]byte("term 1"), []uint64{1, 2}, bytesOf([]string{"a", "b"})))
	require.NoError(t, log.Append(nil, []uint64{3}, bytesOf([]string{"c"})))
	require.NoError(t, log.Append([]byte("term 2"), nil, nil))
	_, err = ledger.Open(dir)
	require.ErrorIs(t, err, ledger.ErrLocked)
	require.NoError(t, log.Close())
	require.ErrorIs(t, log.Append(nil, []uint64{4}, bytesOf([]string{"d"})), ledger.ErrClosed)

	log, err = ledger.Open(dir)
	require.NoError(t, err)
	defer log.Close()
	require.Equal(t, contents{state: "term 2", first: 1, records: []string{"a", "b", "c"}}, load(t, log))
}

func TestAppendReplacesTail(t *testing.T) {
	dir := t.TempDir()
	log, err := ledger.Open(dir)
	require.NoError(t, err)
	require.NoError(t, log.Append(nil, []uint64{1, 2, 3, 4}, bytesOf([]string{"a", "b", "c", "d"})))
	require.NoError(t, log.Append(nil, []uint64{2}, bytesOf([]string{"B"})))
	require.NoError(t, log.Append(nil, []uint64{3}, bytesOf([]string{"C"})))
	require.Equal(t, []string{"a", "B", "C"}, load(t, log).records)
	require.NoError(t, log.Close())
	log, err = ledger.Open(dir)
	require.NoError(t, err)
	defer log.Close()
	require.Equal(t, []string{"a", "B", "C"}, load(t, log).records)
}

func TestInvalidIndexesRejected(t *testing.T) {
	log, err := ledger.Open(t.TempDir())
	require.NoError(t, err)
	defer log.Close()
	require.NoError(t, log.Append(nil, []uint64{1, 2, 3}, bytesOf([]string{"a", "b", "c"})))
	require.NoError(t, log.SaveSnapshot(2, []byte("s")))
	for name, call := range map[string]func() error{
		"gap":                  func() error { return log.Append(nil, []uint64{5}, bytesOf([]string{"e"})) },
		"hole within":          func() error { return log.Append(nil, []uint64{4, 6}, bytesOf([]string{"d", "f"})) },
		"below the snapshot":   func() error { return log.Append(nil, []uint64{2}, bytesOf([]string{"b"})) },
		"lengths differ":       func() error { return log.Append(nil, []uint64{4}, nil) },
		"older snapshot":       func() error { return log.SaveSnapshot(1, nil) },
		"truncate to snapshot": func() error { return log.Truncate(1) },
	} {
		require.ErrorIs(t, call(), ledger.ErrInvalidIndex, name)
	}
	require.Equal(t, contents{snapshotIndex: 2, snapshot: "s", first: 3, records: []string{"c"}}, load(t, log))
}

// A full disk must not lose acknowledged records or leave a part of the rejected
// batch behind, and the ledger must work again once space is available.
func TestDiskFullKeepsAcknowledgedRecords(t *testing.T) {
	dir := t.TempDir()
	for capacity := 100; capacity < 600; capacity += 7 {
		files := newMemoryFileSystem()
		log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(120))
		require.NoError(t, err)
		files.capacity = capacity
		acknowledged := contents{first: 1, records: []string{}}
		var appendErr error
		for appendErr == nil {
			record := fmt.Sprintf("record %d", acknowledged.last()+1)
			appendErr = log.Append([]byte("s"), []uint64{acknowledged.last() + 1}, bytesOf([]string{record}))
			if appendErr == nil {
				acknowledged = acknowledged.append("s", acknowledged.last()+1, []string{record})
			}
		}
		require.ErrorIs(t, appendErr, ledger.ErrDiskFull)
		require.ErrorIs(t, log.SaveSnapshot(1, make([]byte, 700)), ledger.ErrDiskFull)
		require.Equal(t, acknowledged, load(t, log))

		files.capacity = 0
		require.NoError(t, log.Append(nil, []uint64{acknowledged.last() + 1}, bytesOf([]string{"after"})))
		acknowledged = acknowledged.append("", acknowledged.last()+1, []string{"after"})
		require.NoError(t, log.Close())
		log, err = ledger.Open(dir, ledger.WithFileSystem(files))
		require.NoError(t, err)
		require.Equal(t, acknowledged, load(t, log))
		require.NoError(t, log.Close())
	}
}

// After a failed fsync, the page cache may hold pages that are marked clean but never
// reached the disk, so later calls must fail without another attempt to write.
func TestFailedSyncFailsLaterCalls(t *testing.T) {
	for name, call := range map[string]func(*ledger.Ledger) error{
		"append":   func(log *ledger.Ledger) error { return log.Append(nil, []uint64{2}, bytesOf([]string{"b"})) },
		"snapshot": func(log *ledger.Ledger) error { return log.SaveSnapshot(1, []byte("s")) },
		"truncate": func(log *ledger.Ledger) error { return log.Truncate(0) },
	} {
		files := newMemoryFileSystem()
		log, err := ledger.Open(t.TempDir(), ledger.WithFileSystem(files))
		require.NoError(t, err)
		require.NoError(t, log.Append(nil, []uint64{1}, bytesOf([]string{"a"})))
		files.failSync = 1
		require.ErrorIs(t, call(log), ledger.ErrFailed, name)
		syncs, calls := files.syncs, files.calls
		require.ErrorIs(t, log.Append(nil, []uint64{2}, bytesOf([]string{"b"})), ledger.ErrFailed, name)
		require.ErrorIs(t, log.SaveSnapshot(1, nil), ledger.ErrFailed, name)
		require.ErrorIs(t, log.Truncate(0), ledger.ErrFailed, name)
		require.Equal(t, []int{syncs, calls}, []int{files.syncs, files.calls}, "a failed ledger must not access the disk")
		require.NoError(t, log.Close())
	}
}

// Guards against acknowledging records that exist only in the page cache: a failed
// sync leaves such bytes behind, and Open must write and sync what it recovers.
func TestOpenSyncsRecoveredRecords(t *testing.T) {
	dir := t.TempDir()
	files := newMemoryFileSystem()
	log, err := ledger.Open(dir, ledger.WithFileSystem(files))
	require.NoError(t, err)
	files.failSync = 1
	require.ErrorIs(t, log.Append(nil, []uint64{1}, bytesOf([]string{"a"})), ledger.ErrFailed)
	require.NoError(t, log.Close())
	log, err = ledger.Open(dir, ledger.WithFileSystem(files))
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, load(t, log).records)
	require.NoError(t, log.Close())
	for _, node := range files.cached {
		require.Equal(t, node.cached, node.synced)
	}
}

func TestOpen_MissingSegmentIsCorrupt(t *testing.T) {
	dir := t.TempDir()
	log, err := ledger.Open(dir, ledger.WithSegmentBytes(50))
	require.NoError(t, err)
	for index := uint64(1); index <= 9; index++ {
		require.NoError(t, log.Append(nil, []uint64{index}, bytesOf([]string{"a record that fills a segment"})))
	}
	require.NoError(t, log.Close())
	for _, name := range []string{"segment-0000000000000001", "segment-0000000000000002"} {
		content, err := os.ReadFile(dir + "/" + name)
		require.NoError(t, err)
		require.NoError(t, os.Remove(dir+"/"+name))
		_, err = ledger.Open(dir)
		require.ErrorIs(t, err, ledger.ErrCorrupt, name)
		require.NoError(t, os.WriteFile(dir+"/"+name, content, 0o600))
	}
}

func TestOpen_DamagedSnapshotIsCorrupt(t *testing.T) {
	dir := t.TempDir()
	log, err := ledger.Open(dir)
	require.NoError(t, err)
	require.NoError(t, log.SaveSnapshot(5, []byte("snapshot")))
	require.NoError(t, log.Close())
	older := dir + "/snapshot-0000000000000003"
	require.NoError(t, os.WriteFile(older, []byte("left by a crash"), 0o600))
	name := dir + "/snapshot-0000000000000005"
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for offset := range whole {
		content := append([]byte{}, whole...)
		content[offset] ^= 4
		require.NoError(t, os.WriteFile(name, content, 0o600))
		_, err = ledger.Open(dir)
		require.ErrorIs(t, err, ledger.ErrCorrupt, "offset %d", offset)
		require.True(t, strings.Contains(err.Error(), name))
		require.FileExists(t, older, "a failed Open must not change the directory")
	}
	require.NoError(t, os.WriteFile(name, whole, 0o600))
	log, err = ledger.Open(dir)
	require.NoError(t, err)
	require.NoError(t, log.Close())
	require.NoFileExists(t, older)
}

// Regular snapshots must keep the disk usage bounded over many appends.
func TestSnapshotsBoundDiskUsage(t *testing.T) {
	dir := t.TempDir()
	files := newMemoryFileSystem()
	log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(4<<10))
	require.NoError(t, err)
	defer log.Close()
	snapshot := make([]byte, 2<<10)
	for index := uint64(1); index <= 200_000; index += 10 {
		require.NoError(t, log.Append([]byte("s"), indexesFrom(index, 10), make([][]byte, 10)))
		if index%1000 == 1 {
			require.NoError(t, log.SaveSnapshot(index, snapshot))
		}
	}
	// 1,000 records of 21 bytes each, a snapshot and the remainder of two segments.
	require.Less(t, files.used(), 1000*21+3<<10+2*(5<<10))
}
