// Command case1 shows that a few heartbeats of another writer, with an id that can't be read,
// keep all later news of replicas from the entries.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"comfreytiller.dev/comfreytiller/review/kit"
)

const (
	// The bounds of the site vpl-approvals.
	heartbeat = 1200 * time.Millisecond
	drain     = 2 * time.Second
	contact   = 3 * time.Second
	// linger is how long a leaving replica serves after drain.
	linger = 4 * time.Second
	// odd is the id of the other writer's heartbeats: two bytes that are no text.
	odd   = "%ff%fe"
	key   = "n2ctnfzs989anu6wsjnb"
	rate  = 40 * time.Millisecond
	after = 5 * time.Second
)

func main() { os.Exit(run()) }

func run() int {
	record, err := kit.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return kit.NotRun
	}
	defer record.Close()
	fleet, err := kit.Start(kit.Options{Hubs: 5, Entries: 3, Zones: []string{"milano-a", "milano-b", "torino-a"}, Record: record})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		record.Say("the fleet does not start: %v", err)
		return kit.NotRun
	}
	var old []*kit.Replica
	for _, zone := range []string{"milano-a", "milano-b", "torino-a"} {
		replica, err := start(fleet, "i-old-", zone)
		if err != nil {
			return kit.NotRun
		}
		old = append(old, replica)
	}
	operator := &kit.Operator{Fleet: fleet}
	config := kit.Config{
		Version:  3,
		Routes:   []kit.Route{{Name: "filing", Hostname: "a.example", PathPrefix: "/filing/", Type: "non_idempotent", TimeoutMs: 3000, SloMs: 300, Service: "pratiche", Attempts: 1}},
		Services: []kit.Service{{Name: "pratiche", HealthPath: "/healthz", MaxConns: 214, Protocol: "h1"}},
		Limits:   kit.Limits(),
		Tenants:  []map[string]any{{"name": "studio", "apiKeys": []string{key}}},
	}
	if _, ok := operator.Configure(config, 0, 30*time.Second); !ok {
		record.Say("the configuration is not acknowledged")
		return kit.NotRun
	}
	if err := fleet.AwaitReady(20 * time.Second); err != nil {
		record.Say("the entries are not ready: %v", err)
		return kit.NotRun
	}
	time.Sleep(8 * time.Second) // The hubs know their entries after 6 s.
	if os.Getenv("TROUBLE") != "0" {
		otherWriter(fleet, operator)
	}
	time.Sleep(contact)
	return release(fleet, old)
}

// start starts a replica and waits until a hub has acknowledged it.
func start(fleet *kit.Fleet, prefix, zone string) (*kit.Replica, error) {
	replica := &kit.Replica{ID: prefix + zone, Service: "pratiche", Zone: zone, Slots: 6, Work: 20 * time.Millisecond}
	if err := fleet.StartReplica(replica, heartbeat); err != nil {
		return nil, err
	}
	return replica, kit.Await(20*time.Second, replica.IsAcknowledged)
}

// otherWriter sends one heartbeat to each daemon that serves ctrl, one each heartbeatMs.
func otherWriter(fleet *kit.Fleet, operator *kit.Operator) {
	for i := range fleet.Hubs {
		body, _ := json.Marshal(map[string]any{
			"service": "pratiche", "address": "127.0.0.1:1", "zone": "milano-a", "version": "v1", "slots": 6,
			"state": "ready", "warmupLeftMs": 0, "seq": i + 1, "born": time.Now().UnixMilli(),
		})
		status, _ := operator.Once(http.MethodPut, fleet.Hubs[i], "/comfreytiller/replicas/"+odd, body)
		fleet.Record.Say("another writer: PUT /comfreytiller/replicas/%s to %s: %d", odd, fleet.Hubs[i].Name, status)
		time.Sleep(heartbeat)
	}
}

// release replaces the replicas one after the other, the new one first, and reports whether
// a request reached a replica too late after its leave was acknowledged.
func release(fleet *kit.Fleet, old []*kit.Replica) int {
	record := fleet.Record
	client := &kit.Client{Fleet: fleet, Host: "a.example", Key: key, Deadline: 3 * time.Second}
	var late, served, unserved atomic.Int64
	stop, sending := make(chan struct{}), sync.WaitGroup{}
	var isOver atomic.Bool
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(rate):
			}
			sending.Go(func() {
				answer := client.Send(fleet.Entries[i%len(fleet.Entries)].Front, http.MethodPost, "/filing/1", nil)
				switch {
				case !isOver.Load():
				case answer.Status == http.StatusOK:
					served.Add(1)
				default:
					unserved.Add(1)
				}
			})
		}
	})
	defer sending.Wait()
	defer close(stop)
	for _, replica := range old {
		successor, err := start(fleet, "i-new-", replica.Zone)
		if err != nil {
			record.Say("a new replica is not acknowledged: %v", err)
			return kit.NotRun
		}
		record.Say("%s is acknowledged as ready", successor.ID)
		time.Sleep(time.Second)
		at, err := replica.Drain(kit.AckTimeout)
		if err != nil {
			record.Say("the leave of %s is not acknowledged: %v", replica.ID, err)
			return kit.NotRun
		}
		record.Say("%s is acknowledged as draining", replica.ID)
		time.Sleep(drain + linger)
		count := 0
		for _, run := range replica.Runs() {
			if run.Arrived.After(at.Add(drain)) {
				count++
			}
		}
		late.Add(int64(count))
		record.Say("requests that reached %s later than %v after that: %d", replica.ID, drain, count)
		replica.Leave()
	}
	isOver.Store(true)
	time.Sleep(after)
	record.Say("with the three new replicas alone, for %v: %d requests served, %d not", after, served.Load(), unserved.Load())
	if late.Load() > 0 {
		record.Say("DRAIN is broken")
		return kit.Broken
	}
	record.Say("DRAIN held")
	return kit.Held
}
