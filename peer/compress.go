package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/peer/peerpb"
)

// minCompressBytes is the frame size in bytes from which frames are compressed.
// Compression reduces target lists to a quarter, which matters when many hosts
// request them at the same time after an outage.
const minCompressBytes = 2 << 10

// compressFrame compresses a frame of at least minCompressBytes if that makes it
// shorter.
func compressFrame(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "deflate frame")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "deflate frame")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate frame")
	}
	if packed.Len() >= len(data) {
		return data, nil
	}
	wrapped, err := proto.Marshal(&peerpb.Frame{Packed: packed.Bytes()})
	if err != nil {
		return nil, errors.Wrap(err, "encode compressed frame")
	}
	return wrapped, nil
}

// decompressFrame replaces a frame by the compressed frame that it contains.
func decompressFrame(wire *peerpb.Frame) error {
	reader := flate.NewReader(bytes.NewReader(wire.Packed))
	data, err := io.ReadAll(io.LimitReader(reader, MaxFrameBytes+1))
	if err != nil || len(data) > MaxFrameBytes {
		return errors.Wrapf(ErrInvalidFrame, "inflate %d bytes: %v", len(wire.Packed), err)
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
