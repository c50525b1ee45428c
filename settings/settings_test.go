package settings

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/common/jsonc"
)

// exampleConfig creates a key file and a data directory and returns settings that
// refer to them.
func exampleConfig(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	require.NoError(t, os.WriteFile(key, []byte("0123456789abcdef\n"), 0o600))
	return fmt.Sprintf(`{
	// One host of three.
	"Host": "rabat-a-1",
	"FailureDomain": "Rabat-A",
	"Callers": "127.0.0.1:8080",
	"Peers": "127.0.0.1:7080",
	"Admin": "127.0.0.1:9080",
	"KeyFile": %q,
	"StateReplicas": ["127.0.0.1:7080"],
	"State": {"Folder": %q, "Cluster": "Agence"},
	"DrainTimeout": "30s",
}`, key, dir)
}

func TestParse_FillsDefaults(t *testing.T) {
	parsed, err := Parse([]byte(exampleConfig(t)))
	require.NoError(t, err)
	require.Equal(t, "rabat-a-1", parsed.Host)
	require.True(t, parsed.OwnsServices)
	require.Equal(t, Log{Level: "info", Format: "text", Output: OutputStderr}, parsed.Log)
	require.Equal(t, "Agence", parsed.State.Cluster)
}

func TestParse_ReportsEveryFault(t *testing.T) {
	_, err := Parse([]byte(`{
	"Host": "rabat a 1",
	"FailureDomain": "Rabat-A",
	"Callers": "localhost:8080",
	"Peers": "127.0.0.1",
	"Admin": "127.0.0.1:0",
	"KeyFile": "/missing/key",
	"StateReplicas": [],
	"State": {"Folder": "/missing/folder", "Cluster": "Agence"},
	"DrainTimeout": 30,
	"Log": {"Level": "loud"},
	"Colour": "red"
}`))
	require.ErrorIs(t, err, jsonc.ErrInvalid)
	var faults *jsonc.Faults
	require.ErrorAs(t, err, &faults)
	var paths []string
	for i, fault := range faults.All {
		paths = append(paths, fault.Path)
		if i > 0 {
			require.GreaterOrEqual(t, fault.Line, faults.All[i-1].Line)
		}
	}
	require.Equal(t, []string{
		"Host", "Callers", "Peers", "Admin", "KeyFile", "StateReplicas",
		"State.Folder", "DrainTimeout", "Log.Level", "Colour",
	}, paths)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"Host": "a"}`))
	f.Add([]byte(`{"Log": {"Level": 3}, // comment
	}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := Parse(data)
		if err == nil {
			require.NotEmpty(t, parsed.Host)
		}
	})
}

// A host that doesn't know its machine must start as before, and one that is told a machine that
// can't be must not.
func TestParse_Machine(t *testing.T) {
	parsed, err := Parse([]byte(exampleConfig(t)))
	require.NoError(t, err)
	require.Zero(t, parsed.Memory)
	require.Zero(t, parsed.Descriptors)
	text := exampleConfig(t)
	parsed, err = Parse([]byte(text[:len(text)-1] + `"Memory": 136, "Descriptors": 2870}`))
	require.NoError(t, err)
	require.Equal(t, 136, parsed.Memory)
	require.Equal(t, 2870, parsed.Descriptors)
	_, err = Parse([]byte(text[:len(text)-1] + `"Memory": -1}`))
	require.ErrorIs(t, err, jsonc.ErrInvalid)
}
