package fleet

import (
	"github.com/tailscale/hujson"
)

// Format returns the text in its canonical form: comments and the order of the
// keys are kept, indentation, spaces and trailing commas are made uniform.
// A text in canonical form stays as it is. The text must be one that Parse
// takes; its error is that of Parse.
func Format(text []byte) ([]byte, error) {
	if _, err := Parse(text); err != nil {
		return nil, err
	}
	return hujson.Format(text)
}
