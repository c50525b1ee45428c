package ledger_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/ledger"
)

// contents is the model of a ledger's contents.
type contents struct {
	state         string
	snapshotIndex uint64
	snapshot      string
	first         uint64
	records       []string
}

func (c contents) clone() contents {
	c.records = append([]string{}, c.records...)
	return c
}

func (c contents) last() uint64 {
	return c.first + uint64(len(c.records)) - 1
}

// append returns the contents after an append.
func (c contents) append(state string, first uint64, records []string) contents {
	c = c.clone()
	if state != "" {
		c.state = state
	}
	if len(records) > 0 {
		c.records = append(c.records[:first-c.first], records...)
	}
	return c
}

func (c contents) truncate(last uint64) contents {
	c = c.clone()
	c.records = c.records[:last+1-c.first]
	return c
}

func (c contents) save(index uint64, snapshot string) contents {
	c = c.clone()
	c.snapshotIndex, c.snapshot = index, snapshot
	drop := min(index+1-c.first, uint64(len(c.records)))
	c.records = c.records[drop:]
	c.first = index + 1
	return c
}

func load(t require.TestingT, log *ledger.Ledger) contents {
	state, snapshotIndex, snapshot, indexes, records, err := log.Load()
	require.NoError(t, err)
	c := contents{state: string(state), snapshotIndex: snapshotIndex, snapshot: string(snapshot), first: snapshotIndex + 1}
	for i, index := range indexes {
		require.Equal(t, c.first+uint64(i), index)
		c.records = append(c.records, string(records[i]))
	}
	return c.clone()
}

func bytesOf(records []string) [][]byte {
	var all [][]byte
	for _, r := range records {
		all = append(all, []byte(r))
	}
	return all
}

func indexesFrom(first uint64, n int) []uint64 {
	var all []uint64
	for i := range n {
		all = append(all, first+uint64(i))
	}
	return all
}

// generatedCall is a call with all contents that a crash during the call may leave
// behind. The first element of after is the result of a successful call.
type generatedCall struct {
	call  func(*ledger.Ledger) error
	after []contents
}

func drawCall(t *rapid.T, c contents, callNumber int) generatedCall {
	switch rapid.SampledFrom([]string{"append", "append", "append", "save", "truncate"}).Draw(t, "call") {
	case "save":
		index := rapid.Uint64Range(max(1, c.snapshotIndex), c.last()+3).Draw(t, "snapshot index")
		data := fmt.Sprintf("snapshot %d", callNumber)
		call := func(log *ledger.Ledger) error { return log.SaveSnapshot(index, []byte(data)) }
		return generatedCall{call: call, after: []contents{c.save(index, data)}}
	case "truncate":
		last := rapid.Uint64Range(c.snapshotIndex, c.last()).Draw(t, "truncate after")
		call := func(log *ledger.Ledger) error { return log.Truncate(last) }
		return generatedCall{call: call, after: []contents{c.truncate(last)}}
	}
	var state string
	if rapid.Bool().Draw(t, "with state") {
		state = fmt.Sprintf("state %d", callNumber)
	}
	first := rapid.Uint64Range(c.first, c.last()+1).Draw(t, "first index")
	var records []string
	for i := range rapid.IntRange(0, 4).Draw(t, "records") {
		records = append(records, fmt.Sprintf("%d.%d%*d", callNumber, i, rapid.IntRange(0, 30).Draw(t, "pad"), 0))
	}
	call := func(log *ledger.Ledger) error {
		var stateBytes []byte
		if state != "" {
			stateBytes = []byte(state)
		}
		return log.Append(stateBytes, indexesFrom(first, len(records)), bytesOf(records))
	}
	after := []contents{c.append(state, first, records)}
	for n := range records {
		after = append(after, c.append(state, first, records[:n]))
	}
	return generatedCall{call: call, after: after}
}

// Guards against losing acknowledged records in a crash. It runs generated calls,
// simulates a power loss at any step of one of them, and checks that the ledger
// contains the acknowledged records, with or without a prefix of the interrupted
// batch.
func TestCrashKeepsAcknowledgedRecords(t *testing.T) {
	dir := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		files := newMemoryFileSystem()
		acknowledged := contents{first: 1, records: []string{}}
		callNumber := 0
		for range rapid.IntRange(1, 4).Draw(t, "restarts") {
			log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(150))
			require.NoError(t, err)
			require.Equal(t, acknowledged, load(t, log))
			files.failAt = files.calls + rapid.IntRange(1, 60).Draw(t, "power loss after calls")
			possible := []contents{acknowledged}
			for range rapid.IntRange(0, 25).Draw(t, "changes") {
				callNumber++
				next := drawCall(t, acknowledged, callNumber)
				if err := next.call(log); err != nil {
					possible = append(next.after, acknowledged)
					break
				}
				acknowledged = next.after[0]
				possible = []contents{acknowledged}
			}
			require.NoError(t, log.Close())
			files = files.crash(t)
			acknowledged = reopenAfterCrash(t, dir, files)
			require.Contains(t, possible, acknowledged)
		}
	})
}

// reopenAfterCrash returns the contents after a crash. It first simulates a power loss
// during Open, which must not change the contents.
func reopenAfterCrash(t *rapid.T, dir string, files *memoryFileSystem) contents {
	files.failAt = files.calls + rapid.IntRange(1, 8).Draw(t, "power loss while opening")
	if log, err := ledger.Open(dir, ledger.WithFileSystem(files)); err == nil {
		require.NoError(t, log.Close())
	}
	after := files.crash(t)
	log, err := ledger.Open(dir, ledger.WithFileSystem(after))
	require.NoError(t, err)
	defer log.Close()
	*files = *after
	return load(t, log)
}

// A crash before any file system call of SaveSnapshot must leave either the old or
// the new snapshot with the records after it.
func TestSaveSnapshot_CrashAtEachStep(t *testing.T) {
	dir := t.TempDir()
	for step := 1; ; step++ {
		files := newMemoryFileSystem()
		log, err := ledger.Open(dir, ledger.WithFileSystem(files), ledger.WithSegmentBytes(60))
		require.NoError(t, err)
		for index := uint64(1); index <= 9; index++ {
			require.NoError(t, log.Append([]byte("state"), []uint64{index}, [][]byte{[]byte("record of some length")}))
		}
		require.NoError(t, log.SaveSnapshot(3, []byte("old")))
		before := load(t, log)
		files.failAt = files.calls + step
		saveErr := log.SaveSnapshot(7, []byte("new"))
		finished := files.calls < files.failAt
		require.NoError(t, log.Close())

		for _, lostUnsynced := range []bool{false, true} {
			afterCrash := newMemoryFileSystem()
			for name, node := range map[bool]map[string]*inode{false: files.cached, true: files.synced}[lostUnsynced] {
				afterCrash.cached[name] = &inode{cached: node.synced, synced: node.synced}
			}
			log, err = ledger.Open(dir, ledger.WithFileSystem(afterCrash))
			require.NoError(t, err, "step %d", step)
			got := load(t, log)
			require.NoError(t, log.Close())
			if saveErr == nil {
				require.Equal(t, before.save(7, "new"), got, "step %d", step)
				continue
			}
			require.Contains(t, []contents{before, before.save(7, "new")}, got, "step %d", step)
		}
		if finished {
			require.Greater(t, step, 5)
			return
		}
	}
}

// The last segment is truncated, or zeroed, from every byte on. Open must keep all
// batches before that byte and accept new records.
func TestTruncatedTailKeepsEarlierBatches(t *testing.T) {
	dir, acknowledged := writtenLedger(t)
	name := dir + "/segment-0000000000000001"
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for cut := 20; cut <= len(whole); cut++ {
		for _, zeros := range []bool{false, true} {
			content := append([]byte{}, whole[:cut]...)
			if zeros {
				content = append(content, make([]byte, len(whole)-cut)...)
			}
			require.NoError(t, os.WriteFile(name, content, 0o600))
			log, err := ledger.Open(dir)
			require.NoError(t, err, "cut at %d", cut)
			got := load(t, log)
			want := acknowledged[0]
			for _, c := range acknowledged {
				if c.end <= cut {
					want = c
				}
			}
			require.GreaterOrEqual(t, len(got.records), len(want.records), "cut at %d", cut)
			require.Equal(t, acknowledged[len(acknowledged)-1].records[:len(got.records)], got.records, "cut at %d", cut)
			require.NoError(t, log.Append(nil, []uint64{got.last() + 1}, [][]byte{[]byte("next")}))
			require.NoError(t, log.Close())
		}
	}
}

// acknowledgedAt is the acknowledged contents at a size of the segment file.
type acknowledgedAt struct {
	contents
	end int
}

// writtenLedger returns the directory of a closed ledger with three batches, and
// the contents before the first and after each batch.
func writtenLedger(t *testing.T) (string, []acknowledgedAt) {
	dir := t.TempDir()
	log, err := ledger.Open(dir)
	require.NoError(t, err)
	c := contents{first: 1, records: []string{}}
	acknowledged := []acknowledgedAt{{contents: c, end: 20}}
	for _, records := range [][]string{{"one"}, {"two", "three", "four"}, {"five", "six"}} {
		require.NoError(t, log.Append([]byte("state"), indexesFrom(c.last()+1, len(records)), bytesOf(records)))
		c = c.append("state", c.last()+1, records)
		info, err := os.Stat(dir + "/segment-0000000000000001")
		require.NoError(t, err)
		acknowledged = append(acknowledged, acknowledgedAt{contents: c, end: int(info.Size())})
	}
	require.NoError(t, log.Close())
	return dir, acknowledged
}

// A crash may lose the beginning of the last write while its end reaches the disk.
// Open must drop the whole write and not report corruption.
func TestHoleInLastWriteDropsWrite(t *testing.T) {
	dir, acknowledged := writtenLedger(t)
	name := dir + "/segment-0000000000000001"
	content, err := os.ReadFile(name)
	require.NoError(t, err)
	start := acknowledged[len(acknowledged)-2].end
	clear(content[start : start+30])
	require.NoError(t, os.WriteFile(name, content, 0o600))
	log, err := ledger.Open(dir)
	require.NoError(t, err)
	defer log.Close()
	require.Equal(t, acknowledged[len(acknowledged)-2].contents, load(t, log))
}

// A flipped bit anywhere before the last write must be reported as corruption with
// its location, and Open must leave the file unchanged.
func TestDamageBeforeTailIsReported(t *testing.T) {
	dir, acknowledged := writtenLedger(t)
	name := dir + "/segment-0000000000000001"
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for offset := range acknowledged[len(acknowledged)-2].end {
		for bit := range 8 {
			content := append([]byte{}, whole...)
			content[offset] ^= 1 << bit
			require.NoError(t, os.WriteFile(name, content, 0o600))
			_, err := ledger.Open(dir)
			require.ErrorIs(t, err, ledger.ErrCorrupt, "offset %d bit %d", offset, bit)
			var corrupt *ledger.CorruptError
			require.ErrorAs(t, err, &corrupt)
			require.Equal(t, name, corrupt.File)
			require.LessOrEqual(t, corrupt.Offset, int64(offset))
			require.Contains(t, err.Error(), name)
			require.Contains(t, err.Error(), "offset")
			after, err := os.ReadFile(name)
			require.NoError(t, err)
			require.Equal(t, content, after, "a failed Open must not change the file")
		}
	}
}
