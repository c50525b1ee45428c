package journal_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/journal"
)

// contents is what a journal holds.
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

func load(t require.TestingT, log *journal.Journal) contents {
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

// change is one drawn call and every contents that a crash within it may leave.
type change struct {
	run   func(*journal.Journal) error
	after []contents
}

func drawChange(t *rapid.T, c contents, serial int) change {
	switch rapid.SampledFrom([]string{"append", "append", "append", "save", "truncate"}).Draw(t, "call") {
	case "save":
		index := rapid.Uint64Range(max(1, c.snapshotIndex), c.last()+3).Draw(t, "snapshot index")
		data := fmt.Sprintf("snapshot %d", serial)
		run := func(log *journal.Journal) error { return log.SaveSnapshot(index, []byte(data)) }
		return change{run: run, after: []contents{c.save(index, data)}}
	case "truncate":
		last := rapid.Uint64Range(c.snapshotIndex, c.last()).Draw(t, "truncate after")
		run := func(log *journal.Journal) error { return log.Truncate(last) }
		return change{run: run, after: []contents{c.truncate(last)}}
	}
	var state string
	if rapid.Bool().Draw(t, "with state") {
		state = fmt.Sprintf("state %d", serial)
	}
	first := rapid.Uint64Range(c.first, c.last()+1).Draw(t, "first index")
	var records []string
	for i := range rapid.IntRange(0, 4).Draw(t, "records") {
		records = append(records, fmt.Sprintf("%d.%d%*d", serial, i, rapid.IntRange(0, 30).Draw(t, "pad"), 0))
	}
	run := func(log *journal.Journal) error {
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
	return change{run: run, after: after}
}

// TestCrashKeepsAcknowledged draws calls, loses power at any step of one of them
// and checks that the journal holds either what was acknowledged before or that
// with a prefix of the interrupted batch.
func TestCrashKeepsAcknowledged(t *testing.T) {
	folder := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		files := newMemory()
		held := contents{first: 1, records: []string{}}
		serial := 0
		for range rapid.IntRange(1, 4).Draw(t, "lives") {
			log, err := journal.Open(folder, journal.WithFileSystem(files), journal.WithSegmentBytes(150))
			require.NoError(t, err)
			require.Equal(t, held, load(t, log))
			files.failAt = files.calls + rapid.IntRange(1, 60).Draw(t, "power ends after calls")
			possible := []contents{held}
			for range rapid.IntRange(0, 25).Draw(t, "changes") {
				serial++
				next := drawChange(t, held, serial)
				if err := next.run(log); err != nil {
					possible = append(next.after, held)
					break
				}
				held = next.after[0]
				possible = []contents{held}
			}
			require.NoError(t, log.Close())
			files = files.crash(t)
			held = reopened(t, folder, files)
			require.Contains(t, possible, held)
		}
	})
}

// reopened returns the contents after a crash. Opening itself is interrupted
// first, which must change nothing.
func reopened(t *rapid.T, folder string, files *memory) contents {
	files.failAt = files.calls + rapid.IntRange(1, 8).Draw(t, "power ends while opening")
	if log, err := journal.Open(folder, journal.WithFileSystem(files)); err == nil {
		require.NoError(t, log.Close())
	}
	after := files.crash(t)
	log, err := journal.Open(folder, journal.WithFileSystem(after))
	require.NoError(t, err)
	defer log.Close()
	*files = *after
	return load(t, log)
}

// TestSnapshotCrashAtEachStep stops SaveSnapshot before each of its calls.
func TestSnapshotCrashAtEachStep(t *testing.T) {
	folder := t.TempDir()
	for step := 1; ; step++ {
		files := newMemory()
		log, err := journal.Open(folder, journal.WithFileSystem(files), journal.WithSegmentBytes(60))
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

		for _, lost := range []bool{false, true} {
			survivor := newMemory()
			for name, node := range map[bool]map[string]*inode{false: files.seen, true: files.synced}[lost] {
				survivor.seen[name] = &inode{seen: node.synced, synced: node.synced}
			}
			log, err = journal.Open(folder, journal.WithFileSystem(survivor))
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

// TestAnyCutTail cuts and zeroes the last segment at every byte.
func TestAnyCutTail(t *testing.T) {
	folder, held := writtenJournal(t)
	name := folder + "/segment-0000000000000001"
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for cut := 20; cut <= len(whole); cut++ {
		for _, zeros := range []bool{false, true} {
			content := append([]byte{}, whole[:cut]...)
			if zeros {
				content = append(content, make([]byte, len(whole)-cut)...)
			}
			require.NoError(t, os.WriteFile(name, content, 0o600))
			log, err := journal.Open(folder)
			require.NoError(t, err, "cut at %d", cut)
			got := load(t, log)
			want := held[0]
			for _, c := range held {
				if c.end <= cut {
					want = c
				}
			}
			require.GreaterOrEqual(t, len(got.records), len(want.records), "cut at %d", cut)
			require.Equal(t, held[len(held)-1].records[:len(got.records)], got.records, "cut at %d", cut)
			require.NoError(t, log.Append(nil, []uint64{got.last() + 1}, [][]byte{[]byte("next")}))
			require.NoError(t, log.Close())
		}
	}
}

// heldAt is the contents that were acknowledged when the file had a length.
type heldAt struct {
	contents
	end int
}

// writtenJournal returns a closed journal of three batches.
func writtenJournal(t *testing.T) (string, []heldAt) {
	folder := t.TempDir()
	log, err := journal.Open(folder)
	require.NoError(t, err)
	c := contents{first: 1, records: []string{}}
	held := []heldAt{{contents: c, end: 20}}
	for _, records := range [][]string{{"one"}, {"two", "three", "four"}, {"five", "six"}} {
		require.NoError(t, log.Append([]byte("state"), indexesFrom(c.last()+1, len(records)), bytesOf(records)))
		c = c.append("state", c.last()+1, records)
		info, err := os.Stat(folder + "/segment-0000000000000001")
		require.NoError(t, err)
		held = append(held, heldAt{contents: c, end: int(info.Size())})
	}
	require.NoError(t, log.Close())
	return folder, held
}

// TestHoleInLastWrite loses a part of the last write before parts that survive.
func TestHoleInLastWrite(t *testing.T) {
	folder, held := writtenJournal(t)
	name := folder + "/segment-0000000000000001"
	content, err := os.ReadFile(name)
	require.NoError(t, err)
	start := held[len(held)-2].end
	clear(content[start : start+30])
	require.NoError(t, os.WriteFile(name, content, 0o600))
	log, err := journal.Open(folder)
	require.NoError(t, err)
	defer log.Close()
	require.Equal(t, held[len(held)-2].contents, load(t, log))
}

// TestDamageBeforeTail flips every bit of every byte before the last write.
func TestDamageBeforeTail(t *testing.T) {
	folder, held := writtenJournal(t)
	name := folder + "/segment-0000000000000001"
	whole, err := os.ReadFile(name)
	require.NoError(t, err)
	for offset := range held[len(held)-2].end {
		for bit := range 8 {
			content := append([]byte{}, whole...)
			content[offset] ^= 1 << bit
			require.NoError(t, os.WriteFile(name, content, 0o600))
			_, err := journal.Open(folder)
			require.ErrorIs(t, err, journal.ErrCorrupt, "offset %d bit %d", offset, bit)
			var corrupt *journal.CorruptError
			require.ErrorAs(t, err, &corrupt)
			require.Equal(t, name, corrupt.File)
			require.LessOrEqual(t, corrupt.Offset, int64(offset))
			require.Contains(t, err.Error(), name)
			require.Contains(t, err.Error(), "offset")
			after, err := os.ReadFile(name)
			require.NoError(t, err)
			require.Equal(t, content, after, "a refused journal must stay as it was")
		}
	}
}
