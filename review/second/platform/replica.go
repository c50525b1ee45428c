package platform

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is heartbeatMs of the settings.
const heartbeatInterval = 1200 * time.Millisecond

// defaultSlots is the number of slots of a replica that names none.
const defaultSlots = 8

// Replica is a stand-in for a replica of a service.
type Replica struct {
	ID      string
	Service string
	Zone    string
	// Address is IP:port.
	Address string
	// Serve runs a request that the replica accepts.
	Serve func(r *Replica, w http.ResponseWriter, request *http.Request)
	// IsEngine is set for a model replica.
	IsEngine bool
	// Partition may cut machines off from the replica; nil for none.
	Partition *Partition
	// Slots is the number of requests that the replica says it runs at once; 8 for 0.
	Slots int

	deployment *Deployment
	index      int
	mu         sync.Mutex
	server     *http.Server
	born       int64
	seq        int
	stop       chan struct{}
	starts     int
	next       int
}

// NewReplica prepares a replica that doesn't run yet.
func (d *Deployment) NewReplica(service string, index int, serve func(*Replica, http.ResponseWriter, *http.Request)) *Replica {
	r := &Replica{
		Service: service, Zone: Zones[index%len(Zones)], Serve: serve, deployment: d, index: index,
		Address: fmt.Sprintf("127.%d.3.%d:%d", d.network, 10+index, d.ports.internal+5),
	}
	d.OnStop(r.Crash)
	return r
}

// Start starts a new incarnation of the replica.
func (r *Replica) Start() error {
	listener, err := net.Listen("tcp", r.Address)
	if err != nil {
		return err
	}
	if r.Partition != nil {
		listener = r.Partition.wrap(listener, r.deployment.Edges)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	r.ID = fmt.Sprintf("i-%s-%d-%d", r.Service, r.index, r.starts)
	r.born, r.seq, r.stop = time.Now().UnixMilli(), 0, make(chan struct{})
	r.server = &http.Server{Handler: http.HandlerFunc(r.handle)}
	go func(server *http.Server) { _ = server.Serve(listener) }(r.server)
	go r.announce(r.stop)
	r.deployment.Record.Notef("replica %s starts at %s", r.ID, r.Address)
	return nil
}

// Crash ends the replica at once.
func (r *Replica) Crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil {
		return
	}
	close(r.stop)
	_ = r.server.Close()
	r.server = nil
	r.deployment.Record.Notef("replica %s crashes", r.ID)
}

// handle answers health checks and calls for another replica, and serves the rest.
func (r *Replica) handle(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	id := r.ID
	r.mu.Unlock()
	if request.URL.Path == "/healthz" {
		w.Header().Set(headerReplica, id)
		return
	}
	if request.Header.Get(headerAttempt) != "" {
		w.Header().Set(headerAttempt, request.Header.Get(headerAttempt))
	}
	if expected := request.Header.Get(headerExpect); expected != "" && expected != id {
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.Serve(r, w, request)
}

// Seal sets the headers of a response of the replica itself.
func (r *Replica) Seal(w http.ResponseWriter, request *http.Request) {
	w.Header().Set(headerSeal, "seal."+r.ID+"."+request.Header.Get(headerAttempt))
}

// announce sends heartbeats until stop is closed.
func (r *Replica) announce(stop chan struct{}) {
	for {
		r.beat()
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// beat sends a heartbeat to one daemon after the other until it is acknowledged.
func (r *Replica) beat() {
	r.mu.Lock()
	r.seq++
	body := map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": max(r.Slots, defaultSlots), "state": "ready",
		"warmupLeftMs": 0, "seq": r.seq, "born": r.born,
	}
	id, next := r.ID, r.next
	r.mu.Unlock()
	if r.IsEngine {
		body["phase"], body["models"] = "mixed", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	encoded, _ := json.Marshal(body)
	controls := r.deployment.Controls()
	for range controls {
		status, _, err := Call(http.MethodPut, controls[next%len(controls)], pathReplicas+id, encoded, callTimeout)
		if err == nil && status < 300 {
			r.mu.Lock()
			r.next = next
			r.mu.Unlock()
			return
		}
		next++
	}
}

// StreamFrom returns the number of the first event that a request asks for.
func StreamFrom(request *http.Request) int {
	last, err := strconv.Atoi(request.Header.Get(headerLastEvent))
	if err != nil {
		return 1
	}
	return last + 1
}
