package ledger

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"io/fs"
	"path/filepath"

	"github.com/go-faster/errors"
)

// A segment starts with a magic number, its sequence number and their checksum.
// The state at the time of its creation follows, so that older segments can be
// removed, and a truncation after the last index of that time. The truncation has no effect on
// the log; it shows which records the earlier segments held, should one of them be missing.
const (
	segmentMagic       = "ctlog\x00\x00\x01"
	segmentHeaderBytes = 8 + 8 + 4
	segmentFormat      = "segment-%016x"
	temporarySuffix    = ".tmp"
)

// segment describes one file of the log.
type segment struct {
	sequence uint64
	// size is the length of the valid data in bytes.
	size int64
	// maxIndex is the largest index of any record in the segment.
	maxIndex uint64
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf(segmentFormat, sequence)
}

// path returns the full path of one of the ledger's files.
func (j *Ledger) path(name string) string {
	return filepath.Join(j.dir, j.prefix+name)
}

func segmentHeader(sequence uint64) []byte {
	header := append([]byte{}, segmentMagic...)
	header = binary.LittleEndian.AppendUint64(header, sequence)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// write appends the batch to the active segment and syncs it. A full disk leaves
// the segment unchanged; any other failure puts the ledger into the failed state.
func (j *Ledger) write(b *batch) error {
	if _, err := j.activeFile.WriteAt(b.bytes, b.start); err != nil {
		return j.undoWrite(err)
	}
	if err := j.activeFile.Sync(); err != nil {
		return j.fail(errors.Wrap(err, "sync segment"))
	}
	j.active.size += int64(len(b.bytes))
	return nil
}

// undoWrite truncates the part of a batch that a failed write left behind.
func (j *Ledger) undoWrite(cause error) error {
	if !isDiskFull(cause) {
		return j.fail(errors.Wrap(cause, "write segment"))
	}
	if err := j.activeFile.Truncate(j.active.size); err != nil {
		return j.fail(errors.Wrap(err, "cut segment after a full disk"))
	}
	return errors.Wrapf(ErrDiskFull, "write %s: %v", segmentName(j.active.sequence), cause)
}

// fail puts the ledger into the failed state. The page cache may hold pages that
// are marked clean but never reached the disk, so neither a second fsync nor a
// later write can be trusted.
func (j *Ledger) fail(cause error) error {
	j.failure = errors.Wrapf(ErrFailed, "%v", cause)
	return j.failure
}

// dropFailedWrite durably removes what a failed call wrote. The pages that its sync may
// have marked clean are those behind the valid data of the active segment; the records
// before were synced.
func (j *Ledger) dropFailedWrite() error {
	if err := j.activeFile.Truncate(j.active.size); err != nil {
		return errors.Wrap(err, "truncate segment")
	}
	if err := j.activeFile.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	if err := j.removeStale(); err != nil {
		return err
	}
	if err := j.files.SyncDir(j.dir); err != nil {
		return errors.Wrap(err, "sync directory")
	}
	return nil
}

// removeStale removes the stale files. Those that can't be removed stay listed.
func (j *Ledger) removeStale() error {
	var failed []string
	var firstErr error
	for _, name := range j.stale {
		if err := j.files.Remove(j.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			failed = append(failed, name)
			firstErr = cmp.Or(firstErr, errors.Wrapf(err, "remove %s", name))
		}
	}
	j.stale = failed
	return firstErr
}

// rotateIfNeeded starts the next segment once the active one has reached the
// segment size.
func (j *Ledger) rotateIfNeeded() error {
	if j.active.size < j.segmentBytes {
		return nil
	}
	return j.rotate()
}

// rotate starts the next segment. The file is renamed to its final name only after
// its header is durable, so a segment never has a partial header.
func (j *Ledger) rotate() error {
	sequence := j.active.sequence + 1
	content := segmentHeader(sequence)
	b := newBatch(sequence, int64(len(content)), 2, len(j.state))
	if j.state != nil {
		b.add(kindState, 0, j.state)
	}
	if sequence > 1 {
		b.add(kindTruncate, j.lastIndex, nil)
	}
	content = append(content, b.bytes...)
	if err := j.writeFileAtomically(segmentName(sequence), content); err != nil {
		return err
	}
	f, err := j.files.Open(j.path(segmentName(sequence)))
	if err != nil {
		return j.failRename(segmentName(sequence), j.fail(errors.Wrap(err, "open new segment")))
	}
	if j.activeFile != nil {
		_ = j.activeFile.Close()
		j.sealed = append(j.sealed, j.active)
	}
	j.active = segment{sequence: sequence, size: int64(len(content))}
	j.activeFile = f
	return nil
}

// writeFileAtomically writes a temporary file and renames it to name. On a full disk
// it returns ErrDiskFull, and an existing file of that name stays unchanged.
func (j *Ledger) writeFileAtomically(name string, parts ...[]byte) error {
	temporary := name + temporarySuffix
	if err := j.writeTemporaryFile(j.path(temporary), parts); err != nil {
		j.discard(temporary)
		return err
	}
	if err := j.files.Rename(j.path(temporary), j.path(name)); err != nil {
		j.discard(temporary)
		return j.failRename(name, j.failUnlessDiskFull(err, "rename "+name))
	}
	if err := j.files.SyncDir(j.dir); err != nil {
		return j.failRename(name, j.fail(errors.Wrap(err, "sync folder")))
	}
	return nil
}

// failRename returns the error of a call that may have given a file its final name. The
// file must not outlast Recover: it would take effect at the next start, after calls that
// don't know of it.
func (j *Ledger) failRename(name string, err error) error {
	if errors.Is(err, ErrFailed) && name != snapshotName(j.snapshotIndex) {
		j.stale = append(j.stale, name)
	}
	return err
}

// discard removes a file that no longer belongs to the ledger, and others whose removal
// failed. A failed removal is retried with the next one.
func (j *Ledger) discard(name string) {
	j.stale = append(j.stale, name)
	_ = j.removeStale()
}

// writeTemporaryFile writes and syncs the parts to the temporary file.
func (j *Ledger) writeTemporaryFile(temporary string, parts [][]byte) error {
	f, err := j.files.Create(temporary)
	if err != nil {
		return j.failUnlessDiskFull(err, "create file")
	}
	defer f.Close()
	offset := int64(0)
	for _, part := range parts {
		n, err := f.WriteAt(part, offset)
		if err != nil {
			return j.failUnlessDiskFull(err, "write file")
		}
		offset += int64(n)
	}
	if err := f.Sync(); err != nil {
		return j.fail(errors.Wrap(err, "sync file"))
	}
	return nil
}

// failUnlessDiskFull returns ErrDiskFull if the operation failed because the disk is
// full. Otherwise it puts the ledger into the failed state.
func (j *Ledger) failUnlessDiskFull(cause error, operation string) error {
	if isDiskFull(cause) {
		return errors.Wrapf(ErrDiskFull, "%s: %v", operation, cause)
	}
	return j.fail(errors.Wrap(cause, operation))
}

// removeCoveredSegments removes the oldest segments whose records the snapshot
// covers. A failed removal is retried after the next snapshot.
func (j *Ledger) removeCoveredSegments() {
	for len(j.sealed) > 0 && j.sealed[0].maxIndex <= j.snapshotIndex {
		if err := j.files.Remove(j.path(segmentName(j.sealed[0].sequence))); err != nil {
			return
		}
		j.sealed = j.sealed[1:]
	}
}
