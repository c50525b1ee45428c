package ledger_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/ledger"
)

// Two ledgers in one directory must not remove each other's files, not even temporary ones, and
// a ledger must not create a directory that exists.
func TestNamePrefix_LedgersIgnoreEachOther(t *testing.T) {
	dir := t.TempDir()
	plain, err := ledger.Open(dir)
	require.NoError(t, err)
	require.NoError(t, plain.Append([]byte("state"), []uint64{1}, [][]byte{[]byte("one")}))
	prefixed, err := ledger.Open(dir, ledger.WithNamePrefix("other-"))
	require.NoError(t, err)
	require.NoError(t, prefixed.Append(nil, []uint64{1, 2}, [][]byte{[]byte("a"), []byte("b")}))
	require.NoError(t, prefixed.SaveSnapshot(1, []byte("snapshot")))
	_, err = ledger.Open(dir, ledger.WithNamePrefix("other-"))
	require.ErrorIs(t, err, ledger.ErrLocked)
	require.NoError(t, plain.Close())
	require.NoError(t, prefixed.Close())
	for _, temporary := range []string{"segment-0000000000000002.tmp", "other-segment-0000000000000002.tmp"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, temporary), nil, 0o600))
	}

	plain, err = ledger.Open(dir)
	require.NoError(t, err)
	require.NoFileExists(t, filepath.Join(dir, "segment-0000000000000002.tmp"))
	require.FileExists(t, filepath.Join(dir, "other-segment-0000000000000002.tmp"))
	require.Equal(t, contents{state: "state", first: 1, records: []string{"one"}}, load(t, plain))
	require.NoError(t, plain.Close())
	require.NoError(t, ledger.Remove(dir))
	prefixed, err = ledger.Open(dir, ledger.WithNamePrefix("other-"))
	require.NoError(t, err)
	require.Equal(t, contents{snapshotIndex: 1, snapshot: "snapshot", first: 2, records: []string{"b"}}, load(t, prefixed))
	require.NoError(t, prefixed.Close())
	found, err := ledger.Inspect(dir)
	require.NoError(t, err)
	require.Zero(t, found.Segments)
}
