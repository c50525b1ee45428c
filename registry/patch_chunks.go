package registry

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

const (
	// chunkBytes is the uncompressed size of a patch chunk. A dictionary of
	// dictionaryBytesBefore and dictionaryBytesAfter fits the 32 KiB window of
	// DEFLATE.
	chunkBytes            = 16 << 10
	dictionaryBytesBefore = 6 << 10
	dictionaryBytesAfter  = 26 << 10
	// chunkCompressionLevel favors size over speed: a patch is compressed once
	// per change but sent to every host.
	chunkCompressionLevel = 6
)

// chunkDictionary returns the part of the base configuration around an offset.
// When a version number at the beginning and a route at the end change, the
// bytes in between are only shifted, so the dictionary still matches them.
func chunkDictionary(base []byte, offset int) []byte {
	start := min(max(offset-dictionaryBytesBefore, 0), len(base))
	return base[start:min(offset+dictionaryBytesAfter, len(base))]
}

// compressMiddle returns the middle of a patch, either uncompressed or as
// compressed chunks.
func compressMiddle(p *ConfigPatch) (middle []byte, chunks [][]byte) {
	if len(p.compressedChunks) > 0 {
		return nil, p.compressedChunks
	}
	if len(p.Middle) < minDeflateBytes {
		return p.Middle, nil
	}
	for offset := 0; offset < len(p.Middle); offset += chunkBytes {
		var compressed bytes.Buffer
		writer, err := flate.NewWriterDict(&compressed, chunkCompressionLevel, chunkDictionary(p.baseConfig, p.Prefix+offset))
		if err != nil {
			return p.Middle, nil
		}
		if _, err := writer.Write(p.Middle[offset:min(offset+chunkBytes, len(p.Middle))]); err != nil || writer.Close() != nil {
			return p.Middle, nil
		}
		chunks = append(chunks, compressed.Bytes())
	}
	return nil, chunks
}

// decompressMiddle is the inverse of compressMiddle. Errors wrap
// ErrConfigMismatch.
func decompressMiddle(chunks [][]byte, base []byte, prefix int) ([]byte, error) {
	var middle []byte
	for _, chunk := range chunks {
		reader := flate.NewReaderDict(bytes.NewReader(chunk), chunkDictionary(base, prefix+len(middle)))
		part, err := io.ReadAll(io.LimitReader(reader, chunkBytes+1))
		if err != nil || len(part) > chunkBytes {
			return nil, errors.Wrapf(ErrConfigMismatch, "decompress a patch chunk of %d bytes: %v", len(chunk), err)
		}
		middle = append(middle, part...)
		if len(middle) > fleet.MaxConfigBytes {
			return nil, errors.Wrap(ErrConfigMismatch, "patched configuration is too long")
		}
	}
	return middle, nil
}
