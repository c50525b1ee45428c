package ledger

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Limits of the names in an Inventory.
const (
	// maxOtherNames is the maximum number of names.
	maxOtherNames = 8
	// maxOtherNameBytes is the size in bytes at which a name is cut.
	maxOtherNameBytes = 64
)

// Inventory describes the contents of a directory. Its size is bounded.
type Inventory struct {
	// Exists is false if there is no such directory.
	Exists bool
	// Segments is the number of segments, FirstSegment and LastSegment are the lowest and
	// the highest sequence number; 0 without a segment.
	Segments                  int
	FirstSegment, LastSegment uint64
	// Snapshots is the number of snapshots, SnapshotIndex the index of the latest one; 0
	// without a snapshot.
	Snapshots     int
	SnapshotIndex uint64
	// Temporary is the number of partially written files.
	Temporary int
	// Others is the number of entries that are not part of the ledger, OtherNames are the
	// first of their names. The lock file is not counted.
	Others     int
	OtherNames []string
}

// Inspect lists the directory of a ledger and changes nothing there. It needs no lock. A
// missing directory is not an error.
func Inspect(dir string, options ...Option) (Inventory, error) {
	j := newLedger(dir, options)
	names, err := j.files.List(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return Inventory{}, nil
	}
	if err != nil {
		return Inventory{}, errors.Wrapf(err, "list directory %s", dir)
	}
	all := j.classify(names)
	found := Inventory{
		Exists: true, Segments: len(all.segments), Snapshots: len(all.snapshots),
		Temporary: len(all.temporary), Others: len(all.others),
	}
	if len(all.segments) > 0 {
		found.FirstSegment, found.LastSegment = slices.Min(all.segments), slices.Max(all.segments)
	}
	if len(all.snapshots) > 0 {
		found.SnapshotIndex = slices.Max(all.snapshots)
	}
	for _, name := range all.others[:min(len(all.others), maxOtherNames)] {
		found.OtherNames = append(found.OtherNames, name[:min(len(name), maxOtherNameBytes)])
	}
	return found, nil
}

// IsEmpty reports whether the directory is missing or has no entry but the lock file.
func (i Inventory) IsEmpty() bool {
	return i.Segments+i.Snapshots+i.Temporary+i.Others == 0
}

// String describes the contents in one line for logs.
func (i Inventory) String() string {
	switch {
	case !i.Exists:
		return "does not exist"
	case i.IsEmpty():
		return "is empty"
	}
	var parts []string
	if i.Segments > 0 {
		parts = append(parts, fmt.Sprintf("segments: %d (%d to %d)", i.Segments, i.FirstSegment, i.LastSegment))
	}
	if i.Snapshots > 0 {
		parts = append(parts, fmt.Sprintf("snapshots: %d (index %d)", i.Snapshots, i.SnapshotIndex))
	}
	if i.Temporary > 0 {
		parts = append(parts, fmt.Sprintf("temporary files: %d", i.Temporary))
	}
	if i.Others > 0 {
		parts = append(parts, fmt.Sprintf("other entries: %d (%q)", i.Others, i.OtherNames))
	}
	return "has " + strings.Join(parts, ", ")
}
