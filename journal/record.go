package journal

import (
	"encoding/binary"
	"hash/crc32"
)

// A record on disk, numbers little-endian:
//
//	checksum  4 bytes  CRC-32C of segment number, offset and all that follows
//	length    4 bytes  of the payload
//	distance  4 bytes  from the start of the batch to this record
//	kind      1 byte
//	index     8 bytes
//	payload
const recordHeaderBytes = 4 + 4 + 4 + 1 + 8

// maxRecordBytes bounds a record's payload.
const maxRecordBytes = 256 << 20

// maxBatchBytes bounds the payloads of one write.
const maxBatchBytes = 1 << 30

// recordKind tells what a record does to the log.
type recordKind uint8

const (
	// kindState replaces the stored state.
	kindState recordKind = iota + 1
	// kindEntry adds a record, and first drops those at and after its index.
	kindEntry
	// kindTruncate drops the records after its index.
	kindTruncate
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// record is one decoded record.
type record struct {
	kind    recordKind
	index   uint64
	payload []byte
	// batchStart is the offset of the first record of the same write.
	batchStart int64
	// end is the offset after the record.
	end int64
}

// batch collects the bytes of one write.
type batch struct {
	sequence uint64
	start    int64
	bytes    []byte
}

// newBatch returns an empty batch with room for records of payloadBytes in all.
func newBatch(sequence uint64, start int64, records, payloadBytes int) *batch {
	room := records*recordHeaderBytes + payloadBytes
	return &batch{sequence: sequence, start: start, bytes: make([]byte, 0, room)}
}

// add appends one record to the batch.
func (b *batch) add(kind recordKind, index uint64, payload []byte) {
	distance := len(b.bytes)
	b.bytes = binary.LittleEndian.AppendUint32(b.bytes, 0)
	b.bytes = binary.LittleEndian.AppendUint32(b.bytes, uint32(len(payload)))
	b.bytes = binary.LittleEndian.AppendUint32(b.bytes, uint32(distance))
	b.bytes = append(b.bytes, byte(kind))
	b.bytes = binary.LittleEndian.AppendUint64(b.bytes, index)
	b.bytes = append(b.bytes, payload...)
	sum := checksum(b.sequence, b.start+int64(distance), b.bytes[distance+4:])
	binary.LittleEndian.PutUint32(b.bytes[distance:], sum)
}

// checksum covers the record's place as well as its bytes.
func checksum(sequence uint64, offset int64, body []byte) uint32 {
	var place [16]byte
	binary.LittleEndian.PutUint64(place[:], sequence)
	binary.LittleEndian.PutUint64(place[8:], uint64(offset))
	return crc32.Update(crc32.Checksum(place[:], castagnoli), castagnoli, body)
}

// decodeRecord reads the record at offset of a segment's bytes. It reports false
// when no whole and valid record stands there.
func decodeRecord(sequence uint64, data []byte, offset int64) (record, bool) {
	rest := data[offset:]
	if len(rest) < recordHeaderBytes {
		return record{}, false
	}
	length := int64(binary.LittleEndian.Uint32(rest[4:]))
	distance := int64(binary.LittleEndian.Uint32(rest[8:]))
	kind := recordKind(rest[12])
	end := recordHeaderBytes + length
	if end > int64(len(rest)) || distance > offset-segmentHeaderBytes || kind < kindState || kind > kindTruncate {
		return record{}, false
	}
	if checksum(sequence, offset, rest[4:end]) != binary.LittleEndian.Uint32(rest) {
		return record{}, false
	}
	return record{
		kind:       kind,
		index:      binary.LittleEndian.Uint64(rest[13:]),
		payload:    rest[recordHeaderBytes:end:end],
		batchStart: offset - distance,
		end:        offset + end,
	}, true
}
