package journal_test

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/journal"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestReopenKeepsAll(t *testing.T) {
	folder := t.TempDir()
	log, err := journal.Open(folder)
	require.NoError(t, err)
	require.NoError(t, log.Append([]byte("term 1"), []uint64{1, 2}, bytesOf([]string{"a", "b"})))
	require.NoError(t, log.Append(nil, []uint64{3}, bytesOf([]string{"c"})))
	require.NoError(t, log.Append([]byte("term 2"), nil, nil))
	_, err = journal.Open(folder)
	require.ErrorIs(t, err, journal.ErrLocked)
	require.NoError(t, log.Close())
	require.ErrorIs(t, log.Append(nil, []uint64{4}, bytesOf([]string{"d"})), journal.ErrClosed)

	log, err = journal.Open(folder)
	require.NoError(t, err)
	defer log.Close()
	require.Equal(t, contents{state: "term 2", first: 1, records: []string{"a", "b", "c"}}, load(t, log))
}

func TestAppendReplacesTail(t *testing.T) {
	folder := t.TempDir()
	log, err := journal.Open(folder)
	require.NoError(t, err)
	require.NoError(t, log.Append(nil, []uint64{1, 2, 3, 4}, bytesOf([]string{"a", "b", "c", "d"})))
	require.NoError(t, log.Append(nil, []uint64{2}, bytesOf([]string{"B"})))
	require.NoError(t, log.Append(nil, []uint64{3}, bytesOf([]string{"C"})))
	require.Equal(t, []string{"a", "B", "C"}, load(t, log).records)
	require.NoError(t, log.Close())
	log, err = journal.Open(folder)
	require.NoError(t, err)
	defer log.Close()
	require.Equal(t, []string{"a", "B", "C"}, load(t, log).records)
}

func TestRefusedIndexes(t *testing.T) {
	log, err := journal.Open(t.TempDir())
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
		require.ErrorIs(t, call(), journal.ErrInvalidIndex, name)
	}
	require.Equal(t, contents{snapshotIndex: 2, snapshot: "s", first: 3, records: []string{"c"}}, load(t, log))
}

func TestFullDiskLosesNothing(t *testing.T) {
	folder := t.TempDir()
	for capacity := 100; capacity < 600; capacity += 7 {
		files := newMemory()
		log, err := journal.Open(folder, journal.WithFileSystem(files), journal.WithSegmentBytes(120))
		require.NoError(t, err)
		files.capacity = capacity
		held := contents{first: 1, records: []string{}}
		var refused error
		for refused == nil {
			record := fmt.Sprintf("record %d", held.last()+1)
			refused = log.Append([]byte("s"), []uint64{held.last() + 1}, bytesOf([]string{record}))
			if refused == nil {
				held = held.append("s", held.last()+1, []string{record})
			}
		}
		require.ErrorIs(t, refused, journal.ErrDiskFull)
		require.ErrorIs(t, log.SaveSnapshot(1, make([]byte, 700)), journal.ErrDiskFull)
		require.Equal(t, held, load(t, log))

		files.capacity = 0
		require.NoError(t, log.Append(nil, []uint64{held.last() + 1}, bytesOf([]string{"after"})))
		held = held.append("", held.last()+1, []string{"after"})
		require.NoError(t, log.Close())
		log, err = journal.Open(folder, journal.WithFileSystem(files))
		require.NoError(t, err)
		require.Equal(t, held, load(t, log))
		require.NoError(t, log.Close())
	}
}

func TestFailedSyncEndsJournal(t *testing.T) {
	for name, call := range map[string]func(*journal.Journal) error{
		"append":   func(log *journal.Journal) error { return log.Append(nil, []uint64{2}, bytesOf([]string{"b"})) },
		"snapshot": func(log *journal.Journal) error { return log.SaveSnapshot(1, []byte("s")) },
		"truncate": func(log *journal.Journal) error { return log.Truncate(0) },
	} {
		files := newMemory()
		log, err := journal.Open(t.TempDir(), journal.WithFileSystem(files))
		require.NoError(t, err)
		require.NoError(t, log.Append(nil, []uint64{1}, bytesOf([]string{"a"})))
		files.failSync = 1
		require.ErrorIs(t, call(log), journal.ErrFailed, name)
		syncs, calls := files.syncs, files.calls
		require.ErrorIs(t, log.Append(nil, []uint64{2}, bytesOf([]string{"b"})), journal.ErrFailed, name)
		require.ErrorIs(t, log.SaveSnapshot(1, nil), journal.ErrFailed, name)
		require.ErrorIs(t, log.Truncate(0), journal.ErrFailed, name)
		require.Equal(t, []int{syncs, calls}, []int{files.syncs, files.calls}, "nothing may touch the disk again")
		require.NoError(t, log.Close())
	}
}

// TestOpenSyncsWhatItReads has a failed sync leave bytes that only memory holds.
func TestOpenSyncsWhatItReads(t *testing.T) {
	folder := t.TempDir()
	files := newMemory()
	log, err := journal.Open(folder, journal.WithFileSystem(files))
	require.NoError(t, err)
	files.failSync = 1
	require.ErrorIs(t, log.Append(nil, []uint64{1}, bytesOf([]string{"a"})), journal.ErrFailed)
	require.NoError(t, log.Close())
	log, err = journal.Open(folder, journal.WithFileSystem(files))
	require.NoError(t, err)
	require.Equal(t, []string{"a"}, load(t, log).records)
	require.NoError(t, log.Close())
	for _, node := range files.seen {
		require.Equal(t, node.seen, node.synced)
	}
}

func TestMissingSegment(t *testing.T) {
	folder := t.TempDir()
	log, err := journal.Open(folder, journal.WithSegmentBytes(50))
	require.NoError(t, err)
	for index := uint64(1); index <= 9; index++ {
		require.NoError(t, log.Append(nil, []uint64{index}, bytesOf([]string{"a record that fills a segment"})))
	}
	require.NoError(t, log.Close())
	for _, name := range []string{"segment-0000000000000001", "segment-0000000000000002"} {
		content, err := os.ReadFile(folder + "/" + name)
		require.NoError(t, err)
		require.NoError(t, os.Remove(folder+"/"+name))
		_, err = journal.Open(folder)
		require.ErrorIs(t, err, journal.ErrCorrupt, name)
		require.NoError(t, os.WriteFile(folder+"/"+name, content, 0o600))
	}
}

func TestDamagedSnapshot(t *testing.T) {
	folder := t.TempDir()
	log, err := journal.Open(folder)
	require.NoError(t, err)
	require.NoError(t, log.SaveSnapshot(5, []byte("snapshot")))
	require.NoError(t, log.Close())
	older := folder + "/snapshot-0000000000000003"
	require.NoError(t, os.WriteFile(older, []byte("left by a crash"), 0o600))
	name := folder + "/snapshot-0000000000000005"
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for offset := range whole {
		content := append([]byte{}, whole...)
		content[offset] ^= 4
		require.NoError(t, os.WriteFile(name, content, 0o600))
		_, err = journal.Open(folder)
		require.ErrorIs(t, err, journal.ErrCorrupt, "offset %d", offset)
		require.True(t, strings.Contains(err.Error(), name))
		require.FileExists(t, older, "a refused journal must stay as it was")
	}
	require.NoError(t, os.WriteFile(name, whole, 0o600))
	log, err = journal.Open(folder)
	require.NoError(t, err)
	require.NoError(t, log.Close())
	require.NoFileExists(t, older)
}

// TestBoundedDisk takes a snapshot now and then over many changes.
func TestBoundedDisk(t *testing.T) {
	folder := t.TempDir()
	files := newMemory()
	log, err := journal.Open(folder, journal.WithFileSystem(files), journal.WithSegmentBytes(4<<10))
	require.NoError(t, err)
	defer log.Close()
	snapshot := make([]byte, 2<<10)
	for index := uint64(1); index <= 200_000; index += 10 {
		require.NoError(t, log.Append([]byte("s"), indexesFrom(index, 10), make([][]byte, 10)))
		if index%1000 == 1 {
			require.NoError(t, log.SaveSnapshot(index, snapshot))
		}
	}
	// 1,000 records of 21 bytes, a snapshot, and the rest of two segments.
	require.Less(t, files.used(), 1000*21+3<<10+2*(5<<10))
}
