// Command case3 shows that no replica of the state starts again after a loss of power that
// kept one and lost another of the log files that its last snapshot had removed.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"comfreytiller.dev/comfreytiller/review/platform"
)

const (
	// routes is what two big_config of the site add at most.
	routes = 2 * 1400
	// inFlight is how many orders the operator may have in progress.
	inFlight = 8
	// settle is how long after a change all machines have applied it.
	settle = 150 * time.Millisecond
	// maxChanges ends the case if no snapshot was written.
	maxChanges = 999
	ackLimit   = 4 * time.Second
	// down is how long the power is off, recovery how long after it answers are due.
	down     = time.Second
	recovery = 15 * time.Second
	// restart is the platform's delay before it starts a process that ended again.
	restart = 500 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record, err := platform.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return platform.NotRun
	}
	defer record.Close()
	fleet, err := platform.Start(platform.Options{Hubs: 5, Entries: 2, Zones: []string{"rabat-agdal", "rabat-hay-riad", "rabat-souissi"}, Record: record})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		record.Say("the fleet does not start: %v", err)
		return platform.NotRun
	}
	operator := &platform.Operator{Fleet: fleet}
	disks := newDisks(fleet)
	defer disks.stop()
	version, changes := change(fleet, operator, disks)
	if version == 0 {
		return platform.NotRun
	}
	record.Say("%d changes of %d routes; the newest acknowledged version is %d", changes, routes, version)
	switch os.Getenv("TROUBLE") {
	case "0":
	case "kill":
		record.Say("all machines of the core are killed; their disks stay as they are")
		powerOff(fleet, nil)
	default:
		kept := disks.loseNames()
		if kept == nil {
			record.Say("most machines have synced their folder after the snapshot")
			return platform.NotRun
		}
		record.Say("all machines lose power")
		powerOff(fleet, kept)
	}
	return readBack(fleet, operator, version)
}

// newConfig returns a configuration with the names of a deployment: random ones.
func newConfig(random *rand.Rand, version int) platform.Config {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := func(length int) string {
		text := make([]byte, length)
		for i := range text {
			text[i] = letters[random.Intn(len(letters))]
		}
		return string(text)
	}
	config := platform.Config{
		Version:  version,
		Services: []platform.Service{{Name: "huvo11a", HealthPath: "/healthz", MaxConns: 771, Protocol: "h1"}},
		Limits:   platform.Limits(),
	}
	for i := range routes {
		config.Routes = append(config.Routes, platform.Route{
			Name: "r-" + name(7), Hostname: name(5) + ".example", PathPrefix: fmt.Sprintf("/%s%d/", name(4), i),
			Type: "idempotent", TimeoutMs: 2500, SloMs: 150, Priority: 2, Service: "huvo11a", Attempts: 2,
		})
	}
	for range 24 {
		config.Tenants = append(config.Tenants, map[string]any{"name": name(7), "apiKeys": []string{name(20), name(20)}, "priority": 1})
	}
	return config
}

// change sends changes of the configuration until every machine of the core has written a
// snapshot, and returns the newest version that was acknowledged, and their number.
func change(fleet *platform.Fleet, operator *platform.Operator, disks *disks) (newest, changes int) {
	random := rand.New(rand.NewSource(1))
	config := newConfig(random, 1)
	if _, ok := operator.Configure(config, 0, 30*time.Second); !ok {
		fleet.Record.Say("the first configuration is not acknowledged")
		return 0, 0
	}
	var mu sync.Mutex
	var sending sync.WaitGroup
	slots := make(chan struct{}, inFlight)
	for version := 2; version <= maxChanges; version++ {
		config.Version = version
		config.Routes[random.Intn(routes)].TimeoutMs = 2500 + version
		body := config.Encode()
		if disks.nearSnapshot() {
			// One change at a time, so that none follows the snapshots.
			sending.Wait()
			time.Sleep(settle)
		}
		if disks.count() > 0 {
			break
		}
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			status, _ := operator.Order(http.MethodPut, platform.PathConfig, body, version, ackLimit)
			mu.Lock()
			defer mu.Unlock()
			changes++
			if status == http.StatusOK {
				newest = max(newest, version)
			}
		})
	}
	sending.Wait()
	if platform.Await(recovery, disks.haveSnapshots) != nil {
		fleet.Record.Say("no snapshot after %d changes", changes)
		return 0, 0
	}
	return newest, changes
}

// powerOff ends all daemons at once and starts them again, those of the core with the names
// that their disks have kept.
func powerOff(fleet *platform.Fleet, kept map[*platform.Machine][]string) {
	machines := append(slices.Clone(fleet.Hubs), fleet.Entries...)
	var ended sync.WaitGroup
	for _, machine := range machines {
		ended.Go(machine.Kill)
	}
	ended.Wait()
	for hub, names := range kept {
		for _, name := range names {
			if err := os.Link(filepath.Join(shadow(hub), name), filepath.Join(hub.Folder(), name)); err != nil {
				fleet.Record.Say("%s: %v", hub.Name, err)
			}
		}
		fleet.Record.Say("%s: its disk has kept the removed names %v, and lost the others", hub.Name, names)
	}
	time.Sleep(down)
	for _, machine := range machines {
		if err := machine.Restart(); err != nil {
			fleet.Record.Say("%s: %v", machine.Name, err)
		}
		go machine.KeepRunning(restart)
	}
}

// readBack reads the configuration back from all hubs until one has it or the time is over.
func readBack(fleet *platform.Fleet, operator *platform.Operator, version int) int {
	record := fleet.Record
	got := 0
	err := platform.Await(recovery, func() bool {
		for _, hub := range fleet.Hubs {
			status, text := operator.Once(http.MethodGet, hub, platform.PathConfig, nil)
			var read platform.Config
			if status == http.StatusOK && json.Unmarshal(text, &read) == nil {
				got = max(got, read.Version)
				record.Printf("operator: %s returns version %d", hub.Name, read.Version)
			}
		}
		return got >= version
	})
	for _, hub := range fleet.Hubs {
		log, _ := os.ReadFile(hub.Log())
		lines := strings.Split(strings.TrimSpace(string(log)), "\n")
		record.Say("%s: its process ended %d times; last line of its log: %.200s", hub.Name, hub.Ends(), strings.ReplaceAll(lines[len(lines)-1], filepath.Dir(hub.Folder()), ""))
	}
	if err != nil {
		record.Say("version %d was acknowledged; read back within %v: %d (0 is none)", version, recovery, got)
		record.Say("CONFIG is broken")
		return platform.Broken
	}
	record.Say("version %d was acknowledged; read back: %d", version, got)
	record.Say("CONFIG held")
	return platform.Held
}

// disks keeps the files that the machines of the core remove until their folder is synced.
type disks struct {
	fleet *platform.Fleet
	ended chan struct{}
	done  sync.WaitGroup

	mu sync.Mutex
	// seen holds the log files that a machine has had, removed those that it has removed
	// since, and newest its newest log file when it removed them.
	seen    map[*platform.Machine][]string
	removed map[*platform.Machine][]string
	newest  map[*platform.Machine]string
}

func newDisks(fleet *platform.Fleet) *disks {
	d := &disks{fleet: fleet, ended: make(chan struct{}), seen: map[*platform.Machine][]string{}, removed: map[*platform.Machine][]string{}, newest: map[*platform.Machine]string{}}
	for _, hub := range fleet.Hubs {
		_ = os.MkdirAll(shadow(hub), 0o700)
	}
	d.done.Go(func() {
		for {
			select {
			case <-d.ended:
				return
			case <-time.After(20 * time.Millisecond):
				d.look()
			}
		}
	})
	return d
}

func (d *disks) stop() {
	close(d.ended)
	d.done.Wait()
}

// shadow returns the folder with second names of a machine's log files.
func shadow(hub *platform.Machine) string { return hub.Folder() + "-names" }

// segments returns the log files of a machine in their order.
func segments(hub *platform.Machine) []string {
	var names []string
	entries, _ := os.ReadDir(hub.Folder())
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), "segment-") && !strings.HasSuffix(entry.Name(), ".tmp") {
			names = append(names, entry.Name())
		}
	}
	slices.Sort(names)
	return names
}

func (d *disks) look() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, hub := range d.fleet.Hubs {
		now := segments(hub)
		for _, name := range now {
			if !slices.Contains(d.seen[hub], name) && os.Link(filepath.Join(hub.Folder(), name), filepath.Join(shadow(hub), name)) == nil {
				d.seen[hub] = append(d.seen[hub], name)
			}
		}
		for _, name := range d.seen[hub] {
			if !slices.Contains(now, name) && !slices.Contains(d.removed[hub], name) {
				d.removed[hub] = append(d.removed[hub], name)
				d.newest[hub] = now[len(now)-1]
			}
		}
	}
}

// count returns the number of machines that have removed log files.
func (d *disks) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.removed)
}

// haveSnapshots reports whether every machine has removed log files.
func (d *disks) haveSnapshots() bool { return d.count() == len(d.fleet.Hubs) }

// nearSnapshot reports whether a machine is about to write a snapshot, which it does after
// 32 MiB of changes.
func (d *disks) nearSnapshot() bool {
	const near = 30 << 20
	size := int64(0)
	for _, name := range segments(d.fleet.Hubs[0]) {
		if info, err := os.Stat(filepath.Join(d.fleet.Hubs[0].Folder(), name)); err == nil {
			size += info.Size()
		}
	}
	return size > near
}

// loseNames returns the removed names that each machine's disk keeps at a loss of power:
// every second one, from the first. A machine that has created a log file since has synced
// its folder, so that its disk has lost all of them. It returns nil if fewer than a majority
// of the machines is left.
func (d *disks) loseNames() map[*platform.Machine][]string {
	d.look()
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := map[*platform.Machine][]string{}
	for _, hub := range d.fleet.Hubs {
		now := segments(hub)
		if len(d.removed[hub]) < 2 || now[len(now)-1] != d.newest[hub] {
			d.fleet.Record.Say("%s has synced its folder since", hub.Name)
			continue
		}
		for i, name := range d.removed[hub] {
			if i%2 == 0 {
				kept[hub] = append(kept[hub], name)
			}
		}
		d.fleet.Record.Printf("%s: removed %v after its snapshot, has %v", hub.Name, d.removed[hub], now)
	}
	if len(kept) <= len(d.fleet.Hubs)/2 {
		return nil
	}
	return kept
}
