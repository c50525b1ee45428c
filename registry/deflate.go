package registry

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// minDeflateBytes is the size from which a configuration is compressed. Below it,
// the saving is not worth the CPU time.
const minDeflateBytes = 1 << 10

// deflate returns the configuration either uncompressed or compressed, whichever
// is shorter.
func deflate(config []byte) (plain, deflated []byte) {
	if len(config) < minDeflateBytes {
		return config, nil
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return config, nil
	}
	if _, err := writer.Write(config); err != nil || writer.Close() != nil || compressed.Len() >= len(config) {
		return config, nil
	}
	return nil, compressed.Bytes()
}

// inflate is the inverse of deflate. Errors wrap ErrMalformed.
func inflate(plain, deflated []byte) ([]byte, error) {
	if len(deflated) == 0 {
		return bytesFromWire(plain), nil
	}
	reader := flate.NewReader(bytes.NewReader(deflated))
	config, err := io.ReadAll(io.LimitReader(reader, fleet.MaxConfigBytes+1))
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "inflate %d bytes: %v", len(deflated), err)
	}
	if len(config) > fleet.MaxConfigBytes {
		return nil, errors.Wrapf(ErrMalformed, "a deflated text of more than %d bytes", fleet.MaxConfigBytes)
	}
	return config, nil
}
