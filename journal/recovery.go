package journal

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// repair finds the newest snapshot, removes what a crash left half made, and
// checks all segments.
func (j *Journal) repair() error {
	names, err := j.files.List(j.folder)
	if err != nil {
		return errors.Wrap(err, "list folder")
	}
	var sequences []uint64
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			err = j.files.Remove(j.path(name))
		case matches(name, snapshotFormat, &number):
			err = j.keepNewest(number)
		case matches(name, segmentFormat, &number):
			sequences = append(sequences, number)
		}
		if err != nil {
			return errors.Wrapf(err, "file %s", name)
		}
	}
	if _, err := j.readSnapshot(j.snapshotIndex); err != nil {
		return err
	}
	if len(sequences) == 0 {
		return j.startEmpty()
	}
	return j.recoverSegments(sequences)
}

func matches(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && fmt.Sprintf(format, *number) == name
}

// keepNewest removes the older of two snapshots; names come in order.
func (j *Journal) keepNewest(index uint64) error {
	old := j.snapshotIndex
	j.snapshotIndex = index
	if old == 0 {
		return nil
	}
	return j.files.Remove(j.path(snapshotName(old)))
}

// startEmpty creates the first segment. A snapshot without any segment is
// damage: a segment always exists before the first snapshot.
func (j *Journal) startEmpty() error {
	if j.snapshotIndex != 0 {
		return &CorruptError{File: j.path(snapshotName(j.snapshotIndex)), Reason: "snapshot without a segment"}
	}
	return j.roll()
}

// recoverSegments checks all segments and opens the last one for appending.
func (j *Journal) recoverSegments(sequences []uint64) error {
	r := newReplay(j.snapshotIndex, false)
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			return &CorruptError{File: j.path(segmentName(sequence)), Reason: "the segment before it is missing"}
		}
		last := i == len(sequences)-1
		s, err := j.replaySegment(r, sequence, last)
		if err != nil {
			return err
		}
		if !last {
			j.sealed = append(j.sealed, s)
			continue
		}
		j.active = s
	}
	j.state = r.state
	j.lastIndex = max(r.last, j.snapshotIndex)
	return j.openActive()
}

// openActive cuts an incomplete write off the active segment and writes the rest
// again: after a failed fsync the system may serve bytes from memory that it
// holds as clean and that never reached the disk.
func (j *Journal) openActive() error {
	path := j.path(segmentName(j.active.sequence))
	content, err := j.files.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read segment")
	}
	f, err := j.files.Open(path)
	if err != nil {
		return errors.Wrap(err, "open segment")
	}
	j.activeFile = f
	if err := f.Truncate(j.active.size); err != nil {
		return errors.Wrap(err, "cut segment")
	}
	if _, err := f.WriteAt(content[:j.active.size], 0); err != nil {
		return errors.Wrap(err, "rewrite segment")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	j.removeCovered()
	if err := j.files.SyncFolder(j.folder); err != nil {
		return errors.Wrap(err, "sync folder")
	}
	return nil
}

// replaySegment feeds the records of a segment to r. In the last segment an
// incomplete write ends it; elsewhere it is damage.
func (j *Journal) replaySegment(r *replay, sequence uint64, last bool) (segment, error) {
	path := j.path(segmentName(sequence))
	data, err := j.files.ReadFile(path)
	if err != nil {
		return segment{}, errors.Wrapf(err, "read %s", path)
	}
	s, err := scanSegment(r, sequence, data, last)
	var corrupt *CorruptError
	if errors.As(err, &corrupt) {
		corrupt.File = path
	}
	return s, err
}

// scanSegment checks a segment's bytes and feeds its records to r. It returns a
// *CorruptError without a file name for damage.
func scanSegment(r *replay, sequence uint64, data []byte, last bool) (segment, error) {
	header := segmentHeader(sequence)
	if !bytes.HasPrefix(data, header) {
		return segment{}, &CorruptError{Reason: "no segment header"}
	}
	s := segment{sequence: sequence, size: segmentHeaderBytes}
	for s.size < int64(len(data)) {
		decoded, ok := decodeRecord(sequence, data, s.size)
		if !ok {
			if !last || laterBatch(sequence, data, s.size) {
				return segment{}, &CorruptError{Offset: s.size, Reason: "bad record before the last write"}
			}
			return s, nil
		}
		if err := r.apply(decoded); err != nil {
			return segment{}, &CorruptError{Offset: s.size, Reason: err.Error()}
		}
		s.highest = max(s.highest, decoded.index)
		s.size = decoded.end
	}
	return s, nil
}

// laterBatch reports whether a valid record of a later write stands after the
// bad one. A later write starts only once this one is on disk, so the bad record
// was acknowledged. Records of the same write may well survive a crash that lost
// the bad one.
func laterBatch(sequence uint64, data []byte, bad int64) bool {
	for offset := bad + 1; offset+recordHeaderBytes <= int64(len(data)); offset++ {
		decoded, ok := decodeRecord(sequence, data, offset)
		if ok && decoded.batchStart > bad {
			return true
		}
	}
	return false
}
