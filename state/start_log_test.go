package state

import (
	"bytes"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/peer"
)

// logBuffer is a log output that goroutines of a replica share.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// startLog opens a replica in the folder and returns its ID and the log of its start.
func startLog(t *testing.T, folder string, bootstrap bool) (id, text string) {
	t.Helper()
	out := &logBuffer{}
	log, err := logs.New(out, "info", "text")
	require.NoError(t, err)
	clock := clockwork.NewRealClock()
	node := peer.NewNode(peer.Config{Host: "h", Clock: clock}, func(string, peer.Message, peer.Reply) {})
	defer node.Close()
	replica, err := Open(Config{
		Host: "h", Address: "127.0.0.1:1", DataDir: folder, Node: node, Clock: clock, Log: log,
		Bootstrap: bootstrap, ClusterName: "test",
	})
	require.NoError(t, err)
	id = replica.Quorum.Status().ID
	replica.Close()
	return id, out.text.String()
}

// After an incident no log line told whether a hub had lost its disk or had started a new
// replica beside a disk that was kept.
func TestStart_LogTellsAnEmptyDiskFromOneThatWasKept(t *testing.T) {
	folder := t.TempDir()
	const identityIsNew, folderNotEmpty = "Identity changed: replica ", "was not empty"

	id, text := startLog(t, folder, true)
	require.Contains(t, text, "Folder "+folder+" is empty.")
	require.Contains(t, text, "Identity loaded: replica "+id)

	again, text := startLog(t, folder, false)
	require.Equal(t, id, again)
	require.Contains(t, text, "Folder "+folder+" has segments: 1 (1 to 1), snapshots: 1 (index 1).")
	require.Regexp(t, `Identity loaded: replica `+id+` of cluster \\"test-[0-9a-f]+\\" and host \\"h\\", term [1-9][0-9]*, vote `, text)
	require.NotContains(t, text, identityIsNew)

	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, entry := range entries {
		require.NoError(t, os.Remove(filepath.Join(folder, entry.Name())))
	}
	blank, text := startLog(t, folder, false)
	require.NotEqual(t, id, blank)
	require.Contains(t, text, "Folder "+folder+" is empty.")
	require.Contains(t, text, identityIsNew+blank+" is new")
	require.NotContains(t, text, folderNotEmpty)

	_, text = startLog(t, filepath.Join(folder, "missing"), false)
	require.Contains(t, text, "missing does not exist.")

	other := t.TempDir()
	require.NoError(t, os.Mkdir(filepath.Join(other, "kept"), 0o700))
	_, text = startLog(t, other, false)
	require.Contains(t, text, identityIsNew)
	require.Regexp(t, `level=warning msg=.*is new, but its folder `+other+` was not empty: it has other entries: 1 \(\[\\"kept\\"\]\)`, text)
}
