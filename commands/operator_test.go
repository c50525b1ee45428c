package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// run executes the operators' tool and returns its exit code and output.
func run(arguments ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = RunCLI(arguments, Streams{Out: &stdout, Err: &stderr, Clock: clockwork.NewRealClock()})
	return code, stdout.String(), stderr.String()
}

func TestUsageFaultsExitWith2(t *testing.T) {
	for _, test := range []struct {
		name      string
		arguments []string
		says      string
	}{
		{"unknown command", []string{"bogus"}, `unknown command "bogus"`},
		{"unknown flag", []string{"status", "--Colour", "red"}, "unknown flag --Colour"},
		{"missing key", []string{"status"}, "--KeyFile is missing"},
		{"missing text", []string{"check", "missing.jsonc", "--Offline"}, "missing.jsonc"},
		{"two outages", []string{"drain", "--FailureDomain", "A", "--Target", "t"}, "just one of"},
		{"no outage", []string{"restore"}, "just one of"},
		{"unknown change", []string{"replica", "move"}, "accepted are add, remove and replace"},
		{"replace without id", []string{"replica", "replace", "--Replica", "127.0.0.1:1"}, "--Id is missing"},
		{"add without replica", []string{"replica", "add"}, "--Replica is missing"},
		{"pin without target", []string{"pin"}, "--Target is missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, _, errOut := run(test.arguments...)
			require.Equal(t, ExitUsage, code)
			require.Contains(t, errOut, test.says)
		})
	}
}

func TestFaultyTextIsShownWithItsPlace(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{\n  \"Name\": 3\n}"), 0o600))
	code, _, errOut := run("check", file, "--Offline")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errOut, "line 2, column 11")
}

func TestExamplesAreAccepted(t *testing.T) {
	for _, file := range []string{"agence", "vernici"} {
		code, out, errOut := run("check", "../examples/"+file+".fleet.jsonc", "--Offline")
		require.Equal(t, ExitOK, code, errOut)
		require.Contains(t, out, "is accepted")
	}
}

func TestSentencesHaveAJSONForm(t *testing.T) {
	code, out, errOut := run("check", "../examples/agence.fleet.jsonc", "--Offline", "--Json")
	require.Equal(t, ExitOK, code, errOut)
	require.JSONEq(t, `{"Message": "../examples/agence.fleet.jsonc is accepted."}`, out)
}

func TestEveryCommandHasHelpWithAnExample(t *testing.T) {
	_, overview, _ := run("--help")
	for _, name := range []string{
		"check", "apply", "show", "status", "drain", "restore", "pin", "replica", "claims", "backup", "run", "version",
	} {
		require.Contains(t, overview, name)
		code, out, _ := run(name, "--help")
		require.Equal(t, ExitOK, code)
		require.Contains(t, out, "Example:\n  comfreytiller "+name)
	}
}

func TestUnreachableHostExitsWith5(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("0123456789abcdef"), 0o600))
	// Port 1 of the loopback address has no listener.
	code, _, errOut := run("show", "--Address", "127.0.0.1:1", "--KeyFile", key)
	require.Equal(t, ExitUnreachable, code, errOut)
}

func TestRunShowsWarmChatsAndOnePayment(t *testing.T) {
	code, out, errOut := run("run")
	require.Equal(t, ExitOK, code, errOut)
	require.Contains(t, out, "8 of 12 chats found their context warm; the payment was sent twice and ran 1 time.")
}

func TestDaemonRefusesFaultySettingsAtOnce(t *testing.T) {
	file := filepath.Join(t.TempDir(), "host.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(`{"Host": "a b", "Peers": "here"}`), 0o600))
	var stderr bytes.Buffer
	code := RunDaemon([]string{"--Settings", file}, Streams{Out: &stderr, Err: &stderr, Clock: clockwork.NewRealClock()})
	require.Equal(t, ExitUsage, code)
	require.Contains(t, stderr.String(), file)
	require.Contains(t, stderr.String(), "Host")
	require.Contains(t, stderr.String(), "Peers")
	require.Contains(t, stderr.String(), "FailureDomain")
}
