// Package main is a case of the second review: the model replicas of a service go down and up by turns.
// Its requests have a part of the prompt in common, as the chats of an assistant do.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"comfreytiller.dev/comfreytiller/review/second/platform"
)

const (
	// A stream has its first event after firstEvent and then events at a pause that is below that of
	// the route.
	firstEvent = 450 * time.Millisecond
	pause      = 200 * time.Millisecond
	events     = 30
	// interval is the time between two requests to each route.
	interval = 100 * time.Millisecond

	// The model replicas go down and up by turns: crashes times they are down for downFor and then up
	// for upFor.
	crashes = 5
	downFor = 500 * time.Millisecond
	upFor   = 900 * time.Millisecond

	// usualFor is the time before the crashes, settledFor the time after them that isn't judged: more
	// than the contactMs of the pages and the longest request. judgedFor is steady state.
	usualFor   = 10 * time.Second
	settledFor = 15 * time.Second
	judgedFor  = 20 * time.Second
	// minRequests and minShare are those of the rule.
	minRequests = 20
	minShare    = 0.25
)

// serve streams an answer of a model replica.
func serve(r *platform.Replica, w http.ResponseWriter, request *http.Request) {
	time.Sleep(firstEvent)
	r.Seal(w, request)
	w.Header().Set("Content-Type", "text/event-stream")
	for i := platform.StreamFrom(request); i <= events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: tokens\n\n", i); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		if i < events {
			time.Sleep(pause)
		}
	}
}

// served counts the requests of a route and those that were served.
type served struct{ sent, whole, refused int }

// traffic sends requests to both routes.
type traffic struct {
	d       *platform.Deployment
	mu      sync.Mutex
	counts  map[string]*served
	running sync.WaitGroup
}

func (t *traffic) send(route string, n int, period string) {
	request := platform.Request{Method: http.MethodPost, Host: "api.example", Path: "/" + route + "/1", Attempt: platform.NewAttempt(), Deadline: 12 * time.Second, Body: fmt.Sprint("request ", n)}
	if route == "letters" {
		request.Headers = platform.PromptHeaders("5c1e07a2:800", 1_000_000+n)
	}
	m := t.d.Edges[n%len(t.d.Edges)]
	answer := platform.Send(m.Front(), request)
	isServed := answer.Status == http.StatusOK && answer.IsWhole && answer.Seal != ""
	t.d.Record.Notef("%s %s to %s: status %d, seal %q, %d events, whole %t, error %v, retry after %s, %.120s", route, request.Attempt, m.Name, answer.Status, answer.Seal, len(answer.Events), answer.IsWhole, answer.Err, answer.RetryAfter, firstLine(answer))
	t.mu.Lock()
	defer t.mu.Unlock()
	count := t.counts[period+" "+route]
	if count == nil {
		count = &served{}
		t.counts[period+" "+route] = count
	}
	count.sent++
	if isServed {
		count.whole++
	}
	if answer.Status == http.StatusServiceUnavailable {
		count.refused++
	}
}

// firstLine returns the body of a refusal.
func firstLine(answer platform.Answer) string {
	if answer.Status == http.StatusOK {
		return ""
	}
	return answer.Body
}

// run sends requests to both routes for a time; period is the name under which they count.
func (t *traffic) run(period string, duration time.Duration) {
	end := time.Now().Add(duration)
	for n := int(time.Now().UnixMilli()); time.Now().Before(end); n++ {
		for _, route := range []string{"lookup", "letters"} {
			t.running.Go(func() { t.send(route, n, period) })
		}
		time.Sleep(interval)
	}
}

func main() { platform.Run("review/9", 2, 5, check) }

func check(d *platform.Deployment) (bool, error) {
	services := []platform.Service{platform.PlainService("application"), platform.EngineService("models")}
	lookup := platform.Route{Name: "lookup", Hostname: "api.example", PathPrefix: "/lookup/", Type: "idempotent", TimeoutMs: 2500, SloMs: 150, Service: "application", Attempts: 2, Public: true}
	letters := platform.Route{Name: "letters", Hostname: "api.example", PathPrefix: "/letters/", Type: "streaming", TimeoutMs: 12000, SloMs: 500, Service: "models", Attempts: 1, Public: true, Sticky: true, ItlTargetMs: 400}
	if err := d.StartAll(); err != nil {
		return false, err
	}
	if err := d.PutConfig(1, platform.NewConfig(1, services, lookup).Encode(), 20*time.Second); err != nil {
		return false, err
	}
	engines, err := startReplicas(d)
	if err != nil {
		return false, err
	}
	if err := d.AwaitReady(15 * time.Second); err != nil {
		return false, err
	}
	if err := d.PutConfig(2, platform.NewConfig(2, services, lookup, letters).Encode(), 20*time.Second); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	t := &traffic{d: d, counts: map[string]*served{}}
	t.run("usual", usualFor)
	crashed := make(chan error, 1)
	go func() { crashed <- flap(engines) }()
	t.run("unjudged", crashes*(downFor+upFor)+settledFor)
	if err := <-crashed; err != nil {
		return false, err
	}
	t.run("steady", judgedFor)
	t.running.Wait()
	return t.judge(), nil
}

// startReplicas starts the replicas of both services.
func startReplicas(d *platform.Deployment) ([]*platform.Replica, error) {
	plain := d.NewReplica("application", 0, func(r *platform.Replica, w http.ResponseWriter, request *http.Request) {
		time.Sleep(30 * time.Millisecond)
		r.Seal(w, request)
		_, _ = fmt.Fprint(w, "answer")
	})
	if err := plain.Start(); err != nil {
		return nil, err
	}
	var engines []*platform.Replica
	for i := range 6 {
		e := d.NewReplica("models", 1+i, serve)
		e.IsEngine, e.Slots = true, 128
		if err := e.Start(); err != nil {
			return nil, err
		}
		engines = append(engines, e)
	}
	return engines, nil
}

// flap lets all model replicas crash and come back by turns.
func flap(engines []*platform.Replica) error {
	if !platform.HasTrouble() {
		return nil
	}
	for range crashes {
		for _, e := range engines {
			e.Crash()
		}
		time.Sleep(downFor)
		for _, e := range engines {
			if err := e.Start(); err != nil {
				return err
			}
		}
		time.Sleep(upFor)
	}
	return nil
}

// judge applies the rule to the requests of the steady state.
func (t *traffic) judge() bool {
	for period, count := range t.counts {
		t.d.Record.Notef("result: %s: %d sent, %d served, %d answered with 503", period, count.sent, count.whole, count.refused)
	}
	first, later := t.counts["steady lookup"], t.counts["steady letters"]
	if later.sent < minRequests {
		return false
	}
	return float64(later.whole)/float64(later.sent) < minShare*float64(first.whole)/float64(first.sent)
}
