package ledger

import (
	"encoding/binary"
	"hash/crc32"
)

// Format of a record on disk, with little-endian numbers:
//
//	checksum      4 bytes  CRC-32C of the segment's sequence number, the record's
//	                       offset in the segment and all that follows
//	length        4 bytes  length of the payload
//	batch offset  4 bytes  offset from the start of the batch to this record
//	kind          1 byte
//	index         8 bytes
//	payload
const recordHeaderBytes = 4 + 4 + 4 + 1 + 8

// maxRecordBytes is the maximum size of a record's payload.
const maxRecordBytes = 256 << 20

// maxBatchBytes is the maximum total size of the payloads of one write.
const maxBatchBytes = 1 << 30

// recordKind is the effect of a record on the log.
type recordKind uint8

const (
	// kindState replaces the stored state.
	kindState recordKind = iota + 1
	// kindEntry appends a log entry after dropping the entries at and after its index.
	kindEntry
	// kindTruncate drops the log entries after its index.
	kindTruncate
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is a decoded record: a log entry, a state or a truncation.
type record struct {
	kind    recordKind
	index   uint64
	payload []byte
	// batchStart is the offset of the first record of the same batch.
	batchStart int64
	// end is the offset of the first byte after the record.
	end int64
}

// batch is a buffer of records that are written at once.
type batch struct {
	sequence uint64
	start    int64
	bytes    []byte
}

// newBatch returns an empty batch with capacity for the number of records and
// their total payload size.
func newBatch(sequence uint64, start int64, records, payloadBytes int) *batch {
	capacity := records*recordHeaderBytes + payloadBytes
	return &batch{sequence: sequence, start: start, bytes: make([]byte, 0, capacity)}
}

// add appends a record to the batch.
func (b *batch) add(kind recordKind, index uint64, payload []byte) {
	batchOffset := len(b.bytes)
	b.bytes = binary.LittleEndian.AppendUint32(b.bytes, 0)
	b.bytes = binary.LittleEndian.AppendUint32(b.bytes, uint32(len(payload)))
	b.bytes = binary.LittleEndian.AppendUint32(b.bytes, uint32(batchOffset))
	b.bytes = append(b.bytes, byte(kind))
	b.bytes = binary.LittleEndian.AppendUint64(b.bytes, index)
	b.bytes = append(b.bytes, payload...)
	sum := checksum(b.sequence, b.start+int64(batchOffset), b.bytes[batchOffset+4:])
	binary.LittleEndian.PutUint32(b.bytes[batchOffset:], sum)
}

// checksum covers the record's segment and offset as well as its bytes.
func checksum(sequence uint64, offset int64, body []byte) uint32 {
	var position [16]byte
	binary.LittleEndian.PutUint64(position[:], sequence)
	binary.LittleEndian.PutUint64(position[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(position[:], castagnoli), castagnoli, body)
}

// decodeRecord decodes the record at offset in a segment's data. It returns false
// if there is no complete and valid record at the offset.
func decodeRecord(sequence uint64, data []byte, offset int64) (record, bool) {
	rest := data[offset:]
	if len(rest) < recordHeaderBytes {
		return record{}, false
	}
	length := int64(binary.LittleEndian.Uint32(rest[4:]))
	batchOffset := int64(binary.LittleEndian.Uint32(rest[8:]))
	kind := recordKind(rest[12])
	end := recordHeaderBytes + length
	if end > int64(len(rest)) || batchOffset > offset-segmentHeaderBytes || kind < kindState || kind > kindTruncate {
		return record{}, false
	}
	if checksum(sequence, offset, rest[4:end]) != binary.LittleEndian.Uint32(rest) {
		return record{}, false
	}
	return record{
		kind:       kind,
		index:      binary.LittleEndian.Uint64(rest[13:]),
		payload:    rest[recordHeaderBytes:end:end],
		batchStart: offset - batchOffset,
		end:        offset + end,
	}, true
}
