// Command case2 shows that a replica of the state takes entries for committed that were not,
// after a loss of power tore the write that was to replace them.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"comfreytiller.dev/comfreytiller/review/platform"
	"comfreytiller.dev/ledger"
	"comfreytiller.dev/quorum"
)

const (
	// The bounds of the site vpl-approvals.
	ackLimit    = 4 * time.Second
	configApply = 2 * time.Second
	contact     = 3 * time.Second
	// unanswered is how many orders the operator has in progress, at most 8, when the machine
	// that takes them has lost the others.
	unanswered = 6
	// recordHeader is the length of what precedes the payload of a record in a log file.
	recordHeader = 21
	// watched is how long the configuration is read in the end.
	watched = 10 * time.Second

	// Versions 4 to 9 get no clear answer at first.
	firstVersion = 3
	lastVersion  = 12
)

func main() { os.Exit(run()) }

func run() int {
	record, err := platform.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return platform.NotRun
	}
	defer record.Close()
	fleet, err := platform.Start(platform.Options{Hubs: 5, Entries: 1, Zones: []string{"milano-a", "milano-b", "torino-a"}, Record: record})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		record.Say("the fleet does not start: %v", err)
		return platform.NotRun
	}
	operator := &platform.Operator{Fleet: fleet}
	if _, ok := operator.Configure(newConfig(firstVersion), 0, 30*time.Second); !ok {
		record.Say("the first configuration is not acknowledged")
		return platform.NotRun
	}
	time.Sleep(contact)
	leader := findLeader(fleet)
	if leader == nil {
		record.Say("no leader found")
		return platform.NotRun
	}
	at, ok := loseOthers(fleet, operator, leader)
	if !ok {
		return platform.NotRun
	}
	if os.Getenv("TROUBLE") != "0" {
		// The first write may hold the new term alone, without entries.
		if !tear(fleet, leader) && !tear(fleet, leader) {
			record.Say("no write was torn behind its first record")
			return platform.NotRun
		}
	}
	if err := leader.Restart(); err != nil {
		record.Say("%v", err)
		return platform.NotRun
	}
	record.Say("%s starts again", leader.Name)
	return readBack(fleet, operator, leader, at)
}

func newConfig(version int) platform.Config {
	return platform.Config{
		Version:  version,
		Routes:   []platform.Route{{Name: fmt.Sprint("r-", version), Hostname: "a.example", PathPrefix: fmt.Sprintf("/lookup-%d/", version), Type: "idempotent", TimeoutMs: 3000, SloMs: 300, Service: "pratiche", Attempts: 2}},
		Services: []platform.Service{{Name: "pratiche", HealthPath: "/healthz", MaxConns: 214, Protocol: "h1"}},
		Limits:   platform.Limits(),
	}
}

var leads = regexp.MustCompile(`Leadership changed: term (\d+), leader [^,]*, this replica leads: true`)

// findLeader returns the machine of the core whose log says that it leads in the latest term.
func findLeader(fleet *platform.Fleet) *platform.Machine {
	var leader *platform.Machine
	latest := 0
	for _, hub := range fleet.Hubs {
		log, _ := os.ReadFile(hub.Log())
		for _, found := range leads.FindAllSubmatch(log, -1) {
			if term, _ := strconv.Atoi(string(found[1])); term > latest {
				leader, latest = hub, term
			}
		}
	}
	return leader
}

// loseOthers kills the other machines of the core, sends orders to the leader, which it can't
// acknowledge, and kills it, too. The others come back without it and acknowledge a later
// configuration, and then the earlier orders, which are sent again. It returns when the later
// one was acknowledged.
func loseOthers(fleet *platform.Fleet, operator *platform.Operator, leader *platform.Machine) (at time.Time, ok bool) {
	record := fleet.Record
	others := slices.DeleteFunc(slices.Clone(fleet.Hubs), func(hub *platform.Machine) bool { return hub == leader })
	record.Say("%s leads; the other processes of the core are killed", leader.Name)
	var ended, sending sync.WaitGroup
	for _, hub := range others {
		ended.Go(hub.Kill)
	}
	ended.Wait()
	for i := range unanswered {
		sending.Go(func() {
			version := firstVersion + 1 + i
			status, _ := operator.Once(http.MethodPut, leader, platform.PathConfig, newConfig(version).Encode())
			record.Say("operator: version %d sent to %s: %d (0 is no answer)", version, leader.Name, status)
		})
	}
	time.Sleep(400 * time.Millisecond)
	record.Say("%s is killed", leader.Name)
	leader.Kill()
	sending.Wait()
	for _, hub := range others {
		if err := hub.Restart(); err != nil {
			record.Say("%v", err)
			return at, false
		}
	}
	record.Say("the others start again")
	first := slices.Index(fleet.Hubs, others[0])
	at, ok = operator.Configure(newConfig(lastVersion), first, 20*time.Second)
	record.Say("operator: version %d acknowledged: %t", lastVersion, ok)
	for i := range unanswered {
		version := firstVersion + 1 + i
		_, again := operator.Configure(newConfig(version), first, ackLimit)
		record.Say("operator: version %d sent again, acknowledged: %t", version, again)
	}
	return at, ok
}

// tear starts the machine on a disk that takes no more than the first record of the write with
// which it replaces what it could not commit, and ends it before anything is synced. It
// reports whether the disk holds that record without the ones that belong to it.
func tear(fleet *platform.Fleet, machine *platform.Machine) bool {
	record := fleet.Record
	state, entries, err := load(machine)
	if err != nil || len(entries) == 0 {
		record.Say("the log of %s: %v", machine.Name, err)
		return false
	}
	last := entries[len(entries)-1]
	record.Say("%s: term %d, committed %d, last entry %d of term %d", machine.Name, state.Term, state.Commit, last.Index, last.Term)
	segment := newestSegment(machine)
	info, err := os.Stat(segment)
	if err != nil {
		return false
	}
	next := state
	next.Term, next.Vote = state.Term+1, ""
	size := uint64(info.Size()) + uint64(recordHeader+len(quorum.EncodeHardState(next)))
	if err := machine.RestartWithDisk(size); err != nil {
		record.Say("%v", err)
		return false
	}
	err = platform.Await(10*time.Second, func() bool {
		info, err := os.Stat(segment)
		return err == nil && uint64(info.Size()) >= size
	})
	record.Say("%s starts, and loses power while it writes", machine.Name)
	machine.Kill()
	if err != nil {
		record.Say("it did not write that much")
		return false
	}
	torn, left, err := load(machine)
	if err != nil {
		record.Say("the log of %s: %v", machine.Name, err)
		return false
	}
	last = left[len(left)-1]
	record.Say("%s: term %d, committed %d, last entry %d of term %d", machine.Name, torn.Term, torn.Commit, last.Index, last.Term)
	return torn.Commit > state.Commit && len(left) == len(entries) && last.Term < torn.Term
}

// load reads a copy of a machine's log.
func load(machine *platform.Machine) (quorum.HardState, []quorum.Entry, error) {
	folder, err := os.MkdirTemp("", "review-log-")
	if err != nil {
		return quorum.HardState{}, nil, err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	files, err := os.ReadDir(machine.Folder())
	if err != nil {
		return quorum.HardState{}, nil, err
	}
	for _, file := range files {
		if file.IsDir() {
			continue
		}
		content, err := os.ReadFile(filepath.Join(machine.Folder(), file.Name()))
		if err != nil {
			return quorum.HardState{}, nil, err
		}
		if err := os.WriteFile(filepath.Join(folder, file.Name()), content, 0o600); err != nil {
			return quorum.HardState{}, nil, err
		}
	}
	opened, err := ledger.Open(folder)
	if err != nil {
		return quorum.HardState{}, nil, err
	}
	defer func() { _ = opened.Close() }()
	state, _, entries, err := quorum.NewLedgerStorage(opened).Load()
	return state, entries, err
}

// newestSegment returns the path of the log file that a machine writes.
func newestSegment(machine *platform.Machine) string {
	newest := ""
	files, _ := os.ReadDir(machine.Folder())
	for _, file := range files {
		if strings.HasPrefix(file.Name(), "segment-") && !strings.HasSuffix(file.Name(), ".tmp") {
			newest = max(newest, file.Name())
		}
	}
	return filepath.Join(machine.Folder(), newest)
}

// readBack reads the configuration from the machine, and reports whether it returns an older
// version than the acknowledged one.
func readBack(fleet *platform.Fleet, operator *platform.Operator, machine *platform.Machine, at time.Time) int {
	record := fleet.Record
	time.Sleep(time.Until(at.Add(configApply)))
	counts := map[int]int{}
	for end := time.Now().Add(watched); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		status, text := operator.Once(http.MethodGet, machine, platform.PathConfig, nil)
		var read platform.Config
		if status == http.StatusOK && json.NewDecoder(bytes.NewReader(text)).Decode(&read) == nil {
			counts[read.Version]++
		}
		record.Printf("operator: read from %s: %d, version %d", machine.Name, status, read.Version)
	}
	record.Say("%s returned these versions, later than %v after version %d was acknowledged: %v", machine.Name, configApply, lastVersion, counts)
	for version := range counts {
		if version < lastVersion {
			record.Say("CONFIG is broken")
			return platform.Broken
		}
	}
	if counts[lastVersion] == 0 {
		record.Say("nothing was read")
		return platform.NotRun
	}
	record.Say("CONFIG held")
	return platform.Held
}
