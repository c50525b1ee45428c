// Package journal keeps a replica's log and snapshots on disk.
//
// The log is a series of segment files. Each record carries its length and a
// checksum that also covers the segment's number and the record's offset, so
// that bytes of another place never pass for a record. Append returns once the
// batch is on disk: one write and one fsync, whatever the batch's size.
//
// A snapshot is written beside the old one, synced, renamed, and the folder
// synced; only then are the records that it covers dropped.
//
// What Open finds after a crash:
//
//   - an incomplete last write is cut, since it was never acknowledged;
//   - damage before that stops with ErrCorrupt, which names file and offset;
//   - files that a crash left half made are removed.
//
// A full disk refuses a batch with ErrDiskFull and keeps all that was acknowledged;
// the batch may be sent again once there is room. After any other failed write
// and after a failed fsync the journal refuses everything with ErrFailed, since
// the system may have dropped the unsynced pages: the process must start again
// and read what is really on disk.
//
// Damage to the very last write can't be told from an incomplete write. The
// records before it are safe, and a replica gets the lost ones from the others.
//
// # Usage
//
//	log, err := journal.Open("data/log")
//	state, snapshotIndex, snapshot, indexes, records, err := log.Load()
//	err = log.Append(state, []uint64{8, 9}, [][]byte{eight, nine})
//	err = log.SaveSnapshot(9, snapshot)
//	err = log.Close()
package journal

import (
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// defaultSegmentBytes is the size at which a segment is closed.
const defaultSegmentBytes = 8 << 20

// Journal is a log with snapshots in one folder. Its methods may be called from
// several goroutines; they run one at a time.
type Journal struct {
	mu           sync.Mutex
	folder       string
	files        FileSystem
	segmentBytes int64
	lock         *os.File

	state         []byte
	snapshotIndex uint64
	lastIndex     uint64
	sealed        []segment
	active        segment
	activeFile    File
	failure       error
}

// Option changes how a journal is opened.
type Option func(*Journal)

// WithSegmentBytes sets the size in bytes at which a segment file is closed and
// the next one started.
func WithSegmentBytes(size int64) Option {
	return func(j *Journal) { j.segmentBytes = size }
}

// WithFileSystem replaces the operating system's files.
func WithFileSystem(files FileSystem) Option {
	return func(j *Journal) { j.files = files }
}

// Open takes the folder for this process, creates it if needed, repairs what a
// crash left and checks every record. It returns ErrLocked when another journal
// holds the folder and ErrCorrupt when acknowledged records are damaged.
func Open(folder string, options ...Option) (*Journal, error) {
	j := &Journal{folder: folder, files: disk{}, segmentBytes: defaultSegmentBytes}
	for _, option := range options {
		option(j)
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, err
	}
	j.lock = lock
	if err := j.repair(); err != nil {
		_ = j.Close()
		return nil, errors.Wrapf(err, "open journal %s", folder)
	}
	return j, nil
}

// Append writes the state and the records and returns once they are durable. A
// nil state keeps the stored one. The indexes must be contiguous and start at
// most one above the last; a start at or below the last one replaces the log's
// tail from there. It returns ErrInvalidIndex for other indexes, ErrDiskFull when the disk
// is full (nothing of the batch counts as written) and ErrFailed after a failure
// that only a restart mends.
func (j *Journal) Append(state []byte, indexes []uint64, records [][]byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != nil {
		return j.failure
	}
	if err := j.checkBatch(state, indexes, records); err != nil {
		return err
	}
	if state == nil && len(indexes) == 0 {
		return nil
	}
	if err := j.rollWhenLarge(); err != nil {
		return err
	}
	if err := j.write(j.encode(state, indexes, records)); err != nil {
		return errors.Wrap(err, "append")
	}
	if state != nil {
		j.state = append([]byte{}, state...)
	}
	if len(indexes) > 0 {
		j.lastIndex = indexes[len(indexes)-1]
		j.active.highest = max(j.active.highest, j.lastIndex)
	}
	return nil
}

// Truncate drops the records after last, durably. A snapshot taken over from a
// leader whose log differs from this one needs it: SaveSnapshot keeps the
// records above its index.
func (j *Journal) Truncate(last uint64) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != nil {
		return j.failure
	}
	if last >= j.lastIndex {
		return nil
	}
	if last < j.snapshotIndex {
		return errors.Wrapf(ErrInvalidIndex, "truncate after %d below the snapshot at %d", last, j.snapshotIndex)
	}
	if err := j.rollWhenLarge(); err != nil {
		return err
	}
	b := newBatch(j.active.sequence, j.active.size, 1, 0)
	b.add(kindTruncate, last, nil)
	if err := j.write(b); err != nil {
		return errors.Wrap(err, "truncate")
	}
	j.lastIndex = last
	return nil
}

// Load reads everything back: the state (nil if none was ever stored), the
// newest snapshot with the index it covers, and the records after it.
func (j *Journal) Load() (state []byte, snapshotIndex uint64, snapshot []byte, indexes []uint64, records [][]byte, err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != nil {
		return nil, 0, nil, nil, nil, j.failure
	}
	snapshot, err = j.readSnapshot(j.snapshotIndex)
	if err != nil {
		return nil, 0, nil, nil, nil, errors.Wrap(err, "load snapshot")
	}
	r := newReplay(j.snapshotIndex, true)
	for _, s := range append(append([]segment{}, j.sealed...), j.active) {
		if _, err := j.replaySegment(r, s.sequence, false); err != nil {
			return nil, 0, nil, nil, nil, errors.Wrap(err, "load records")
		}
	}
	indexes, records = r.contents()
	return r.state, j.snapshotIndex, snapshot, indexes, records, nil
}

// Close releases the folder. What was acknowledged is already on disk.
func (j *Journal) Close() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.lock == nil {
		return nil
	}
	j.failure = ErrClosed
	err := j.lock.Close()
	j.lock = nil
	if j.activeFile != nil {
		err = errors.Join(j.activeFile.Close(), err)
	}
	if err != nil {
		return errors.Wrap(err, "close journal")
	}
	return nil
}

// encode returns the batch that goes to the end of the active segment.
func (j *Journal) encode(state []byte, indexes []uint64, records [][]byte) *batch {
	total := len(state)
	for _, r := range records {
		total += len(r)
	}
	b := newBatch(j.active.sequence, j.active.size, len(records)+1, total)
	if state != nil {
		b.add(kindState, 0, state)
	}
	for i, index := range indexes {
		b.add(kindEntry, index, records[i])
	}
	return b
}

// checkBatch refuses indexes that would leave a gap or change what a snapshot
// covers.
func (j *Journal) checkBatch(state []byte, indexes []uint64, records [][]byte) error {
	if len(state) > maxRecordBytes {
		return errors.Wrapf(ErrTooLarge, "state has %d bytes", len(state))
	}
	total := len(state)
	if len(indexes) != len(records) {
		return errors.Wrapf(ErrInvalidIndex, "%d indexes for %d records", len(indexes), len(records))
	}
	for i, index := range indexes {
		if i == 0 && (index > j.lastIndex+1 || index <= j.snapshotIndex) {
			return errors.Wrapf(ErrInvalidIndex, "index %d after last %d and snapshot %d", index, j.lastIndex, j.snapshotIndex)
		}
		if i > 0 && index != indexes[i-1]+1 {
			return errors.Wrapf(ErrInvalidIndex, "index %d follows %d", index, indexes[i-1])
		}
		if len(records[i]) > maxRecordBytes {
			return errors.Wrapf(ErrTooLarge, "index %d has %d bytes", index, len(records[i]))
		}
		total += len(records[i])
	}
	if total > maxBatchBytes {
		return errors.Wrapf(ErrTooLarge, "batch has %d bytes", total)
	}
	return nil
}
