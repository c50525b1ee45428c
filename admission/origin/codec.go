package origin

import (
	"encoding/binary"
	"time"

	"github.com/go-faster/errors"
)

// maxVersionBytes is the maximum length of a version in encoded records.
const maxVersionBytes = 4 << 10

// minRecordBytes is the length of the shortest encoded record.
const minRecordBytes = 8 + 1

// ErrInvalidEncoding reports bytes that are no encoded records.
var ErrInvalidEncoding = errors.New("invalid encoding of the origins of streams")

// Encode encodes the records for storage, grouped by version, with the milliseconds that
// are left to each instead of a timestamp. Expired records are left out.
func Encode(now time.Time, records []Record) []byte {
	byVersion := map[string][]Record{}
	for _, record := range records {
		if record.Until.Sub(now) >= time.Millisecond {
			byVersion[record.Version] = append(byVersion[record.Version], record)
		}
	}
	var encoded []byte
	for version, group := range byVersion {
		encoded = binary.AppendUvarint(encoded, uint64(len(version)))
		encoded = append(encoded, version...)
		encoded = binary.AppendUvarint(encoded, uint64(len(group)))
		for _, record := range group {
			encoded = binary.LittleEndian.AppendUint64(encoded, uint64(record.Key))
			encoded = binary.AppendUvarint(encoded, uint64(record.Until.Sub(now).Milliseconds()))
		}
	}
	return encoded
}

// Decode decodes the records of Encode. Their remaining time starts again at now, so that
// records outlast a stop of any length: clocks may be wrong after it, and what a record
// says stays true. It returns ErrInvalidEncoding for anything else.
func Decode(now time.Time, encoded []byte) ([]Record, error) {
	var records []Record
	for len(encoded) > 0 {
		length, rest, err := uvarint(encoded)
		if err != nil {
			return nil, err
		}
		if length > maxVersionBytes || length > uint64(len(rest)) {
			return nil, errors.Wrapf(ErrInvalidEncoding, "version of %d bytes with %d left", length, len(rest))
		}
		version := string(rest[:length])
		count, rest, err := uvarint(rest[length:])
		if err != nil {
			return nil, err
		}
		if count > uint64(len(rest)/minRecordBytes) {
			return nil, errors.Wrapf(ErrInvalidEncoding, "%d records in %d bytes", count, len(rest))
		}
		for range count {
			if len(rest) < minRecordBytes {
				return nil, errors.Wrapf(ErrInvalidEncoding, "record of %d bytes", len(rest))
			}
			key := Key(binary.LittleEndian.Uint64(rest))
			var milliseconds uint64
			if milliseconds, rest, err = uvarint(rest[8:]); err != nil {
				return nil, err
			}
			remaining := min(milliseconds, uint64(maxRemaining/time.Millisecond))
			records = append(records, Record{Key: key, Version: version, Until: now.Add(time.Duration(remaining) * time.Millisecond)})
		}
		encoded = rest
	}
	return records, nil
}

// maxRemaining bounds the time that is left to a decoded record.
const maxRemaining = 24 * time.Hour

func uvarint(encoded []byte) (value uint64, rest []byte, err error) {
	value, n := binary.Uvarint(encoded)
	if n <= 0 {
		return 0, nil, errors.Wrap(ErrInvalidEncoding, "number")
	}
	return value, encoded[n:], nil
}
