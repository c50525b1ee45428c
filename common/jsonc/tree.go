package jsonc

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Limits limit a text as a whole.
type Limits struct {
	// MaxBytes is the size of the largest text.
	MaxBytes int
	// MaxDepth is the deepest nesting of objects and lists.
	MaxDepth int
}

// Parse returns the syntax tree of a text within the bounds.
func (r *Reader) Parse(bounds Limits) (*hujson.Value, bool) {
	if len(r.Source) > bounds.MaxBytes {
		r.Faultf(0, "", "the text has %d bytes; accepted are at most %d", len(r.Source), bounds.MaxBytes)
		return nil, false
	}
	if offset, deep := tooDeep(r.Source, bounds.MaxDepth); deep {
		r.Faultf(offset, "", "objects and lists are nested too deep; accepted are at most %d levels", bounds.MaxDepth)
		return nil, false
	}
	root, err := hujson.Parse(r.Source)
	if err != nil {
		r.Faults = append(r.Faults, syntaxFault(err))
		return nil, false
	}
	return &root, true
}

// syntaxFault takes the place out of the syntax library's message, which has
// the form "hujson: line 3, column 7: what is wrong".
func syntaxFault(err error) Fault {
	fault := Fault{Line: 1, Column: 1}
	_, scanErr := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &fault.Line, &fault.Column)
	fault.Message = "not JSON with comments: " + err.Error()
	if _, rest, found := strings.Cut(err.Error(), ": line "); scanErr == nil && found {
		_, message, _ := strings.Cut(rest, ": ")
		fault.Message = "not JSON with comments: " + message
	}
	return fault
}

// tooDeep finds the bracket that opens one level more than nesting. It runs
// before the syntax library, which is recursive without a bound.
func tooDeep(text []byte, nesting int) (offset int, deep bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = endOfString(text, i)
		case '/':
			i = endOfComment(text, i)
		case '{', '[':
			depth++
			if depth > nesting {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

func endOfString(text []byte, start int) int {
	for i := start + 1; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(text)
}

func endOfComment(text []byte, start int) int {
	rest := text[start:]
	end, width := -1, 0
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end, width = bytes.IndexByte(rest, '\n'), 1
	case bytes.HasPrefix(rest, []byte("/*")):
		end, width = bytes.Index(rest[2:], []byte("*/")), 4
	default:
		return start
	}
	if end < 0 {
		return len(text)
	}
	return start + end + width - 1
}
