package ledger

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/go-faster/errors"
)

// A snapshot file consists of a magic number, the last index that it covers, the
// length of the data, a CRC-32C checksum of these fields and the data, and the data.
const (
	snapshotMagic       = "ctsnap\x00\x01"
	snapshotHeaderBytes = 8 + 8 + 8 + 4
	snapshotFormat      = "snapshot-%016x"
)

func snapshotName(index uint64) string {
	return fmt.Sprintf(snapshotFormat, index)
}

// SaveSnapshot stores a snapshot that covers all records up to index and then
// drops those records; later records are kept. It returns once the snapshot is
// durable. It returns ErrInvalidIndex if index is 0 or below the current
// snapshot's. On a full disk it returns ErrDiskFull and keeps the old snapshot and
// all records.
func (j *Ledger) SaveSnapshot(index uint64, data []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failure != nil {
		return j.failure
	}
	if index == 0 || index < j.snapshotIndex {
		return errors.Wrapf(ErrInvalidIndex, "snapshot at %d below the one at %d", index, j.snapshotIndex)
	}
	if err := j.writeFileAtomically(snapshotName(index), snapshotHeader(index, data), data); err != nil {
		return errors.Wrap(err, "save snapshot")
	}
	old := j.snapshotIndex
	j.snapshotIndex = index
	j.lastIndex = max(j.lastIndex, index)
	if old != 0 && old != index {
		j.stale = append(j.stale, snapshotName(old))
	}
	// Files that can't be removed now are removed after the next snapshot.
	_ = j.removeStale()
	j.removeCoveredSegments()
	return nil
}

func snapshotHeader(index uint64, data []byte) []byte {
	header := make([]byte, 0, snapshotHeaderBytes)
	header = append(header, snapshotMagic...)
	header = binary.LittleEndian.AppendUint64(header, index)
	header = binary.LittleEndian.AppendUint64(header, uint64(len(data)))
	sum := crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, data)
	return binary.LittleEndian.AppendUint32(header, sum)
}

// readSnapshot returns the data of the snapshot at index, or nil for index 0.
func (j *Ledger) readSnapshot(index uint64) ([]byte, error) {
	if index == 0 {
		return nil, nil
	}
	name := snapshotName(index)
	content, err := j.files.ReadFile(j.path(name))
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	data, reason := decodeSnapshot(index, content)
	if reason != "" {
		return nil, &CorruptError{File: j.path(name), Reason: reason}
	}
	return data, nil
}

// decodeSnapshot returns the data, or the reason why the content is not a valid
// snapshot at index.
func decodeSnapshot(index uint64, content []byte) ([]byte, string) {
	if len(content) < snapshotHeaderBytes || string(content[:8]) != snapshotMagic {
		return nil, "invalid snapshot header"
	}
	if binary.LittleEndian.Uint64(content[8:]) != index {
		return nil, "index does not match the file name"
	}
	data := content[snapshotHeaderBytes:]
	if binary.LittleEndian.Uint64(content[16:]) != uint64(len(data)) {
		return nil, "length does not match the header"
	}
	sum := crc32.Update(crc32.Checksum(content[:24], castagnoli), castagnoli, data)
	if binary.LittleEndian.Uint32(content[24:]) != sum {
		return nil, "checksum mismatch"
	}
	return data, ""
}
