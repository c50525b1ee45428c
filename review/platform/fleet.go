// Package platform starts a small fleet of the built daemons for the cases of the review, with
// stand-ins for the platform: replicas, the operator and clients. They follow the users'
// pages and use loopback addresses alone.
//
// # Usage
//
//	fleet, err := platform.Start(platform.Options{Hubs: 5, Entries: 3, Record: record})
//	defer fleet.Stop()
package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// daemonPath is the program of the deploy file, relative to the repository.
const daemonPath = "target/comfreytillerd"

// stopDelay is how long Stop waits for daemons that are just being started again.
const stopDelay = 100 * time.Millisecond

// ErrTimeout is returned if the fleet did not reach a state in time.
var ErrTimeout = errors.New("timed out")

// Options are the size and the settings of a fleet.
type Options struct {
	// Hubs and Entries are the numbers of machines of the classes core and edge.
	Hubs, Entries int
	// Zones are the zones, which machines take in turn.
	Zones  []string
	Record *Record
}

// Fleet is a running fleet.
type Fleet struct {
	Hubs    []*Machine
	Entries []*Machine
	Record  *Record

	directory string
}

// Machine is one daemon.
type Machine struct {
	Name string
	Zone string
	// Control is the address of a hub for replicas and the operator; Front and Ready are
	// those of an entry for clients and for readiness checks.
	Control, Front, Ready string

	folder   string
	settings string
	log      string
	ends     atomic.Int64
	stopped  atomic.Bool
	// fileLimit is the largest size of a file that the daemon may write; 0 for any.
	fileLimit uint64
	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
}

// firstPort and ports are the range of ports for daemons. It is below that of outgoing
// connections, which could take a port before its daemon listens on it.
const (
	firstPort = 10_000
	ports     = 20_000
)

// freeAddresses returns different loopback addresses on which nothing listens.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	var listeners []net.Listener
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for tries := 0; len(addresses) < count; tries++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			if tries > ports {
				return nil, err
			}
			continue
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// Start starts the daemons with settings as the templates of the deploy file give them.
func Start(options Options) (*Fleet, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Record: options.Record, directory: directory}
	addresses, err := freeAddresses(3 * (options.Hubs + options.Entries))
	if err != nil {
		return nil, err
	}
	take := func() string {
		address := addresses[0]
		addresses = addresses[1:]
		return address
	}
	for i := range options.Hubs {
		f.Hubs = append(f.Hubs, &Machine{Name: fmt.Sprintf("core-%d", i+1), Zone: options.Zones[i%len(options.Zones)], Control: take()})
	}
	var seeds []string
	for _, hub := range f.Hubs[:min(3, len(f.Hubs))] {
		seeds = append(seeds, hub.Control)
	}
	for _, hub := range f.Hubs {
		folder := filepath.Join(directory, hub.Name)
		hub.folder = folder
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return nil, err
		}
		settings := map[string]any{
			"Host": hub.Name, "Role": "State", "Protocol": "Platform", "TrustNetwork": true, "FailureDomain": hub.Zone,
			"Callers": take(), "Admin": take(), "Peers": hub.Control, "StateReplicas": seeds,
			"State": map[string]any{"Folder": folder, "Cluster": "platform", "Tolerates": (options.Hubs - 1) / 2, "First": true},
			"Log":   map[string]any{"Level": "info", "Format": "json", "Output": "stdout"}, "Bandwidth": 6,
		}
		if err := f.launch(hub, settings); err != nil {
			return nil, err
		}
	}
	for i := range options.Entries {
		entry := &Machine{Name: fmt.Sprintf("edge-%d", i+1), Zone: options.Zones[i%len(options.Zones)], Front: take(), Ready: take()}
		f.Entries = append(f.Entries, entry)
		settings := map[string]any{
			"Host": entry.Name, "Role": "Entry", "Protocol": "Platform", "TrustNetwork": true, "FailureDomain": entry.Zone,
			"Callers": entry.Front, "Admin": entry.Ready, "Peers": take(), "StateReplicas": seeds, "DrainTimeout": "8s",
			"Retries": map[string]any{"Share": 0.2, "Extra": 126, "Window": "10s"},
			"Log":     map[string]any{"Level": "info", "Format": "json", "Output": "stdout"},
		}
		if err := f.launch(entry, settings); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// launch writes the settings of a machine and starts its daemon.
func (f *Fleet) launch(m *Machine, settings map[string]any) error {
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	m.settings = filepath.Join(f.directory, m.Name+".settings")
	m.log = filepath.Join(f.directory, m.Name+".log")
	if err := os.WriteFile(m.settings, text, 0o600); err != nil {
		return err
	}
	return m.Start()
}

// Start starts the daemon of the machine.
func (m *Machine) Start() error {
	out, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if m.fileLimit == 0 {
		defer func() { _ = out.Close() }()
	}
	process := exec.Command(daemonPath, "--Settings", m.settings)
	process.Env = append(os.Environ(), "COMFREYTILLER_BOOT="+m.settings)
	process.Stdout, process.Stderr = out, out
	if m.fileLimit > 0 {
		// The limit holds for the log, too, unless it goes through a pipe.
		piped := struct{ io.Writer }{out}
		process.Stdout, process.Stderr = piped, piped
	}
	if err := process.Start(); err != nil {
		return err
	}
	if m.fileLimit > 0 {
		if err := limitFiles(process.Process.Pid, m.fileLimit); err != nil {
			return err
		}
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = process, exited
	m.mu.Unlock()
	go func() {
		_ = process.Wait()
		m.ends.Add(1)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the daemon.
func (m *Machine) Signal(signal syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Signal(signal)
}

// Pid returns the process ID of the daemon.
func (m *Machine) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process.Process.Pid
}

// Exited returns a channel that is closed when the daemon has ended.
func (m *Machine) Exited() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exited
}

// Kill ends the daemon and waits until it has ended.
func (m *Machine) Kill() {
	m.mu.Lock()
	process, exited := m.process, m.exited
	m.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-exited
}

// Restart starts the daemon of a machine that ran before: the whole system does not start for
// the first time any more.
func (m *Machine) Restart() error {
	text, err := os.ReadFile(m.settings)
	if err != nil {
		return err
	}
	text = bytes.ReplaceAll(text, []byte(`"First":true`), []byte(`"First":false`))
	if err := os.WriteFile(m.settings, text, 0o600); err != nil {
		return err
	}
	return m.Start()
}

// RestartWithDisk is Restart on a disk that takes a file's bytes up to the given size and
// no more: a write that would pass it ends there, and nothing is synced afterwards. The
// limit holds for this process alone.
func (m *Machine) RestartWithDisk(fileBytes uint64) error {
	m.fileLimit = fileBytes
	defer func() { m.fileLimit = 0 }()
	return m.Restart()
}

// limitFiles limits the size of the files that a process writes.
func limitFiles(pid int, size uint64) error {
	const fileSize = 1 // RLIMIT_FSIZE
	limit := syscall.Rlimit{Cur: size, Max: size}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), fileSize, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// KeepRunning starts the daemon again after a delay whenever it ends, until the fleet is
// stopped.
func (m *Machine) KeepRunning(delay time.Duration) {
	for {
		<-m.Exited()
		time.Sleep(delay)
		if m.stopped.Load() || m.Start() != nil {
			return
		}
	}
}

// Ends returns how often the daemon has ended.
func (m *Machine) Ends() int { return int(m.ends.Load()) }

// Folder returns the data folder of a hub.
func (m *Machine) Folder() string { return m.folder }

// Log returns the path of the machine's log.
func (m *Machine) Log() string { return m.log }

// Stop ends all daemons. The folder with settings, logs and disks is removed unless
// KEEP is set.
func (f *Fleet) Stop() {
	machines := append(append([]*Machine(nil), f.Hubs...), f.Entries...)
	for _, m := range machines {
		m.stopped.Store(true)
	}
	for _, m := range machines {
		m.Kill()
	}
	time.Sleep(stopDelay) // A daemon that was about to be started again.
	for _, m := range machines {
		m.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.directory)
		return
	}
	fmt.Println("kept:", f.directory)
}

// Await waits until a condition holds.
func Await(limit time.Duration, condition func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return ErrTimeout
}
