package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// The states of a replica.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// AckTimeout is how long a replica that leaves waits for an acknowledgement.
const AckTimeout = 4 * time.Second

// Run is one request that a replica ran.
type Run struct {
	Attempt string
	Arrived time.Time
	Path    string
	Bytes   int
	Header  http.Header
}

// Replica is a stand-in of a replica that announces itself and runs requests.
type Replica struct {
	ID, Service, Zone string
	Slots             int
	// Work is how long a request takes. Handle replaces the usual response if it is set.
	Work   time.Duration
	Handle func(w http.ResponseWriter, request *http.Request)

	fleet    *Fleet
	listener net.Listener
	server   *http.Server
	stop     chan struct{}
	stopped  sync.WaitGroup

	mu    sync.Mutex
	born  time.Time
	seq   int
	state string
	runs  []Run
	// acknowledged is the last state that a hub acknowledged, at acknowledgedAt.
	acknowledged   string
	acknowledgedAt time.Time
	news           chan struct{}
}

// StartReplica starts a replica that sends a heartbeat every interval.
func (f *Fleet) StartReplica(r *Replica, interval time.Duration) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.fleet, r.listener, r.stop = f, listener, make(chan struct{})
	r.born, r.state, r.news = time.Now(), stateReady, make(chan struct{}, 1)
	if r.Slots == 0 {
		r.Slots = 64
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(listener) }()
	r.stopped.Go(func() { r.announce(interval) })
	return nil
}

// Stop ends the replica.
func (r *Replica) Stop() {
	close(r.stop)
	r.stopped.Wait()
	_ = r.server.Close()
}

// announce sends heartbeats until the replica ends, to the next hub after a failure.
func (r *Replica) announce(interval time.Duration) {
	operator := &Operator{Fleet: r.fleet}
	hub := 0
	for {
		r.mu.Lock()
		r.seq++
		state := r.state
		body := Heartbeat{
			Service: r.Service, Address: r.listener.Addr().String(), Zone: r.Zone, State: state, Slots: r.Slots, Seq: r.seq, Born: r.born,
		}.Encode()
		r.mu.Unlock()
		status, _ := operator.once(http.MethodPut, r.fleet.Hubs[hub%len(r.fleet.Hubs)].Control, PathReplicas+r.ID, body, operatorPatience)
		wait := interval
		if status/100 != 2 {
			hub++
			wait = 100 * time.Millisecond
		} else {
			r.mu.Lock()
			if r.acknowledged != state {
				r.acknowledged, r.acknowledgedAt = state, time.Now()
			}
			r.mu.Unlock()
		}
		select {
		case <-r.stop:
			return
		case <-r.news:
		case <-time.After(wait):
		}
	}
}

// IsAcknowledged reports whether a hub has acknowledged a heartbeat of the replica.
func (r *Replica) IsAcknowledged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.acknowledged != ""
}

// Drain reports the replica as draining and returns when a hub acknowledged that.
func (r *Replica) Drain(limit time.Duration) (time.Time, error) {
	r.mu.Lock()
	r.state = stateDraining
	r.mu.Unlock()
	r.news <- struct{}{}
	err := Await(limit, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.acknowledged == stateDraining
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fleet.Record.Printf("replica %s (%s): draining acknowledged at %s, error %v", r.ID, r.Zone, r.acknowledgedAt.Format(time.TimeOnly), err)
	return r.acknowledgedAt, err
}

// Leave sends that the replica leaves, until a hub acknowledges that, and ends it.
func (r *Replica) Leave() {
	close(r.stop)
	r.stopped.Wait()
	operator := &Operator{Fleet: r.fleet}
	status, _ := operator.Order(http.MethodDelete, PathReplicas+r.ID, nil, 0, AckTimeout)
	r.fleet.Record.Printf("replica %s (%s): leaves, %d", r.ID, r.Zone, status)
	_ = r.server.Close()
}

// ServeHTTP runs a request.
func (r *Replica) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	attempt := request.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	w.Header().Set("X-Replica-Id", r.ID)
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != r.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/healthz" {
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Handle != nil {
		r.Handle(w, request)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	r.AddRun(Run{Attempt: attempt, Arrived: arrived, Path: request.URL.RequestURI(), Bytes: len(body), Header: request.Header.Clone()})
	select {
	case <-time.After(r.Work):
	case <-request.Context().Done():
		return
	}
	w.Header().Set("X-Replica-Seal", "seal."+r.ID+"."+attempt)
	_, _ = fmt.Fprintf(w, "%s ran %s, %d bytes\n", r.ID, attempt, len(body))
}

// AddRun records a run.
func (r *Replica) AddRun(run Run) {
	r.fleet.Record.Printf("replica %s (%s): runs %s %s, %d bytes", r.ID, r.Zone, run.Attempt, run.Path, run.Bytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

// Runs returns the requests that ran.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Run(nil), r.runs...)
}
