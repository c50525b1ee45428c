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
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

var binaries struct {
	once      sync.Once
	directory string
	err       error
}

// RunTests runs the tests of a package and removes the programs that Binary built. It
// returns the exit code for TestMain.
func RunTests(m *testing.M) int {
	code := m.Run()
	if binaries.directory != "" {
		if err := os.RemoveAll(binaries.directory); err != nil {
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
		binaries.directory, binaries.err = os.MkdirTemp("", "comfreytiller-bin-")
		if binaries.err != nil {
			return
		}
		arguments := []string{"build", "-o", binaries.directory}
		if os.Getenv("RACE") == "1" {
			arguments = append(arguments, "-race")
		}
		build := exec.Command("go", append(arguments, "comfreytiller.dev/comfreytiller/cmd/comfreytiller", "comfreytiller.dev/comfreytiller/cmd/comfreytillerd")...)
		if out, err := build.CombinedOutput(); err != nil {
			binaries.err = fmt.Errorf("build: %w: %s", err, out)
		}
	})
	require.NoError(t, binaries.err)
	return filepath.Join(binaries.directory, name)
}

// releases are the programs of earlier releases by commit, and where they were built.
var releases struct {
	sync.Mutex
	programs map[string]string
}

// Release builds comfreytillerd as of a commit of this repository and returns its path. The source is
// taken from the history; it is built once in each test process.
func Release(t testing.TB, commit string) string {
	t.Helper()
	Binary(t, "comfreytillerd") // Makes the directory that RunTests removes.
	releases.Lock()
	defer releases.Unlock()
	if program, built := releases.programs[commit]; built {
		return program
	}
	source := filepath.Join(binaries.directory, "source-"+commit)
	require.NoError(t, os.MkdirAll(source, 0o700))
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	require.NoError(t, err)
	archive := filepath.Join(binaries.directory, commit+".tar")
	run(t, strings.TrimSpace(string(top)), "git", "archive", "--output", archive, commit)
	run(t, source, "tar", "-xf", archive)
	program := filepath.Join(binaries.directory, "comfreytillerd-"+commit)
	run(t, source, "go", "build", "-o", program, "./cmd/comfreytillerd")
	if releases.programs == nil {
		releases.programs = map[string]string{}
	}
	releases.programs[commit] = program
	return program
}

// run runs a command in a directory.
func run(t testing.TB, directory, name string, arguments ...string) {
	t.Helper()
	command := exec.Command(name, arguments...)
	command.Dir = directory
	out, err := command.CombinedOutput()
	require.NoError(t, err, "%s: %s", command, out)
}

// firstPort and lastPort limit the ports of FreeAddress. They are below the ephemeral
// port range of the system, from which an outgoing connection could take a port before
// the daemon listens on it. They are divided into blocks of blockPorts.
const (
	firstPort  = 10_000
	lastPort   = 30_000
	blockPorts = 250
)

// portBlock is a range of ports that belongs to one test process. A daemon that is
// restarted, or one that still calls a daemon of an ended test, would otherwise meet the
// daemons of another process.
type portBlock struct {
	// owner listens on the first port of the block until the process ends.
	owner net.Listener
	first int
	used  int
}

// reserveBlock reserves a block that no other process has reserved.
func reserveBlock() (*portBlock, error) {
	const blocks = (lastPort - firstPort) / blockPorts
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*blockPorts
		owner, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &portBlock{owner: owner, first: first}, nil
		}
	}
	return nil, fmt.Errorf("all %d blocks of ports are reserved", blocks)
}

// ports are the blocks of this process. Only the last one has unused ports.
var ports struct {
	sync.Mutex
	blocks []*portBlock
}

// nextPort returns a port that no test of any process has got before.
func nextPort() (int, error) {
	ports.Lock()
	defer ports.Unlock()
	if len(ports.blocks) == 0 || ports.blocks[len(ports.blocks)-1].used == blockPorts-1 {
		block, err := reserveBlock()
		if err != nil {
			return 0, err
		}
		ports.blocks = append(ports.blocks, block)
	}
	block := ports.blocks[len(ports.blocks)-1]
	block.used++
	return block.first + block.used, nil
}

// FreeAddress returns a loopback address that no socket listens on, and that no other
// test gets while this process runs.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for {
		port, err := nextPort()
		require.NoError(t, err)
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		return address
	}
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
	return StartProgram(t, Binary(t, "comfreytillerd"), settings, log, arguments...)
}

// StartProgram is Start for a program of another release.
func StartProgram(t testing.TB, program, settings, log string, arguments ...string) *Daemon {
	t.Helper()
	out, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	cmd := exec.Command(program, append([]string{"--Settings", settings}, arguments...)...)
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

// TrySignal sends a signal to the daemon and reports whether it had not exited yet.
func (d *Daemon) TrySignal(signal syscall.Signal) bool {
	err := d.cmd.Process.Signal(signal)
	if !errors.Is(err, os.ErrProcessDone) {
		require.NoError(d.t, err)
	}
	return err == nil
}

// IsStopped reports whether all threads of the daemon have been stopped by SIGSTOP.
func (d *Daemon) IsStopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/status", d.cmd.Process.Pid))
	require.NoError(d.t, err)
	for _, thread := range threads {
		status, err := os.ReadFile(thread)
		if err != nil || !strings.Contains(string(status), "\nState:\tT") {
			return false
		}
	}
	return len(threads) > 0
}

// PeakMemory returns the largest resident size of the running daemon so far, in bytes.
func (d *Daemon) PeakMemory() int { return d.memoryOf("VmHWM:") }

// ResidentMemory returns the resident size of the running daemon, in bytes.
func (d *Daemon) ResidentMemory() int { return d.memoryOf("VmRSS:") }

// memoryOf returns a size from the status of the running daemon, in bytes.
func (d *Daemon) memoryOf(name string) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	require.NoError(d.t, err)
	_, rest, found := strings.Cut(string(status), name)
	require.True(d.t, found, "the daemon runs")
	kilobytes := 0
	_, err = fmt.Sscanf(rest, "%d kB", &kilobytes)
	require.NoError(d.t, err)
	return kilobytes << 10
}

// Descriptors returns the number of open descriptors of the running daemon.
func (d *Daemon) Descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid))
	require.NoError(d.t, err)
	return len(entries)
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
