// Package main is a case of the second review: one edge machine of three is partitioned from all
// replicas, while clients and the other machines reach it.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"comfreytiller.dev/comfreytiller/review/second/platform"
)

const (
	work     = 20 * time.Millisecond
	interval = 20 * time.Millisecond
	usualFor = 8 * time.Second
	cutFor   = 12 * time.Second
	// contactTime is contactMs of the sheet.
	contactTime = 3 * time.Second
	// The rule: served less than minShare as often, and more than allowed + 1 in allowedShare of all
	// first tries fail there.
	minShare     = 2.0 / 3
	allowed      = 10
	allowedShare = 50
)

// attempt is the first try of a client.
type attempt struct {
	machine  int
	sentAt   time.Time
	isServed bool
}

// balancer is a stand-in for the clients and the platform that forwards their connections.
type balancer struct {
	d        *platform.Deployment
	mu       sync.Mutex
	misses   []int
	attempts []attempt
	running  sync.WaitGroup
	stop     chan struct{}
}

// check asks all daemons once a second whether they are ready.
func (b *balancer) check() {
	for i, m := range b.d.Edges {
		isReady := m.IsReady()
		b.mu.Lock()
		if b.misses[i]++; isReady {
			b.misses[i] = 0
		}
		if b.misses[i] == 2 {
			b.d.Record.Notef("platform: %s is out of rotation", m.Name)
		}
		b.mu.Unlock()
	}
}

// rotation returns the machines that get new connections.
func (b *balancer) rotation() (machines []int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, misses := range b.misses {
		if misses < 2 {
			machines = append(machines, i)
		}
	}
	return machines
}

// send sends the first try of a client.
func (b *balancer) send(machine, n int) {
	m := b.d.Edges[machine]
	request := platform.Request{Method: http.MethodGet, Host: "api.example", Path: fmt.Sprintf("/balance/%d", n), Attempt: platform.NewAttempt(), Deadline: 2500 * time.Millisecond}
	sentAt := time.Now()
	answer := platform.Send(m.Front(), request)
	isServed := answer.Status == http.StatusOK && answer.IsWhole && answer.Seal != ""
	b.d.Record.Notef("first try %s to %s: status %d, seal %q, error %v, %.120s", request.Attempt, m.Name, answer.Status, answer.Seal, answer.Err, answer.Body)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts = append(b.attempts, attempt{machine: machine, sentAt: sentAt, isServed: isServed})
}

// run checks the daemons and sends requests until stop is closed.
func (b *balancer) run() {
	b.running.Go(func() {
		for {
			b.check()
			select {
			case <-b.stop:
				return
			case <-time.After(time.Second):
			}
		}
	})
	b.running.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-b.stop:
				return
			case <-time.After(interval):
			}
			if machines := b.rotation(); len(machines) > 0 {
				b.running.Go(func() { b.send(machines[n%len(machines)], n) })
			}
		}
	})
}

// judge applies the rule to the first tries between two times.
func (b *balancer) judge(from, to time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sent, served [2]int
	for _, a := range b.attempts {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		side := min(a.machine, 1)
		sent[side]++
		if a.isServed {
			served[side]++
		}
	}
	b.d.Record.Notef("result: served %d of %d first tries at %s, %d of %d at the others", served[0], sent[0], b.d.Edges[0].Name, served[1], sent[1])
	share := func(side int) float64 { return float64(served[side]) / float64(max(sent[side], 1)) }
	failed := sent[0] - served[0]
	return sent[0] > 0 && share(0) < minShare*share(1) && failed > allowed+(sent[0]+sent[1])/allowedShare
}

func main() { platform.Run("review/8", 3, 5, check) }

func check(d *platform.Deployment) (bool, error) {
	if err := d.StartAll(); err != nil {
		return false, err
	}
	config := platform.NewConfig(1, []platform.Service{platform.PlainService("treasury")}, platform.Route{
		Name: "balance", Hostname: "api.example", PathPrefix: "/balance/", Type: "idempotent", TimeoutMs: 2500, SloMs: 150, Service: "treasury", Attempts: 2, Public: true,
	})
	if err := d.PutConfig(1, config.Encode(), 20*time.Second); err != nil {
		return false, err
	}
	partition := &platform.Partition{}
	for i := range 3 {
		r := d.NewReplica("treasury", i, func(r *platform.Replica, w http.ResponseWriter, request *http.Request) {
			time.Sleep(work)
			r.Seal(w, request)
			_, _ = fmt.Fprint(w, "balance")
		})
		r.Partition = partition
		if err := r.Start(); err != nil {
			return false, err
		}
	}
	if err := d.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	b := &balancer{d: d, misses: make([]int, len(d.Edges)), stop: make(chan struct{})}
	b.run()
	time.Sleep(usualFor)
	begun := time.Now()
	if platform.HasTrouble() {
		d.Record.Notef("%s is partitioned from all replicas", d.Edges[0].Name)
		partition.Begin(d.Edges[0])
	}
	time.Sleep(cutFor)
	ended := time.Now()
	partition.End()
	d.Record.Notef("the partition has ended")
	time.Sleep(3 * time.Second)
	close(b.stop)
	b.running.Wait()
	return b.judge(begun.Add(contactTime), ended), nil
}
