package journal

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"path/filepath"

	"github.com/go-faster/errors"
)

// A segment starts with a magic number, its own number and their checksum, and
// then with the state at the time of its start, so that older segments can be
// removed.
const (
	segmentMagic       = "ctlog\x00\x00\x01"
	segmentHeaderBytes = 8 + 8 + 4
	segmentFormat      = "segment-%016x"
	temporarySuffix    = ".tmp"
)

// segment is one file of the log.
type segment struct {
	sequence uint64
	// size is the length of the valid bytes.
	size int64
	// highest is the largest index that any record of the segment has.
	highest uint64
}

func segmentName(sequence uint64) string {
	return fmt.Sprintf(segmentFormat, sequence)
}

func (j *Journal) path(name string) string {
	return filepath.Join(j.folder, name)
}

func segmentHeader(sequence uint64) []byte {
	header := append([]byte{}, segmentMagic...)
	header = binary.LittleEndian.AppendUint64(header, sequence)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// write adds the batch to the active segment and syncs it. A full disk leaves
// the segment as it was; any other failure ends the journal.
func (j *Journal) write(b *batch) error {
	if _, err := j.activeFile.WriteAt(b.bytes, b.start); err != nil {
		return j.undoWrite(err)
	}
	if err := j.activeFile.Sync(); err != nil {
		return j.fail(errors.Wrap(err, "sync segment"))
	}
	j.active.size += int64(len(b.bytes))
	return nil
}

// undoWrite cuts the part of a batch that a failed write left.
func (j *Journal) undoWrite(cause error) error {
	if !isFull(cause) {
		return j.fail(errors.Wrap(cause, "write segment"))
	}
	if err := j.activeFile.Truncate(j.active.size); err != nil {
		return j.fail(errors.Wrap(err, "cut segment after a full disk"))
	}
	return errors.Wrapf(ErrDiskFull, "write %s: %v", segmentName(j.active.sequence), cause)
}

// fail ends the journal: the system may hold pages as clean that never reached
// the disk, so neither a second fsync nor a later write can be trusted.
func (j *Journal) fail(cause error) error {
	j.failure = errors.Wrapf(ErrFailed, "%v", cause)
	return j.failure
}

// rollWhenLarge starts the next segment when the active one has its size.
func (j *Journal) rollWhenLarge() error {
	if j.active.size < j.segmentBytes {
		return nil
	}
	return j.roll()
}

// roll starts the next segment. The file gets its name only once its first
// bytes are on disk, so a segment never has half a header.
func (j *Journal) roll() error {
	sequence := j.active.sequence + 1
	content := segmentHeader(sequence)
	if j.state != nil {
		b := newBatch(sequence, int64(len(content)), 1, len(j.state))
		b.add(kindState, 0, j.state)
		content = append(content, b.bytes...)
	}
	if err := j.publish(segmentName(sequence), content); err != nil {
		return err
	}
	f, err := j.files.Open(j.path(segmentName(sequence)))
	if err != nil {
		return j.fail(errors.Wrap(err, "open new segment"))
	}
	if j.activeFile != nil {
		_ = j.activeFile.Close()
		j.sealed = append(j.sealed, j.active)
	}
	j.active = segment{sequence: sequence, size: int64(len(content))}
	j.activeFile = f
	return nil
}

// publish makes a whole file appear under its name, or leaves things as they
// were when the disk is full.
func (j *Journal) publish(name string, parts ...[]byte) error {
	temporary := j.path(name + temporarySuffix)
	if err := j.writeTemporary(temporary, parts); err != nil {
		return err
	}
	if err := j.files.Rename(temporary, j.path(name)); err != nil {
		return j.failUnlessFull(err, "rename "+name)
	}
	if err := j.files.SyncDir(j.folder); err != nil {
		return j.fail(errors.Wrap(err, "sync folder"))
	}
	return nil
}

func (j *Journal) writeTemporary(temporary string, parts [][]byte) error {
	f, err := j.files.Create(temporary)
	if err != nil {
		return j.failUnlessFull(err, "create file")
	}
	defer f.Close()
	offset := int64(0)
	for _, part := range parts {
		n, err := f.WriteAt(part, offset)
		if err != nil {
			_ = j.files.Remove(temporary)
			return j.failUnlessFull(err, "write file")
		}
		offset += int64(n)
	}
	if err := f.Sync(); err != nil {
		return j.fail(errors.Wrap(err, "sync file"))
	}
	return nil
}

func (j *Journal) failUnlessFull(cause error, what string) error {
	if isFull(cause) {
		return errors.Wrapf(ErrDiskFull, "%s: %v", what, cause)
	}
	return j.fail(errors.Wrap(cause, what))
}

// removeCovered removes the oldest segments whose records a snapshot covers. A
// removal that fails is tried again after the next snapshot.
func (j *Journal) removeCovered() {
	for len(j.sealed) > 0 && j.sealed[0].highest <= j.snapshotIndex {
		if err := j.files.Remove(j.path(segmentName(j.sealed[0].sequence))); err != nil {
			return
		}
		j.sealed = j.sealed[1:]
	}
}
