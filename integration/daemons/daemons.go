// Package daemons builds and runs the programs for process tests.
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

// RunTests runs a package's tests and removes what was built for them.
func RunTests(m *testing.M) int {
	code := m.Run()
	if binaries.folder != "" {
		if err := os.RemoveAll(binaries.folder); err != nil {
			fmt.Fprintln(os.Stderr, "binaries stay:", err)
		}
	}
	return code
}

// Binary builds both programs once and returns the path of one. RACE=1 builds
// them with the race detector.
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

// The ports that FreeAddress tries lie below those that the system gives to
// outgoing connections, one of which could take a port before its daemon starts.
const (
	firstPort = 10_000
	lastPort  = 30_000
)

// nextPort is the next port to try; runs at the same time start apart.
var nextPort = func() *atomic.Int64 {
	var port atomic.Int64
	port.Store(int64(firstPort + os.Getpid()*97%(lastPort-firstPort)))
	return &port
}()

// FreeAddress returns a loopback address that nothing listens on.
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

// Start runs a daemon whose output is appended to a file. It is killed at the end
// of the test if it still runs.
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

// Signal sends a signal.
func (d *Daemon) Signal(signal syscall.Signal) {
	require.NoError(d.t, d.cmd.Process.Signal(signal))
}

// Exited is closed once the daemon has ended.
func (d *Daemon) Exited() <-chan struct{} { return d.exited }

// Wait returns how the daemon ended.
func (d *Daemon) Wait() error {
	<-d.exited
	return d.err
}

// Kill ends the daemon without a word, also one that is paused.
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
