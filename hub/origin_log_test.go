package hub

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/ledger"
	"comfreytiller.dev/peer"
)

// reportStreams reports streams of three versions to a hub, those of a number of hosts.
func (c *cluster) reportStreams(node *peer.Node, hub, count int) {
	c.t.Helper()
	var records []origin.Record
	for i := range count {
		records = append(records, origin.Record{Key: origin.KeyOf("s", fmt.Sprint(i)), Version: fmt.Sprint("v", i%3), Until: time.Now().Add(time.Minute)})
	}
	_, err := node.Call(c.t.Context(), c.addresses[hub], peer.RosterUpdate{Host: "e-1", Origins: records})
	require.NoError(c.t, err)
	for other := range c.hubs {
		c.eventually("all hubs know the streams", func() bool { return c.hubs[other].origins.table.Len() >= count })
	}
}

// All hubs were restarted at once, and hosts that began streams with them. No process knew
// the versions of the streams, and callers that took them up were refused.
func TestOrigins_AreKnownAfterAllHubsWereRestarted(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	node := peer.NewNode(peer.Config{Host: "e-1", Clock: clockwork.NewRealClock()}, nil)
	defer node.Close()
	c.reportStreams(node, 0, 100)
	for hub := range 3 {
		c.stop(hub)
	}
	for hub := range 3 {
		c.start(hub, false)
	}
	for hub := range 3 {
		for i := range 100 {
			require.Equal(t, []string{fmt.Sprint("v", i%3)}, askOrigin(t, node, c.addresses[hub], origin.KeyOf("s", fmt.Sprint(i)), 0))
		}
	}
}

// Hubs were restarted in turn, each after the next was back. The records of hosts that had
// been lost meanwhile were gone with the last hub that held them.
func TestOrigins_AreKnownAfterRollingRestart(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	node := peer.NewNode(peer.Config{Host: "e-1", Clock: clockwork.NewRealClock()}, nil)
	defer node.Close()
	c.reportStreams(node, 1, 30)
	for hub := range 3 {
		c.stop(hub)
		c.start(hub, false)
		c.awaitAllVoters()
	}
	for hub := range 3 {
		require.Equal(t, []string{"v2"}, askOrigin(t, node, c.addresses[hub], origin.KeyOf("s", "29"), 0))
	}
}

// logOver returns a log in the folder with an empty table, and a buffer with what it logs.
func logOver(t *testing.T, folder string, clock clockwork.Clock, options ...ledger.Option) (*originLog, *origin.Table, *bytes.Buffer) {
	t.Helper()
	var lines bytes.Buffer
	log, err := logs.New(&lines, "info", "json")
	require.NoError(t, err)
	table := origin.NewTable(maxOrigins)
	return newOriginLog(folder, table, clock, log, options...), table, &lines
}

// store adds records to the table and the log, and writes them.
func store(t *testing.T, l *originLog, now time.Time, records ...origin.Record) {
	t.Helper()
	l.add(l.table.Add(now, records...))
	require.NoError(t, l.write())
}

// Streams come and go for hours. The log must stay as large as what can still be taken up.
func TestOriginLog_SizeFollowsUnexpiredStreams(t *testing.T) {
	folder, clock := t.TempDir(), clockwork.NewFakeClock()
	l, _, _ := logOver(t, folder, clock)
	largest := int64(0)
	for second := range 600 {
		var records []origin.Record
		for i := range 1000 {
			records = append(records, origin.Record{Key: origin.KeyOf("s", fmt.Sprint(second, "-", i)), Version: "v1", Until: clock.Now().Add(12 * time.Second)})
		}
		store(t, l, clock.Now(), records...)
		clock.Advance(time.Second)
		largest = max(largest, folderBytes(t, folder))
	}
	// Twelve seconds of streams are 130 KB.
	require.Less(t, largest, int64(2<<20))
	require.NoError(t, l.ledger.Close())
	reopened, table, _ := logOver(t, folder, clock)
	require.NotNil(t, reopened.ledger)
	for i := range 1000 {
		version, found := table.Find(clock.Now(), origin.KeyOf("s", fmt.Sprint(599, "-", i)))
		require.True(t, found)
		require.Equal(t, "v1", version)
	}
}

func folderBytes(t *testing.T, folder string) (total int64) {
	t.Helper()
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, entry := range entries {
		info, err := entry.Info()
		require.NoError(t, err)
		total += info.Size()
	}
	return total
}

// A damaged log must not keep the hub from starting.
func TestOriginLog_DamagedLogIsReplaced(t *testing.T) {
	folder, clock := t.TempDir(), clockwork.NewFakeClock()
	l, _, _ := logOver(t, folder, clock)
	for i := range 40 {
		store(t, l, clock.Now(), origin.Record{Key: origin.Key(i + 1), Version: "v1", Until: clock.Now().Add(time.Minute)})
	}
	require.NoError(t, l.ledger.Close())
	segments, err := filepath.Glob(filepath.Join(folder, originLogPrefix+"segment-*"))
	require.NoError(t, err)
	require.NotEmpty(t, segments)
	content, err := os.ReadFile(segments[0])
	require.NoError(t, err)
	content[len(content)/2] ^= 0xff
	require.NoError(t, os.WriteFile(segments[0], content, 0o600))

	damaged, _, lines := logOver(t, folder, clock)
	require.Contains(t, lines.String(), "is damaged")
	store(t, damaged, clock.Now(), origin.Record{Key: 99, Version: "v2", Until: clock.Now().Add(time.Minute)})
	require.NoError(t, damaged.ledger.Close())
	_, table, _ := logOver(t, folder, clock)
	version, found := table.Find(clock.Now(), 99)
	require.True(t, found)
	require.Equal(t, "v2", version)
}

// faultyDisk refuses writes while an error is set.
type faultyDisk struct {
	ledger.FileSystem
	refuses *atomic.Pointer[error]
}

func (d faultyDisk) Create(name string) (ledger.File, error) {
	if err := d.refuses.Load(); err != nil {
		return nil, *err
	}
	file, err := d.FileSystem.Create(name)
	return faultyFile{File: file, refuses: d.refuses}, err
}

func (d faultyDisk) Open(name string) (ledger.File, error) {
	file, err := d.FileSystem.Open(name)
	return faultyFile{File: file, refuses: d.refuses}, err
}

type faultyFile struct {
	ledger.File
	refuses *atomic.Pointer[error]
}

func (f faultyFile) WriteAt(content []byte, offset int64) (int, error) {
	if err := f.refuses.Load(); err != nil {
		return 0, *err
	}
	return f.File.WriteAt(content, offset)
}

// A disk refuses writes for a while. The records of that time must be stored afterwards.
func TestOriginLog_StoresWhatAFaultyDiskRefused(t *testing.T) {
	for _, fault := range []error{syscall.EIO, syscall.ENOSPC} {
		t.Run(fault.Error(), func(t *testing.T) {
			folder, clock := t.TempDir(), clockwork.NewFakeClock()
			disk := faultyDisk{FileSystem: ledger.OSFileSystem(), refuses: &atomic.Pointer[error]{}}
			l, _, lines := logOver(t, folder, clock, ledger.WithFileSystem(disk))
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			go func() {
				defer close(done)
				l.run(ctx)
			}()
			tick := func(pause time.Duration) {
				require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
				clock.Advance(pause)
			}
			for i := range 30 {
				if i == 10 {
					disk.refuses.Store(&fault)
				}
				if i == 20 {
					disk.refuses.Store(nil)
				}
				l.add(l.table.Add(clock.Now(), origin.Record{Key: origin.Key(i + 1), Version: "v1", Until: clock.Now().Add(time.Hour)}))
				tick(originRetryInterval)
			}
			cancel()
			<-done
			require.Contains(t, lines.String(), "Log of streams failed")
			_, table, _ := logOver(t, folder, clock)
			require.Equal(t, 30, table.Len())
		})
	}
}

// The log made a folder of its own in that of the state replica, which disks need not support.
// In one folder, neither ledger may touch the other's files, also when one is replaced.
func TestOriginLog_SharesTheFolderOfTheStateReplica(t *testing.T) {
	folder, clock := t.TempDir(), clockwork.NewFakeClock()
	state, err := ledger.Open(folder)
	require.NoError(t, err)
	require.NoError(t, state.Append([]byte("identity"), []uint64{1}, [][]byte{[]byte("record")}))
	l, _, _ := logOver(t, folder, clock)
	for i := range 40 {
		store(t, l, clock.Now(), origin.Record{Key: origin.Key(i + 1), Version: "v1", Until: clock.Now().Add(time.Minute)})
	}
	require.NoError(t, l.ledger.Close())
	require.NoError(t, state.Close())
	entries, err := os.ReadDir(folder)
	require.NoError(t, err)
	for _, entry := range entries {
		require.False(t, entry.IsDir(), entry.Name())
	}
	segment := filepath.Join(folder, originLogPrefix+"segment-0000000000000001")
	content, err := os.ReadFile(segment)
	require.NoError(t, err)
	content[len(content)/2] ^= 0xff
	require.NoError(t, os.WriteFile(segment, content, 0o600))
	replaced, _, lines := logOver(t, folder, clock)
	require.Contains(t, lines.String(), "is damaged")
	require.NotNil(t, replaced.ledger)
	require.NoError(t, replaced.ledger.Close())

	state, err = ledger.Open(folder)
	require.NoError(t, err)
	defer func() { require.NoError(t, state.Close()) }()
	identity, _, _, indexes, _, err := state.Load()
	require.NoError(t, err)
	require.Equal(t, "identity", string(identity))
	require.Equal(t, []uint64{1}, indexes)
}

// The log of an earlier release is read once, so that a caller may take up its stream after an
// upgrade, and its records don't become valid again at each start.
func TestOriginLog_ReadsTheFolderOfAnEarlierReleaseOnce(t *testing.T) {
	folder, clock := t.TempDir(), clockwork.NewFakeClock()
	former, err := ledger.Open(filepath.Join(folder, formerLogFolder))
	require.NoError(t, err)
	encoded := origin.Encode(clock.Now(), []origin.Record{{Key: 7, Version: "v1", Until: clock.Now().Add(time.Minute)}})
	require.NoError(t, former.Append(nil, []uint64{1}, [][]byte{encoded}))
	require.NoError(t, former.Close())
	first, table, _ := logOver(t, folder, clock)
	version, found := table.Find(clock.Now(), 7)
	require.True(t, found)
	require.Equal(t, "v1", version)
	require.NoError(t, first.write())
	require.NoError(t, first.ledger.Close())
	second, table, _ := logOver(t, folder, clock)
	_, found = table.Find(clock.Now(), 7)
	require.True(t, found)
	clock.Advance(2 * time.Minute)
	store(t, second, clock.Now(), origin.Record{Key: 8, Version: "v2", Until: clock.Now().Add(time.Hour)})
	second.rewriteDue = true
	require.NoError(t, second.write())
	require.NoError(t, second.ledger.Close())
	_, table, _ = logOver(t, folder, clock)
	_, found = table.Find(clock.Now(), 7)
	require.False(t, found)
	require.Equal(t, 1, table.Len())
}
