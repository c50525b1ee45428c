package registry

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

const (
	// pieceBytes is the length of the pieces of a patch. With pieceBefore and
	// pieceAfter around it a dictionary fits the window of the compression.
	pieceBytes  = 16 << 10
	pieceBefore = 6 << 10
	pieceAfter  = 26 << 10
	// pieceLevel spends processor time once for each change, and saves bytes for
	// each host.
	pieceLevel = 6
)

// dictionary is the part of the base text around the place of a piece. A text
// whose version has changed at its beginning and a route at its end differs in
// between only by a shift.
func dictionary(base []byte, at int) []byte {
	from := min(max(at-pieceBefore, 0), len(base))
	return base[from:min(at+pieceAfter, len(base))]
}

// cutPieces returns the middle of a patch as it is or in deflated pieces.
func cutPieces(p *TextPatch) (middle []byte, pieces [][]byte) {
	if len(p.pieces) > 0 {
		return nil, p.pieces
	}
	if len(p.Middle) < minDeflateBytes {
		return p.Middle, nil
	}
	for at := 0; at < len(p.Middle); at += pieceBytes {
		var packed bytes.Buffer
		writer, err := flate.NewWriterDict(&packed, pieceLevel, dictionary(p.base, p.Prefix+at))
		if err != nil {
			return p.Middle, nil
		}
		if _, err := writer.Write(p.Middle[at:min(at+pieceBytes, len(p.Middle))]); err != nil || writer.Close() != nil {
			return p.Middle, nil
		}
		pieces = append(pieces, packed.Bytes())
	}
	return nil, pieces
}

// joinPieces is the inverse of cutPieces. Its error wraps ErrText.
func joinPieces(pieces [][]byte, base []byte, prefix int) ([]byte, error) {
	var middle []byte
	for _, piece := range pieces {
		reader := flate.NewReaderDict(bytes.NewReader(piece), dictionary(base, prefix+len(middle)))
		part, err := io.ReadAll(io.LimitReader(reader, pieceBytes+1))
		if err != nil || len(part) > pieceBytes {
			return nil, errors.Wrapf(ErrText, "inflate a piece of %d bytes: %v", len(piece), err)
		}
		middle = append(middle, part...)
		if len(middle) > fleet.MaxConfigBytes {
			return nil, errors.Wrap(ErrText, "the text is too long")
		}
	}
	return middle, nil
}
