// Command case5 shows that a withdrawal of an evacuation that the operator gave up is applied
// after a later evacuation was acknowledged.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"comfreytiller.dev/comfreytiller/review/platform"
)

const (
	zone = "rabat-agdal"
	// The bounds of the site anbe-bourses.
	contact  = 3 * time.Second
	evacuate = 5 * time.Second
	// freeze is how long one machine of the core stands still; the site has up to 7.7 s.
	freeze = 5 * time.Second
	// freezes is how many machines of the core are frozen, one after the other, until the rule
	// is broken.
	freezes = 3
	// watched is how long requests are counted afterwards.
	watched = 10 * time.Second
	// ackLimit is how long orders may be sent again.
	ackLimit = 4 * time.Second
	rate     = 40 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	record, err := platform.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return platform.NotRun
	}
	defer record.Close()
	fleet, err := platform.Start(platform.Options{Hubs: 5, Entries: 3, Zones: []string{"rabat-agdal", "rabat-hay-riad", "rabat-souissi"}, Record: record})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		record.Say("the fleet does not start: %v", err)
		return platform.NotRun
	}
	var replicas []*platform.Replica
	for _, z := range []string{"rabat-agdal", "rabat-hay-riad", "rabat-souissi"} {
		replica := &platform.Replica{ID: "i-" + z, Service: "treasury-api", Zone: z, Slots: 6, Work: 20 * time.Millisecond}
		if err := fleet.StartReplica(replica, 1200*time.Millisecond); err != nil {
			return platform.NotRun
		}
		replicas = append(replicas, replica)
		defer replica.Stop()
	}
	operator := &platform.Operator{Fleet: fleet}
	config := platform.Config{
		Version:  3,
		Routes:   []platform.Route{{Name: "lookup", Hostname: "a.example", PathPrefix: "/lookup/", Type: "idempotent", TimeoutMs: 3000, SloMs: 300, Service: "treasury-api", Attempts: 2}},
		Services: []platform.Service{{Name: "treasury-api", HealthPath: "/healthz", MaxConns: 214, Protocol: "h1"}},
		Limits:   platform.Limits(),
		Tenants:  []map[string]any{{"name": "studio", "apiKeys": []string{"n2ctnfzs989anu6wsjnb"}}},
	}
	if _, ok := operator.Configure(config, 0, 30*time.Second); !ok {
		record.Say("the configuration is not acknowledged")
		return platform.NotRun
	}
	if err := fleet.AwaitReady(20 * time.Second); err != nil {
		record.Say("the entries are not ready: %v", err)
		return platform.NotRun
	}
	client := &platform.Client{Fleet: fleet, Host: "a.example", Key: "n2ctnfzs989anu6wsjnb", Deadline: 3 * time.Second}
	stop, served := make(chan struct{}), sync.WaitGroup{}
	served.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(rate):
			}
			served.Go(func() { client.Send(fleet.Entries[i%len(fleet.Entries)].Front, http.MethodGet, "/lookup/1", nil) })
		}
	})
	defer served.Wait()
	defer close(stop)
	time.Sleep(8 * time.Second) // The hubs know their entries after 6 s.
	result := platform.Held
	for frozen := len(fleet.Hubs) - 1; frozen > len(fleet.Hubs)-1-freezes && result == platform.Held; frozen-- {
		result = trouble(fleet, operator, replicas[0], frozen, os.Getenv("TROUBLE") != "0")
	}
	return result
}

// trouble evacuates a zone, takes it back and evacuates it again, and reports whether the
// last evacuation stays in force. With a freeze, one machine of the core stands still from
// just before the withdrawal on, and is the first that the operator picks for it.
func trouble(fleet *platform.Fleet, operator *platform.Operator, replica *platform.Replica, frozen int, isFrozen bool) int {
	record := fleet.Record
	path := platform.PathDrain + zone
	if status, _ := operator.Order(http.MethodPost, path, nil, 0, ackLimit); status/100 != 2 {
		record.Say("the first evacuation is not acknowledged: %d", status)
		return platform.NotRun
	}
	time.Sleep(time.Second)
	thawed := make(chan time.Time, 1)
	if isFrozen {
		record.Say("%s is stopped", fleet.Hubs[frozen].Name)
		if err := fleet.Hubs[frozen].Signal(syscall.SIGSTOP); err != nil {
			return platform.NotRun
		}
		time.AfterFunc(freeze, func() {
			_ = fleet.Hubs[frozen].Signal(syscall.SIGCONT)
			record.Say("%s goes on", fleet.Hubs[frozen].Name)
			thawed <- time.Now()
		})
	} else {
		thawed <- time.Now().Add(freeze)
	}
	if status, _ := operator.Order(http.MethodDelete, path, nil, frozen, ackLimit); status/100 != 2 {
		record.Say("the withdrawal is not acknowledged: %d", status)
		return platform.NotRun
	}
	time.Sleep(500 * time.Millisecond)
	status, at := operator.Order(http.MethodPost, path, nil, 0, ackLimit)
	if status/100 != 2 {
		record.Say("the second evacuation is not acknowledged: %d", status)
		return platform.NotRun
	}
	record.Say("the second evacuation of %s is acknowledged with %d; it is not taken back", zone, status)
	from := at.Add(evacuate)
	if calm := (<-thawed).Add(contact); calm.After(from) {
		from = calm
	}
	time.Sleep(time.Until(from))
	record.Say("%v after the acknowledgement, %v after the thaw: requests in %s are counted from now", evacuate, contact, zone)
	time.Sleep(watched)
	count := 0
	for _, run := range replica.Runs() {
		if run.Arrived.After(from) {
			count++
		}
	}
	record.Say("requests that reached %s in the evacuated zone: %d", replica.ID, count)
	if count > 0 {
		record.Say("EVAC is broken")
		return platform.Broken
	}
	record.Say("EVAC held")
	if status, _ := operator.Order(http.MethodDelete, path, nil, 0, ackLimit); status/100 != 2 {
		record.Say("the last withdrawal is not acknowledged: %d", status)
		return platform.NotRun
	}
	return platform.Held
}
