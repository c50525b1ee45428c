package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/peer/peerpb"
)

// minCompressBytes is the frame size in bytes from which frames are compressed.
// Compression reduces target lists to a quarter, which matters when many hosts
// request them at the same time after an outage.
const minCompressBytes = 512

// writers and readers hold compressors and decompressors for reuse. A compressor has 1.2 MB of
// tables: a new one for each frame took ten times as long as the compression of a small frame.
var (
	writers sync.Pool
	readers sync.Pool
)

// takeWriter returns a compressor that writes to packed.
func takeWriter(packed io.Writer) (*flate.Writer, error) {
	if writer, ok := writers.Get().(*flate.Writer); ok {
		writer.Reset(packed)
		return writer, nil
	}
	return flate.NewWriter(packed, flate.BestSpeed) //nolint:wrapcheck // The caller wraps it.
}

// inflater is a decompressor that can be reused.
type inflater interface {
	io.Reader
	flate.Resetter
}

// takeReader returns a decompressor of packed.
func takeReader(packed []byte) (inflater, error) {
	if reader, ok := readers.Get().(inflater); ok {
		if err := reader.Reset(bytes.NewReader(packed), nil); err != nil {
			return nil, errors.Wrap(err, "reset decompressor")
		}
		return reader, nil
	}
	reader, ok := flate.NewReader(bytes.NewReader(packed)).(inflater)
	if !ok {
		return nil, errors.New("decompressor can't be reused")
	}
	return reader, nil
}

// deflate returns compressed data.
func deflate(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	writer, err := takeWriter(&packed)
	if err != nil {
		return nil, errors.Wrap(err, "deflate frame")
	}
	defer writers.Put(writer)
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate frame")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate frame")
	}
	return packed.Bytes(), nil
}

// inflate is the inverse of deflate.
func inflate(packed []byte) ([]byte, error) {
	reader, err := takeReader(packed)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalidFrame, "inflate %d bytes: %v", len(packed), err)
	}
	defer readers.Put(reader)
	data, err := io.ReadAll(io.LimitReader(reader, MaxFrameBytes+1))
	if err != nil || len(data) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrInvalidFrame, "inflate %d bytes: %v", len(packed), err)
	}
	return data, nil
}

// compressFrame compresses a frame of at least minCompressBytes if that makes it
// shorter.
func compressFrame(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	packed, err := deflate(data)
	if err != nil || len(packed) >= len(data) {
		return data, err
	}
	wrapped, err := proto.Marshal(&peerpb.Frame{Packed: packed})
	if err != nil {
		return nil, errors.Wrap(err, "encode compressed frame")
	}
	return wrapped, nil
}

// decompressFrame replaces a frame by the compressed frame that it contains.
func decompressFrame(wire *peerpb.Frame) error {
	data, err := inflate(wire.Packed)
	if err != nil {
		return err
	}
	proto.Reset(wire)
	if err := proto.Unmarshal(data, wire); err != nil {
		return errors.Wrapf(ErrInvalidFrame, "decode %d inflated bytes: %v", len(data), err)
	}
	if len(wire.Packed) > 0 {
		return errors.Wrap(ErrInvalidFrame, "compressed frame contains another compressed frame")
	}
	return nil
}
