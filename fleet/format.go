package fleet

import (
	"github.com/tailscale/hujson"
)

// Format returns the configuration in canonical form. It keeps comments and the
// order of keys, and normalizes indentation, spaces and trailing commas. A
// configuration in canonical form is returned unchanged. An invalid configuration
// returns the error of Parse.
func Format(data []byte) ([]byte, error) {
	if _, err := Parse(data); err != nil {
		return nil, err
	}
	return hujson.Format(data)
}
