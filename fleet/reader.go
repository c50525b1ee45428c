package fleet

import (
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"

	"comfreytiller.dev/common/jsonc"
)

// ErrInvalid matches every *Faults with errors.Is.
var ErrInvalid = jsonc.ErrInvalid

// Fault is an error in a configuration, with its line and column.
type Fault = jsonc.Fault

// Faults is the error of Parse. It holds all faults of the configuration.
type Faults = jsonc.Faults

// reader copies a syntax tree into the domain types and collects the faults.
type reader struct {
	jsonc.Reader
}

// parseTree checks the bounds and the encoding and returns the syntax tree.
func (r *reader) parseTree() (*hujson.Value, bool) {
	if len(r.Source) <= MaxConfigBytes && !utf8.Valid(r.Source) {
		r.Faultf(firstInvalidUTF8(r.Source), "", "this byte is not UTF-8; accepted is a text in UTF-8")
		return nil, false
	}
	return r.Parse(jsonc.Limits{MaxBytes: MaxConfigBytes, MaxDepth: MaxNesting})
}

// firstInvalidUTF8 returns the offset of the first byte that is not valid UTF-8.
func firstInvalidUTF8(data []byte) int {
	for offset := 0; offset < len(data); {
		character, size := utf8.DecodeRune(data[offset:])
		if character == utf8.RuneError && size == 1 {
			return offset
		}
		offset += size
	}
	return len(data)
}

// err returns the faults as a *Faults, or nil if there are none. It truncates paths
// and messages, which quote the configuration and can be very long.
func (r *reader) err() error {
	for i := range r.Faults {
		r.Faults[i].Path = truncate(r.Faults[i].Path)
		r.Faults[i].Message = truncate(r.Faults[i].Message)
	}
	return r.Err()
}

func truncate(s string) string {
	if len(s) <= maxFaultBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxFaultBytes], "") + "..."
}
