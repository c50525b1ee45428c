package ledger_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
)

func TestInspect_ListsTheFolderAndChangesNothing(t *testing.T) {
	dir := t.TempDir()
	missing, err := ledger.Inspect(filepath.Join(dir, "missing"))
	require.NoError(t, err)
	require.Equal(t, "does not exist", missing.String())
	require.NoDirExists(t, filepath.Join(dir, "missing"))

	log, err := ledger.Open(dir, ledger.WithSegmentBytes(120))
	require.NoError(t, err)
	for index := uint64(1); index <= 6; index++ {
		require.NoError(t, log.Append([]byte("state"), []uint64{index}, [][]byte{[]byte("a record of some length")}))
	}
	require.NoError(t, log.SaveSnapshot(2, []byte("snapshot")))
	require.NoError(t, log.Close())
	require.NoError(t, os.WriteFile(filepath.Join(dir, "segment-0000000000000009.tmp"), nil, 0o600))
	require.NoError(t, os.Mkdir(filepath.Join(dir, "lost+found"), 0o700))
	segments, err := filepath.Glob(filepath.Join(dir, "segment-????????????????"))
	require.NoError(t, err)
	require.Equal(t, []string{"segment-0000000000000002", "segment-0000000000000005"}, []string{filepath.Base(segments[0]), filepath.Base(segments[len(segments)-1])})
	before, err := os.ReadDir(dir)
	require.NoError(t, err)
	found, err := ledger.Inspect(dir)
	require.NoError(t, err)
	after, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Equal(t, before, after)
	require.False(t, found.IsEmpty())
	require.Equal(t, ledger.Inventory{
		Exists: true, Segments: len(segments), FirstSegment: 2, LastSegment: 5, Snapshots: 1, SnapshotIndex: 2,
		Temporary: 1, Others: 1, OtherNames: []string{"lost+found"},
	}, found)
	require.Equal(t, `has segments: 4 (2 to 5), snapshots: 1 (index 2), temporary files: 1, other entries: 1 (["lost+found"])`, found.String())
}

// A folder with many entries must not fill the log.
func TestInspect_IsBounded(t *testing.T) {
	dir := t.TempDir()
	for i := range 100 {
		require.NoError(t, os.WriteFile(filepath.Join(dir, fmt.Sprint(i, strings.Repeat("x", 200))), nil, 0o600))
	}
	found, err := ledger.Inspect(dir)
	require.NoError(t, err)
	require.Equal(t, 100, found.Others)
	require.Less(t, len(found.String()), 1000)
}

// A ledger that was opened and not written to looks like an empty disk but for its files.
func TestInspect_LockFileAloneIsEmpty(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "lock"), nil, 0o600))
	found, err := ledger.Inspect(dir)
	require.NoError(t, err)
	require.True(t, found.IsEmpty())
	require.Equal(t, "is empty", found.String())
}
