// Command case1 shows that a few heartbeats of another writer, with an id that can't be read,
// keep all later news of replicas from the entries.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"comfreytiller.dev/comfreytiller/review/platform"
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
	record, err := platform.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return platform.NotRun
	}
	defer record.Close()
	fleet, err := platform.Start(platform.Options{Hubs: 5, Entries: 3, Zones: []string{"milano-a", "milano-b", "torino-a"}, Record: record})
	if fleet != nil {
		defer fleet.Stop()
	}
	if err != nil {
		record.Say("the fleet does not start: %v", err)
		return platform.NotRun
	}
	var old []*platform.Replica
	for _, zone := range []string{"milano-a", "milano-b", "torino-a"} {
		replica, err := start(fleet, "i-old-", zone)
		if err != nil {
			return platform.NotRun
		}
		old = append(old, replica)
	}
	operator := &platform.Operator{Fleet: fleet}
	config := platform.Config{
		Version:  3,
		Routes:   []platform.Route{{Name: "filing", Hostname: "a.example", PathPrefix: "/filing/", Type: "non_idempotent", TimeoutMs: 3000, SloMs: 300, Service: "pratiche", Attempts: 1}},
		Services: []platform.Service{{Name: "pratiche", HealthPath: "/healthz", MaxConns: 214, Protocol: "h1"}},
		Limits:   platform.Limits(),
		Tenants:  []map[string]any{{"name": "studio", "apiKeys": []string{key}}},
	}
	if _, ok := operator.Configure(config, 0, 30*time.Second); !ok {
		record.Say("the configuration is not acknowledged")
		return platform.NotRun
	}
	if err := fleet.AwaitReady(20 * time.Second); err != nil {
		record.Say("the entries are not ready: %v", err)
		return platform.NotRun
	}
	time.Sleep(8 * time.Second) // The hubs know their entries after 6 s.
	if os.Getenv("TROUBLE") != "0" {
		otherWriter(fleet, operator)
	}
	time.Sleep(contact)
	return release(fleet, old)
}

// start starts a replica and waits until a hub has acknowledged it.
func start(fleet *platform.Fleet, prefix, zone string) (*platform.Replica, error) {
	replica := &platform.Replica{ID: prefix + zone, Service: "pratiche", Zone: zone, Slots: 6, Work: 20 * time.Millisecond}
	if err := fleet.StartReplica(replica, heartbeat); err != nil {
		return nil, err
	}
	return replica, platform.Await(20*time.Second, replica.IsAcknowledged)
}

// otherWriter sends one heartbeat to each daemon that serves ctrl, one each heartbeatMs.
func otherWriter(fleet *platform.Fleet, operator *platform.Operator) {
	for i := range fleet.Hubs {
		body := platform.Heartbeat{
			Service: "pratiche", Address: "127.0.0.1:1", Zone: "milano-a", State: "ready", Slots: 6, Seq: i + 1, Born: time.Now(),
		}.Encode()
		status, _ := operator.Once(http.MethodPut, fleet.Hubs[i], platform.PathReplicas+odd, body)
		fleet.Record.Say("another writer: PUT %s%s to %s: %d", platform.PathReplicas, odd, fleet.Hubs[i].Name, status)
		time.Sleep(heartbeat)
	}
}

// release replaces the replicas one after the other, the new one first, and reports whether
// a request reached a replica too late after its leave was acknowledged.
func release(fleet *platform.Fleet, old []*platform.Replica) int {
	record := fleet.Record
	client := &platform.Client{Fleet: fleet, Host: "a.example", Key: key, Deadline: 3 * time.Second}
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
			return platform.NotRun
		}
		record.Say("%s is acknowledged as ready", successor.ID)
		time.Sleep(time.Second)
		at, err := replica.Drain(platform.AckTimeout)
		if err != nil {
			record.Say("the leave of %s is not acknowledged: %v", replica.ID, err)
			return platform.NotRun
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
		return platform.Broken
	}
	record.Say("DRAIN held")
	return platform.Held
}
