package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// exampleSettings reads an example and puts a temporary key and data folder in
// the place of those that a host would have.
func exampleSettings(t *testing.T, file string) (*Settings, error) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("..", "examples", file))
	require.NoError(t, err)
	folder := t.TempDir()
	key := filepath.Join(folder, "key")
	require.NoError(t, os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600))
	changed := strings.NewReplacer(
		`"/etc/comfreytiller/key"`, quoted(key),
		`"/etc/comfreytiller/target-key"`, quoted(key),
		`"/var/lib/comfreytiller"`, quoted(folder),
	).Replace(string(text))
	return Parse([]byte(changed))
}

func quoted(path string) string { return `"` + filepath.ToSlash(path) + `"` }

func TestExampleWithAStateReplica(t *testing.T) {
	parsed, err := exampleSettings(t, "agence-host.jsonc")
	require.NoError(t, err)
	require.Equal(t, "rabat-agdal-1", parsed.Host)
	require.NotNil(t, parsed.State)
	require.Equal(t, "agence", parsed.State.Cluster)
	require.Len(t, parsed.StateReplicas, 3)
	require.Equal(t, parsed.Peers, parsed.StateReplicas[0])
}

func TestExampleWithoutAStateReplica(t *testing.T) {
	parsed, err := exampleSettings(t, "vernici-host.jsonc")
	require.NoError(t, err)
	require.Nil(t, parsed.State)
	require.True(t, parsed.OwnsServices)
	require.NotContains(t, parsed.StateReplicas, parsed.Peers)
}

func TestExampleNamesAFailureDomainOfItsFleet(t *testing.T) {
	for host, text := range map[string]string{
		"agence-host.jsonc":  "agence.fleet.jsonc",
		"vernici-host.jsonc": "vernici.fleet.jsonc",
	} {
		parsed, err := exampleSettings(t, host)
		require.NoError(t, err)
		fleetText, err := os.ReadFile(filepath.Join("..", "examples", text))
		require.NoError(t, err)
		require.Contains(t, string(fleetText), `"`+parsed.FailureDomain+`"`, host)
	}
}
