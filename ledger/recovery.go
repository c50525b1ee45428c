package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// dirFiles lists the files in the directory, with numbers in ascending order. Names of the
// ledger's files have no prefix here.
type dirFiles struct {
	// own are all files of the ledger but the lock file.
	own       []string
	temporary []string
	snapshots []uint64
	segments  []uint64
	// others are the names that don't belong to a ledger.
	others []string
}

// repair checks the latest snapshot and all segments before it removes partially
// written files, so a directory that fails the checks is left unchanged.
func (j *Ledger) repair() error {
	names, err := j.files.List(j.dir)
	if err != nil {
		return errors.Wrap(err, "list directory")
	}
	all := j.classify(names)
	if len(all.snapshots) > 0 {
		j.snapshotIndex = slices.Max(all.snapshots)
	}
	if _, err := j.readSnapshot(j.snapshotIndex); err != nil {
		return err
	}
	if len(all.segments) == 0 && j.snapshotIndex != 0 {
		return &CorruptError{File: j.path(snapshotName(j.snapshotIndex)), Reason: "snapshot exists but no segment does"}
	}
	for _, name := range all.temporary {
		if len(all.segments) == 0 && name != segmentName(1)+temporarySuffix {
			return &CorruptError{File: j.path(name), Reason: "the segment before it is missing"}
		}
	}
	if err := j.checkSegments(all.segments); err != nil {
		return err
	}
	// A process that was killed may have renamed a file without a sync of the directory. What
	// the file replaces must not be removed before the new name is durable.
	if err := j.files.SyncDir(j.dir); err != nil {
		return errors.Wrap(err, "sync directory")
	}
	if err := j.removeLeftoverFiles(&all); err != nil {
		return err
	}
	if len(all.segments) == 0 {
		return j.rotate()
	}
	return j.openActive()
}

// classify groups the names by kind.
func (j *Ledger) classify(names []string) dirFiles {
	var all dirFiles
	for _, fullName := range names {
		var number uint64
		name, hasPrefix := strings.CutPrefix(fullName, j.prefix)
		final, isTemporary := strings.CutSuffix(name, temporarySuffix)
		isSnapshot := parseNumberedName(final, snapshotFormat, &number)
		switch {
		case hasPrefix && name == lockName:
			continue
		case !hasPrefix || !isSnapshot && !parseNumberedName(final, segmentFormat, &number):
			all.others = append(all.others, fullName)
			continue
		case isTemporary:
			all.temporary = append(all.temporary, name)
		case isSnapshot:
			all.snapshots = append(all.snapshots, number)
		default:
			all.segments = append(all.segments, number)
		}
		all.own = append(all.own, name)
	}
	return all
}

// parseNumberedName reports whether name has exactly the given format, and sets
// number.
func parseNumberedName(name, format string, number *uint64) bool {
	_, err := fmt.Sscanf(name, format, number)
	return err == nil && fmt.Sprintf(format, *number) == name
}

// removeLeftoverFiles removes temporary files and all snapshots except the latest.
func (j *Ledger) removeLeftoverFiles(all *dirFiles) error {
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

// checkSegments checks all segments and makes the last one the active segment. A segment may
// be missing if the snapshot covers it and all before it: after a loss of power, any of the
// names that were removed since the directory was last synced may be back.
func (j *Ledger) checkSegments(sequences []uint64) error {
	r := newReplay(j.snapshotIndex, false)
	for i, sequence := range sequences {
		if i > 0 && sequence != sequences[i-1]+1 {
			if j.uncoveredSegment() {
				return &CorruptError{File: j.path(segmentName(sequence)), Reason: errUncoveredGap.Error()}
			}
			r.skipGap()
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
	if r.afterGap {
		return &CorruptError{File: j.path(segmentName(j.active.sequence)), Reason: errUncoveredGap.Error()}
	}
	j.state = r.state
	j.lastIndex = max(r.last, j.snapshotIndex)
	return nil
}

// uncoveredSegment reports whether a full segment has records that the snapshot doesn't cover.
func (j *Ledger) uncoveredSegment() bool {
	return slices.ContainsFunc(j.sealed, func(s segment) bool { return s.maxIndex > j.snapshotIndex })
}

// openActive truncates an incomplete write at the end of the active segment and
// rewrites the rest: after a failed fsync, the page cache may hold pages that are
// marked clean but never reached the disk.
func (j *Ledger) openActive() error {
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
		return errors.Wrap(err, "truncate segment")
	}
	if _, err := f.WriteAt(content[:j.active.size], 0); err != nil {
		return errors.Wrap(err, "rewrite segment")
	}
	if err := f.Sync(); err != nil {
		return errors.Wrap(err, "sync segment")
	}
	j.removeCoveredSegments()
	if err := j.files.SyncDir(j.dir); err != nil {
		return errors.Wrap(err, "sync directory")
	}
	return nil
}

// replaySegment applies the records of a segment to r. An incomplete write is
// accepted at the end of the last segment and is corruption anywhere else.
func (j *Ledger) replaySegment(r *replay, sequence uint64, last bool) (segment, error) {
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

// scanSegment checks a segment's data and applies its records to r. It returns a
// *CorruptError without a file name if the data is damaged.
func scanSegment(r *replay, sequence uint64, data []byte, last bool) (segment, error) {
	header := segmentHeader(sequence)
	if !bytes.HasPrefix(data, header) {
		return segment{}, &CorruptError{Reason: "invalid segment header"}
	}
	s := segment{sequence: sequence, size: segmentHeaderBytes}
	for s.size < int64(len(data)) {
		decoded, ok := decodeRecord(sequence, data, s.size)
		if !ok {
			if !last || hasLaterBatch(sequence, data, s.size) {
				return segment{}, &CorruptError{Offset: s.size, Reason: "invalid record before the last write"}
			}
			return s, nil
		}
		if err := r.apply(decoded); err != nil {
			return segment{}, &CorruptError{Offset: s.size, Reason: err.Error()}
		}
		s.maxIndex = max(s.maxIndex, decoded.index)
		s.size = decoded.end
	}
	return s, nil
}

// hasLaterBatch reports whether a valid record of a later write follows the invalid
// record at the given offset. A later write starts only once the previous one is
// durable, so the invalid record was acknowledged. Later records of the same
// write don't prove that: they can survive a crash that lost the invalid one.
func hasLaterBatch(sequence uint64, data []byte, invalid int64) bool {
	for offset := invalid + 1; offset+recordHeaderBytes <= int64(len(data)); offset++ {
		decoded, ok := decodeRecord(sequence, data, offset)
		if ok && decoded.batchStart > invalid {
			return true
		}
	}
	return false
}
