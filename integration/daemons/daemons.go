// Package daemons builds and runs the programs for tests across processes.
//
// # Usage
//
//	address := daemons.FreeAddress(t)
//	daemon := daemons.Start(t, settingsFile, logFile)
//	daemon.Signal(syscall.SIGTERM)
//	err := daemon.Wait()
package daemons

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

var binaries struct {
	once   sync.Once
	folder string
	err    error
}

// RunTests runs the tests of a package and removes the programs that Binary built. It
// returns the exit code for TestMain.
func RunTests(m *testing.M) int {
	code := m.Run()
	if binaries.folder != "" {
		if err := os.RemoveAll(binaries.folder); err != nil {
			fmt.Fprintln(os.Stderr, "remove test binaries:", err)
		}
	}
	return code
}

// Binary builds both programs once and returns the path of the named one. RACE=1
// enables the race detector.
func Binary(t testing.TB, name string) string {
	t.Helper()
	binaries.once.Do(func() {
		binaries.folder, binaries.err = os.MkdirTemp("", "comfreytiller-bin-")
		if binaries.err != nil {
			return
		}
		arguments := []string{"build", "-o", binaries.folder}
		if os.Getenv("RACE") == "1" {
			arguments = append(arguments, "-race")
		}
		build := exec.Command("go", append(arguments, "comfreytiller.dev/comfreytiller/cmd/comfreytiller", "comfreytiller.dev/comfreytiller/cmd/comfreytillerd")...)
		if out, err := build.CombinedOutput(); err != nil {
			binaries.err = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	require.NoError(t, binaries.err)
	return filepath.Join(binaries.folder, name)
}

// FreeAddress uses ports below the ephemeral port range of the system. An outgoing
// connection could otherwise take a port before the daemon listens on it.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// nextPort is the next port to try. It starts at a value that depends on the process
// ID, so that concurrent test processes use different ports.
var nextPort = func() *atomic.Int64 {
	var port atomic.Int64
	port.Store(int64(firstPort + os.Getpid()*97%(lastPort-firstPort)))
	return &port
}()

// FreeAddress returns a loopback address that no socket listens on.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		port := firstPort + (nextPort.Add(1)-firstPort)%(lastPort-firstPort)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		return address
	}
	require.Fail(t, "no free port")
	return ""
}

// Daemon is a running comfreytillerd.
type Daemon struct {
	t      testing.TB
	cmd    *exec.Cmd
	exited chan struct{}
	err    error
}

// Start runs a daemon and appends its output to a file. The daemon is killed at the
// end of the test if it is still running.
func Start(t testing.TB, settings, log string, arguments ...string) *Daemon {
	t.Helper()
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	cmd := exec.Command(Binary(t, "comfreytillerd"), append([]string{"--Settings", settings}, arguments...)...)
	cmd.Stdout, cmd.Stderr = out, out
	require.NoError(t, cmd.Start())
	require.NoError(t, out.Close())
	d := &Daemon{t: t, cmd: cmd, exited: make(chan struct{})}
	go func() {
		d.err = cmd.Wait()
		close(d.exited)
	}()
	t.Cleanup(d.Kill)
	return d
}

// Signal sends a signal to the daemon.
func (d *Daemon) Signal(signal syscall.Signal) {
	require.NoError(d.t, d.cmd.Process.Signal(signal))
}

// Exited returns a channel that is closed when the daemon has exited.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// Wait waits until the daemon exits. It returns nil for exit code 0.
func (d *Daemon) Wait() error {
	<-d.exited
	return d.err
}

// Kill ends the daemon with SIGKILL, even if it is stopped by SIGSTOP, and waits for
// its exit.
func (d *Daemon) Kill() {
	select {
	case <-d.exited:
		return
	default:
	}
	if err := d.cmd.Process.Kill(); err != nil {
		d.t.Logf("kill %d: %v", d.cmd.Process.Pid, err)
	}
	<-d.exited
}
