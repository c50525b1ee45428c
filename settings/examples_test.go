package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// parseExample parses the settings of an example, with the key files and the data
// folder replaced by temporary ones.
func parseExample(t *testing.T, file string) (*Settings, error) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "examples", file))
	require.NoError(t, err)
	folder := t.TempDir()
	key := filepath.Join(folder, "key")
	require.NoError(t, os.WriteFile(key, []byte("a key of sixteen bytes or more"), 0o600))
	changed := strings.NewReplacer(
		`"/etc/comfreytiller/key"`, quoteJSON(key),
		`"/etc/comfreytiller/target-key"`, quoteJSON(key),
		`"/var/lib/comfreytiller"`, quoteJSON(folder),
	).Replace(string(data))
	return Parse([]byte(changed))
}

func quoteJSON(path string) string { return `"` + filepath.ToSlash(path) + `"` }

func TestExampleSettings_StateReplica(t *testing.T) {
	parsed, err := parseExample(t, "agence-host.jsonc")
	require.NoError(t, err)
	require.Equal(t, "rabat-agdal-1", parsed.Host)
	require.NotNil(t, parsed.State)
	require.Equal(t, "agence", parsed.State.Cluster)
	require.Len(t, parsed.StateReplicas, 3)
	require.Equal(t, parsed.Peers, parsed.StateReplicas[0])
}

func TestExampleSettings_NoStateReplica(t *testing.T) {
	parsed, err := parseExample(t, "vernici-host.jsonc")
	require.NoError(t, err)
	require.Nil(t, parsed.State)
	require.True(t, parsed.OwnsServices)
	require.NotContains(t, parsed.StateReplicas, parsed.Peers)
}

func TestExampleSettings_FailureDomainInFleet(t *testing.T) {
	for settingsFile, fleetFile := range map[string]string{
		"agence-host.jsonc":  "agence.fleet.jsonc",
		"vernici-host.jsonc": "vernici.fleet.jsonc",
	} {
		parsed, err := parseExample(t, settingsFile)
		require.NoError(t, err)
		fleetText, err := os.ReadFile(filepath.Join("..", "examples", fleetFile))
		require.NoError(t, err)
		require.Contains(t, string(fleetText), `"`+parsed.FailureDomain+`"`, settingsFile)
	}
}
