package fleet

import (
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"comfreytiller.dev/common/jsonc"
)

// ErrInvalid is what errors.Is finds in every *Faults.
var ErrInvalid = jsonc.ErrInvalid

// Fault is one thing wrong with a text, with its line and column.
type Fault = jsonc.Fault

// Faults is the error of Parse: everything that is wrong with the text.
type Faults = jsonc.Faults

// reader copies a syntax tree into the domain types and collects the faults.
type reader struct {
	jsonc.Reader
}

// tree returns the syntax tree of a text within the bounds.
func (r *reader) tree() (*hujson.Value, bool) {
	if len(r.Source) <= MaxTextBytes && !utf8.Valid(r.Source) {
		r.Faultf(firstInvalid(r.Source), "", "this byte is not UTF-8; accepted is a text in UTF-8")
		return nil, false
	}
	return r.Parse(jsonc.Limits{MaxBytes: MaxTextBytes, MaxDepth: MaxNesting})
}

// firstInvalid returns the offset of the first byte that is not UTF-8.
func firstInvalid(text []byte) int {
	for offset := 0; offset < len(text); {
		character, size := utf8.DecodeRune(text[offset:])
		if character == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return len(text)
}

// err returns the faults as a *Faults; nil for none. It cuts what repeats too
// much of the text.
func (r *reader) err() error {
	for i := range r.Faults {
		r.Faults[i].Path = clip(r.Faults[i].Path)
		r.Faults[i].Message = clip(r.Faults[i].Message)
	}
	return r.Err()
}

func clip(text string) string {
	if len(text) <= maxFaultBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxFaultBytes], "") + "..."
}
