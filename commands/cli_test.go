package commands

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// executeCLI runs the command-line tool and returns its exit code and output.
func executeCLI(arguments ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = RunCLI(arguments, Streams{Out: &stdout, Err: &stderr, Clock: clockwork.NewRealClock()})
	return code, stdout.String(), stderr.String()
}

func TestRunCLI_UsageErrorExitCode(t *testing.T) {
	for _, test := range []struct {
		name      string
		arguments []string
		message   string
	}{
		{"unknown command", []string{"bogus"}, `unknown command "bogus"`},
		{"unknown flag", []string{"status", "--Colour", "red"}, "unknown flag --Colour"},
		{"missing key", []string{"status"}, "--KeyFile is missing"},
		{"missing configuration", []string{"check", "missing.jsonc", "--Offline"}, "missing.jsonc"},
		{"two outages", []string{"drain", "--FailureDomain", "A", "--Target", "t"}, "exactly one of"},
		{"no outage", []string{"restore"}, "exactly one of"},
		{"unknown change", []string{"replica", "move"}, "must be add, remove or replace"},
		{"replace without id", []string{"replica", "replace", "--Replica", "127.0.0.1:1"}, "--Id is missing"},
		{"add without replica", []string{"replica", "add"}, "--Replica is missing"},
		{"pin without target", []string{"pin"}, "--Target is missing"},
	} {
		t.Run(test.name, func(t *testing.T) {
			code, _, errOut := executeCLI(test.arguments...)
			require.Equal(t, ExitUsage, code)
			require.Contains(t, errOut, test.message)
		})
	}
}

func TestCheck_ReportsLineAndColumn(t *testing.T) {
	file := filepath.Join(t.TempDir(), "fleet.jsonc")
	require.NoError(t, os.WriteFile(file, []byte("{\n  \"Name\": 3\n}"), 0o600))
	code, _, errOut := executeCLI("check", file, "--Offline")
	require.Equal(t, ExitUsage, code)
	require.Contains(t, errOut, "line 2, column 11")
}

func TestCheck_AcceptsExamples(t *testing.T) {
	for _, file := range []string{"agence", "vernici"} {
		code, out, errOut := executeCLI("check", "../examples/"+file+".fleet.jsonc", "--Offline")
		require.Equal(t, ExitOK, code, errOut)
		require.Contains(t, out, "is accepted")
	}
}

func TestCheck_JSONOutput(t *testing.T) {
	code, out, errOut := executeCLI("check", "../examples/agence.fleet.jsonc", "--Offline", "--Json")
	require.Equal(t, ExitOK, code, errOut)
	require.JSONEq(t, `{"Message": "../examples/agence.fleet.jsonc is accepted."}`, out)
}

func TestRunCLI_HelpShowsExample(t *testing.T) {
	_, overview, _ := executeCLI("--help")
	for _, name := range []string{
		"check", "apply", "show", "status", "drain", "restore", "pin", "replica", "claims", "backup", "run", "version",
	} {
		require.Contains(t, overview, name)
		code, out, _ := executeCLI(name, "--help")
		require.Equal(t, ExitOK, code)
		require.Contains(t, out, "Example:\n  comfreytiller "+name)
	}
}

func TestRunCLI_UnreachableHostExitCode(t *testing.T) {
	key := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(key, []byte("0123456789abcdef"), 0o600))
	// Port 1 of the loopback address has no listener.
	code, _, errOut := executeCLI("show", "--Address", "127.0.0.1:1", "--KeyFile", key)
	require.Equal(t, ExitUnreachable, code, errOut)
}

func TestRun_WarmChatsAndSinglePayment(t *testing.T) {
	code, out, errOut := executeCLI("run")
	require.Equal(t, ExitOK, code, errOut)
	require.Contains(t, out, "8 of 12 chats found their context warm; the payment was sent twice and ran 1 time.")
}

func TestRunDaemon_RejectsInvalidSettings(t *testing.T) {
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
