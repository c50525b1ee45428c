package platform

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
)

// Machine is a machine of the deployment with one daemon.
type Machine struct {
	Name string
	Zone string
	IP   string
	// Bootstrap is the field bootstrap of the next settings.
	Bootstrap bool

	deployment *Deployment
	isCore     bool
	folder     string
	process    *exec.Cmd
	exited     chan struct{}
}

// Front returns the address for clients.
func (m *Machine) Front() string { return fmt.Sprintf("%s:%d", m.IP, m.deployment.ports.front) }

// Control returns the address for replicas and the operator.
func (m *Machine) Control() string { return fmt.Sprintf("%s:%d", m.IP, m.deployment.ports.control) }

// dataDir returns the folder of the disk.
func (m *Machine) dataDir() string { return filepath.Join(m.folder, "disk") }

// fields returns the fields of the settings as DEPLOY.md describes them.
func (m *Machine) fields() map[string]any {
	d := m.deployment
	fields := map[string]any{
		"node": m.Name, "zone": m.Zone, "region": "region", "ip": m.IP,
		"internalPorts": []int{d.ports.internal, d.ports.internal + 1},
		"seeds":         d.Seeds(), "bootstrap": m.Bootstrap, "countsAsLoss": m.isCore,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places"},
		"faultTolerance": map[string]any{"machines": 2, "zones": 1, "regions": 0},
		"bounds":         map[string]any{"graceS": 8, "retryRatio": 0.2, "retryExtra": 126, "retryWindowS": 10},
	}
	if m.isCore {
		fields["listen"] = map[string]any{"control": m.Control()}
		fields["dataDir"] = m.dataDir()
		fields["limits"] = map[string]any{"memoryMb": 280, "maxFds": 4096, "linkMbps": 6}
		return fields
	}
	fields["listen"] = map[string]any{"front": m.Front(), "ready": fmt.Sprintf("%s:%d", m.IP, d.ports.ready)}
	fields["limits"] = map[string]any{"memoryMb": 206, "maxFds": 2870, "linkMbps": 700}
	return fields
}

// Start writes the settings and starts the daemon with the command of the deploy file.
func (m *Machine) Start() error {
	template := "deploy/entry.settings"
	if m.isCore {
		template = "deploy/state.settings"
		if err := os.MkdirAll(m.dataDir(), 0o700); err != nil {
			return err
		}
	}
	content, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	settings, err := fill(string(content), m.fields())
	if err != nil {
		return err
	}
	file := filepath.Join(m.folder, "settings.json")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command("target/comfreytillerd", "--Settings", file)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "COMFREYTILLER_BOOT=" + file}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	m.process, m.exited = process, make(chan struct{})
	go func(exited chan struct{}) {
		err := process.Wait()
		m.deployment.Record.Notef("process of %s ended: %v", m.Name, err)
		close(exited)
	}(m.exited)
	m.deployment.Record.Notef("process of %s started, bootstrap %t", m.Name, m.Bootstrap)
	return nil
}

// LogFile returns the path of what the daemon writes.
func (m *Machine) LogFile() string { return filepath.Join(m.folder, "log") }

// Signal sends a signal to the daemon.
func (m *Machine) Signal(signal syscall.Signal) {
	m.deployment.Record.Notef("signal %q to the process of %s", signal, m.Name)
	_ = m.process.Process.Signal(signal)
}

// Kill ends the daemon with SIGKILL and waits for its end.
func (m *Machine) Kill() {
	if m.process == nil {
		return
	}
	select {
	case <-m.exited:
		return
	default:
	}
	m.Signal(syscall.SIGKILL)
	<-m.exited
}

// Wipe empties the disk of a machine that doesn't run.
func (m *Machine) Wipe() error {
	m.deployment.Record.Notef("the disk of %s is lost", m.Name)
	return os.RemoveAll(m.dataDir())
}
