package registry

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// minDeflateBytes is the length from which a text is deflated: below, the
// saving is not worth the processor time.
const minDeflateBytes = 1 << 10

// deflate returns the text as it is or deflated, whichever is shorter.
func deflate(text []byte) (plain, deflated []byte) {
	if len(text) < minDeflateBytes {
		return text, nil
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return text, nil
	}
	if _, err := writer.Write(text); err != nil || writer.Close() != nil || packed.Len() >= len(text) {
		return text, nil
	}
	return nil, packed.Bytes()
}

// inflate is the inverse of deflate. Its error wraps ErrMalformed.
func inflate(plain, deflated []byte) ([]byte, error) {
	if len(deflated) == 0 {
		return bytesFromWire(plain), nil
	}
	reader := flate.NewReader(bytes.NewReader(deflated))
	text, err := io.ReadAll(io.LimitReader(reader, fleet.MaxConfigBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "inflate %d bytes: %v", len(deflated), err)
	}
	if len(text) > fleet.MaxConfigBytes {
		return nil, errors.Wrapf(ErrMalformed, "a deflated text of more than %d bytes", fleet.MaxConfigBytes)
	}
	return text, nil
}
