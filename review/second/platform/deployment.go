package platform

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"time"
)

// portSet are the ports of a day, which are the same on all machines.
type portSet struct{ front, ready, control, internal int }

// Deployment is a small deployment on loopback addresses.
type Deployment struct {
	Record *Record
	Edges  []*Machine
	Cores  []*Machine

	folder string
	ports  portSet
	// network is the second byte of all addresses.
	network int
	stops   []func()
}

// Zones are the zones of the deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// maxSeeds is the number of seeds in the settings.
const maxSeeds = 3

// NewDeployment prepares machines that don't run yet. The first core machines are the seeds.
func NewDeployment(record *Record, edges, cores int) (*Deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Record: record, folder: folder, network: 16 + os.Getpid()%200}
	for i := range edges {
		d.Edges = append(d.Edges, d.newMachine(fmt.Sprintf("edge-%d", i+1), 1, i, false))
	}
	for i := range cores {
		d.Cores = append(d.Cores, d.newMachine(fmt.Sprintf("core-%d", i+1), 2, i, true))
	}
	for _, m := range append(append([]*Machine{}, d.Edges...), d.Cores...) {
		if err := os.MkdirAll(m.folder, 0o700); err != nil {
			return nil, err
		}
	}
	d.ports, err = d.findPorts()
	return d, err
}

func (d *Deployment) newMachine(name string, kind, index int, isCore bool) *Machine {
	return &Machine{
		Name: name, Zone: Zones[index%len(Zones)], IP: fmt.Sprintf("127.%d.%d.%d", d.network, kind, index+10),
		Bootstrap: true, deployment: d, isCore: isCore, folder: filepath.Join(d.folder, name),
	}
}

// findPorts returns ports below the ephemeral range that are free on all machines.
func (d *Deployment) findPorts() (portSet, error) {
	for first := 11000 + os.Getpid()%1000*10; first < 30000; first += 10 {
		ports := portSet{front: first, ready: first + 1, control: first + 2, internal: first + 3}
		if d.areFree(first) {
			return ports, nil
		}
	}
	return portSet{}, fmt.Errorf("no free ports")
}

func (d *Deployment) areFree(first int) bool {
	for _, m := range append(append([]*Machine{}, d.Edges...), d.Cores...) {
		for port := first; port < first+5; port++ {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.IP, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// RemoveCore ends a core machine for good, with its disk.
func (d *Deployment) RemoveCore(m *Machine) error {
	m.Kill()
	d.Cores = slices.DeleteFunc(d.Cores, func(other *Machine) bool { return other == m })
	return m.Wipe()
}

// AddCore starts an empty core machine at an address of its own.
func (d *Deployment) AddCore(index int) (*Machine, error) {
	m := d.newMachine(fmt.Sprintf("core-%d", index+1), 2, index, true)
	m.Bootstrap = false
	if err := os.MkdirAll(m.folder, 0o700); err != nil {
		return nil, err
	}
	d.Cores = append(d.Cores, m)
	return m, m.Start()
}

// Leader returns the core machine that leads, as its log says; nil for none.
func (d *Deployment) Leader() (leader *Machine) {
	highest := 0
	for _, m := range d.Cores {
		content, _ := os.ReadFile(m.LogFile())
		for _, found := range leadsPattern.FindAllSubmatch(content, -1) {
			if term, err := strconv.Atoi(string(found[1])); err == nil && term > highest {
				highest, leader = term, m
			}
		}
	}
	return leader
}

// leadsPattern matches the line with which a daemon begins to lead.
var leadsPattern = regexp.MustCompile(`Leadership changed: term (\d+), leader [^,]*, this replica leads: true`)

// Seeds returns the addresses of the seeds.
func (d *Deployment) Seeds() []string { return d.Controls()[:min(maxSeeds, len(d.Cores))] }

// Controls returns the control addresses of all core machines.
func (d *Deployment) Controls() []string {
	var addresses []string
	for _, m := range d.Cores {
		addresses = append(addresses, m.Control())
	}
	return addresses
}

// StartAll starts all machines.
func (d *Deployment) StartAll() error {
	for _, m := range append(append([]*Machine{}, d.Cores...), d.Edges...) {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until all edge daemons say that they are ready.
func (d *Deployment) AwaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range d.Edges {
		for !m.IsReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// OnStop adds a function that Stop calls.
func (d *Deployment) OnStop(stop func()) { d.stops = append(d.stops, stop) }

// Stop ends all processes and removes their folders, unless KEEP is set.
func (d *Deployment) Stop() {
	for _, m := range append(append([]*Machine{}, d.Edges...), d.Cores...) {
		m.Kill()
	}
	for _, stop := range d.stops {
		stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
