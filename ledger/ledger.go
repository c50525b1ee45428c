// Package ledger keeps a replica's log and snapshots on disk.
//
// The log is a series of segment files. Each record carries its length and a
// checksum that also covers the segment's sequence number and the record's
// offset, so that bytes from another position never decode as a valid record.
// Append returns once the batch is durable, after one write and one fsync
// regardless of the batch's size.
//
// A new snapshot is written to a temporary file, synced and renamed, and the
// directory is synced. Only then are the records that it covers dropped.
//
// Open recovers from a crash as follows:
//
//   - An incomplete last write is truncated, since it was never acknowledged.
//   - Damage before the last write is reported as ErrCorrupt, with the file and
//     the offset.
//   - Partially written files are removed.
//
// On a full disk, Append returns ErrDiskFull and keeps all acknowledged records;
// the batch may be retried once space is available. After any other failed
// write, and after a failed fsync, every call returns ErrFailed, because the
// kernel may have dropped the unsynced pages. Recover drops the write that failed;
// the records before it are durable.
//
// Damage to the last write can't be distinguished from an incomplete write. The
// records before it are intact, and a replica receives the lost records from its
// peers.
//
// # Usage
//
//	log, err := ledger.Open("data/log")
//	state, snapshotIndex, snapshot, indexes, records, err := log.Load()
//	err = log.Append(state, []uint64{8, 9}, [][]byte{eight, nine})
//	err = log.SaveSnapshot(9, snapshot)
//	if errors.Is(err, ledger.ErrFailed) {
//		err = log.Recover()
//	}
//	err = log.Close()
package ledger

import (
	"os"
	"sync"

	"github.com/go-faster/errors"
)

// defaultSegmentBytes is the size in bytes at which a segment is closed.
const defaultSegmentBytes = 8 << 20

// Ledger is a write-ahead log with snapshots in one directory. It also stores a
// state, a small opaque value such as a replica's term and vote, which Append
// replaces together with the records. Its methods are safe for concurrent use and
// run one at a time.
type Ledger struct {
	mu  sync.Mutex
	dir string
	// prefix begins the name of each file.
	prefix       string
	files        FileSystem
	segmentBytes int64
	lock         *os.File

	state []byte
	// snapshotIndex is the index of the last record that the latest snapshot
	// covers; 0 without a snapshot.
	snapshotIndex uint64
	lastIndex     uint64
	// sealed are the full segments in ascending order. Records are appended only to
	// the active one.
	sealed     []segment
	active     segment
	activeFile File
	// stale are the names of files that no longer belong to the ledger and were not
	// removed yet.
	stale []string
	// failure is returned by every call once it is set.
	failure error
}

// Option configures a ledger for Open.
type Option func(*Ledger)

// WithSegmentBytes sets the size in bytes at which a segment file is closed and
// the next one started.
func WithSegmentBytes(size int64) Option {
	return func(j *Ledger) { j.segmentBytes = size }
}

// WithNamePrefix sets what the name of each file begins with, so that several ledgers, each
// with a prefix of its own, can share a directory. They ignore each other's files.
func WithNamePrefix(prefix string) Option {
	return func(j *Ledger) { j.prefix = prefix }
}

// WithFileSystem replaces the operating system's file system, except for the
// directory lock.
func WithFileSystem(files FileSystem) Option {
	return func(j *Ledger) { j.files = files }
}

// Open locks the directory for this process, creating it if needed, recovers
// from a crash and checks every record. It returns ErrLocked when another ledger
// holds the lock and ErrCorrupt when acknowledged records are damaged.
func Open(dir string, options ...Option) (*Ledger, error) {
	j := newLedger(dir, options)
	lock, err := lockDir(dir, j.prefix+lockName)
	if err != nil {
		return nil, err
	}
	j.lock = lock
	if err := j.repair(); err != nil {
		_ = j.Close()
		return nil, errors.Wrapf(err, "open ledger %s", dir)
	}
	return j, nil
}

// Remove removes the files of a ledger that is not open, except for the lock file. The
// directory and its other entries stay.
func Remove(dir string, options ...Option) error {
	j := newLedger(dir, options)
	names, err := j.files.List(dir)
	if err != nil {
		return errors.Wrapf(err, "list directory %s", dir)
	}
	for _, name := range j.classify(names).own {
		if err := j.files.Remove(j.path(name)); err != nil {
			return errors.Wrapf(err, "remove %s", j.path(name))
		}
	}
	if err := j.files.SyncDir(dir); err != nil {
		return errors.Wrapf(err, "sync directory %s", dir)
	}
	return nil
}

// newLedger returns a ledger that is not open yet.
func newLedger(dir string, options []Option) *Ledger {
	j := &Ledger{dir: dir, files: osFileSystem{}, segmentBytes: defaultSegmentBytes}
	for _, option := range options {
		option(j)
	}
	return j
}

// Append writes the state and the records and returns once they are durable. A
// nil state keeps the stored one. The indexes must be contiguous and start at
// most one above the last index; a start at or below the last index replaces the
// tail of the log from there. It returns ErrInvalidIndex for other indexes,
// ErrTooLarge when a size limit is exceeded, ErrDiskFull when the disk is full
// (no part of the batch is kept) and ErrFailed after a failure that requires
// Recover.
func (j *Ledger) Append(state []byte, indexes []uint64, records [][]byte) error {
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
	if err := j.rotateIfNeeded(); err != nil {
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
		j.active.maxIndex = max(j.active.maxIndex, j.lastIndex)
	}
	return nil
}

// Truncate durably drops the records after last. It is required when a snapshot
// is installed from a leader whose log diverges from this one, because
// SaveSnapshot keeps the records above its index.
func (j *Ledger) Truncate(last uint64) error {
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
	if err := j.rotateIfNeeded(); err != nil {
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

// Load returns the state (nil if none was ever stored), the latest snapshot with
// the index it covers, and the records after that index.
func (j *Ledger) Load() (state []byte, snapshotIndex uint64, snapshot []byte, indexes []uint64, records [][]byte, err error) {
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

// Recover makes the ledger usable after ErrFailed. It drops what the failed call left on
// disk, so that the call may be retried, and returns once this is durable. It returns
// ErrFailed while the disk still refuses writes and ErrClosed after Close. A ledger that
// has not failed is left unchanged.
func (j *Ledger) Recover() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !errors.Is(j.failure, ErrFailed) {
		return j.failure
	}
	if err := j.dropFailedWrite(); err != nil {
		return errors.Wrapf(ErrFailed, "recover: %v", err)
	}
	j.failure = nil
	return nil
}

// Close releases the directory lock. Acknowledged records are already durable.
func (j *Ledger) Close() error {
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
		return errors.Wrap(err, "close ledger")
	}
	return nil
}

// encode returns the batch to append to the active segment.
func (j *Ledger) encode(state []byte, indexes []uint64, records [][]byte) *batch {
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

// checkBatch rejects batches that exceed a size limit, and indexes that would
// leave a gap or replace records that a snapshot covers.
func (j *Ledger) checkBatch(state []byte, indexes []uint64, records [][]byte) error {
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
