package settings

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a host that doesn't start because its deployment has no features, or one
// that it does not know.
func TestParse_Features(t *testing.T) {
	const base = `{"Host": "e-1", "Role": "Entry", "TrustNetwork": true, "FailureDomain": "a", "Callers": "127.0.0.1:1",
		"Peers": "127.0.0.1:2", "Admin": "127.0.0.1:3", "StateReplicas": ["127.0.0.1:4"]%s}`
	for text, expected := range map[string][]string{
		"": nil, `, "Features": null`: nil, `, "Features": []`: nil, `, "Features": ["pressure", "unknown"]`: {"pressure", "unknown"},
	} {
		parsed, err := Parse(fmt.Appendf(nil, base, text))
		require.NoError(t, err, text)
		require.Equal(t, expected, parsed.Features, text)
	}
	_, err := Parse(fmt.Appendf(nil, base, `, "Features": "pressure"`))
	require.Error(t, err)
}
