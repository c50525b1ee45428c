package journal

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// found is what the folder holds; numbers are in ascending order.
type found struct {
	temporary []string
	snapshots []uint64
	segments  []uint64
}

// repair checks the newest snapshot and all segments, and only then removes what
// a crash left half made: a folder that is refused stays as it was.
func (j *Journal) repair() error {
	names, err := j.files.List(j.folder)
	if err != nil {
		return errors.Wrap(err, "list folder")
	}
	all := sortNames(names)
	if len(all.snapshots) > 0 {
		j.snapshotIndex = slices.Max(all.snapshots)
	}
	if _, err := j.readSnapshot(j.snapshotIndex); err != nil {
		return err
	}
	if len(all.segments) == 0 && j.snapshotIndex != 0 {
		return &CorruptError{File: j.path(snapshotName(j.snapshotIndex)), Reason: "snapshot without a segment"}
	}
	if err := j.checkSegments(all.segments); err != nil {
		return err
	}
	if err := j.removeLeftovers(&all); err != nil {
		return err
	}
	if len(all.segments) == 0 {
		return j.roll()
	}
	return j.openActive()
}

func sortNames(names []string) found {
	var all found
	for _, name := range names {
		var number uint64
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			all.temporary = append(all.temporary, name)
		case matches(name, snapshotFormat, &number):
			all.snapshots = append(all.snapshots, number)
		case matches(name, segmentFormat, &number):
			all.segments = append(all.segments, number)
		}
	}
	return all
}

func matches(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && fmt.Sprintf(format, *number) == name
}

// removeLeftovers removes half-made files and the snapshots before the newest.
func (j *Journal) removeLeftovers(all *found) error {
	names := slices.Clone(all.temporary)
	for _, index := range all.snapshots {
		if index != j.snapshotIndex {
			names = append(names, snapshotName(index))
		}
	}
	for _, name := range names {
		if err := j.files.Remove(j.path(name)); err != nil {
			return errors.Wrapf(err, "remove %s", name)
		}
	}
	return nil
}

// checkSegments checks all segments; the last one becomes the active one.
func (j *Journal) checkSegments(sequences []uint64) error {
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
	return nil
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
	if err := j.files.SyncDir(j.folder); err != nil {
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
