package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/peer/peerpb"
)

// packFrom is the length from which a frame is deflated, in bytes: lists of
// targets shrink to a quarter, and many hosts ask for them at once after a loss.
const packFrom = 2 << 10

// pack deflates a long frame where that makes it shorter.
func pack(data []byte) ([]byte, error) {
	if len(data) < packFrom {
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
		return nil, errors.Wrap(err, "encode deflated frame")
	}
	return wrapped, nil
}

// unpack replaces a frame by the one that it holds deflated.
func unpack(wire *peerpb.Frame) error {
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
		return errors.Wrap(ErrInvalidFrame, "a deflated frame within a deflated frame")
	}
	return nil
}
