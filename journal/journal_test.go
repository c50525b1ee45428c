package journal_test

import (
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/journal"
)

var _ = rapid.Check

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
	require.NoError(t, log.Append([]byte("term 1"), []uint64{1, 2}, [][]byte{[]byte("a"), []byte("b")}))
	require.NoError(t, log.Append(nil, []uint64{3}, [][]byte{[]byte("c")}))
	_, err = journal.Open(folder)
	require.ErrorIs(t, err, journal.ErrLocked)
	require.NoError(t, log.Close())

	log, err = journal.Open(folder)
	require.NoError(t, err)
	state, snapshotIndex, snapshot, indexes, records, err := log.Load()
	require.NoError(t, err)
	require.Equal(t, "term 1", string(state))
	require.Zero(t, snapshotIndex)
	require.Nil(t, snapshot)
	require.Equal(t, []uint64{1, 2, 3}, indexes)
	require.Equal(t, [][]byte{[]byte("a"), []byte("b"), []byte("c")}, records)
	require.NoError(t, log.Close())
}
