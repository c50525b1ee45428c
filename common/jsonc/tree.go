package jsonc

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// Limits restricts the input as a whole.
type Limits struct {
	// MaxBytes is the maximum size of the source in bytes.
	MaxBytes int
	// MaxDepth is the maximum nesting depth of objects and lists.
	MaxDepth int
}

// Parse returns the root of the syntax tree. It returns false and records a fault
// if the source exceeds a limit or has a syntax error.
func (r *Reader) Parse(limits Limits) (*hujson.Value, bool) {
	if len(r.Source) > limits.MaxBytes {
		r.Faultf(0, "", "the text has %d bytes; accepted are at most %d", len(r.Source), limits.MaxBytes)
		return nil, false
	}
	if offset, exceeded := findTooDeep(r.Source, limits.MaxDepth); exceeded {
		r.Faultf(offset, "", "objects and lists are nested too deep; accepted are at most %d levels", limits.MaxDepth)
		return nil, false
	}
	root, err := hujson.Parse(r.Source)
	if err != nil {
		r.Faults = append(r.Faults, syntaxFault(err))
		return nil, false
	}
	return &root, true
}

// syntaxFault extracts the position from a hujson error, which has the form
// "hujson: line 3, column 7: message".
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

// findTooDeep returns the offset of the bracket that exceeds maxDepth. It runs before
// the hujson parser, whose recursion is unbounded.
func findTooDeep(source []byte, maxDepth int) (offset int, exceeded bool) {
	depth := 0
	for i := 0; i < len(source); i++ {
		switch source[i] {
		case '"':
			i = endOfString(source, i)
		case '/':
			i = endOfComment(source, i)
		case '{', '[':
			depth++
			if depth > maxDepth {
				return i, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// endOfString returns the offset of the closing quote, or the length of the source.
func endOfString(source []byte, start int) int {
	for i := start + 1; i < len(source); i++ {
		switch source[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(source)
}

// endOfComment returns the offset of the comment's last byte, or start if no comment
// begins there.
func endOfComment(source []byte, start int) int {
	rest := source[start:]
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
		return len(source)
	}
	return start + end + width - 1
}
