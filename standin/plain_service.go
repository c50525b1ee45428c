package standin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// PlainServiceSettings configures a stand-in plain service.
type PlainServiceSettings struct {
	Name          string
	FailureDomain string
	Service       string
	// Hosts are the IP:port addresses of the entry hosts to announce to.
	Hosts       []string
	SharedKey   string
	Heartbeat   time.Duration
	Incarnation uint64
	// Latency is the duration of a call.
	Latency time.Duration
	// AdvertiseAddress returns the address to announce for the address that the
	// service listens on, for example that of a relay. nil announces the listen
	// address.
	AdvertiseAddress func(address string) string
}

// PlainService is a stand-in plain service, such as a payment service. It counts
// every run of every request, to detect duplicate execution.
type PlainService struct {
	*server
	settings          PlainServiceSettings
	announcer         *announcer
	advertisedAddress string

	mu        sync.Mutex
	runsByID  map[string]int
	runsByKey map[string]int
	inFlight  int
	totalRuns int
}

// NewPlainService starts a plain service that announces itself to the hosts in its
// settings.
func NewPlainService(clock clockwork.Clock, settings PlainServiceSettings) (*PlainService, error) {
	if settings.Incarnation == 0 {
		settings.Incarnation = 1
	}
	p := &PlainService{settings: settings, runsByID: map[string]int{}, runsByKey: map[string]int{}}
	var err error
	p.server, err = newServer(clock, p.handle)
	if err != nil {
		return nil, err
	}
	p.advertisedAddress = advertisedAddressOf(p.Address(), settings.AdvertiseAddress)
	p.announcer = newAnnouncer(clock, settings.Hosts, settings.SharedKey, settings.Heartbeat, p, p.done)
	p.announcer.start()
	return p, nil
}

// Close stops the service without notifying the hosts.
func (p *PlainService) Close() {
	p.close()
	p.announcer.wait()
}

// Leave notifies the hosts that the service admits no new requests.
func (p *PlainService) Leave() {
	p.SetLeaving()
	p.announcer.enqueueLeave()
}

// RunsByKey returns how many times a request with the idempotency key has run.
func (p *PlainService) RunsByKey(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runsByKey[key]
}

// RunsByRequestID returns how many times the request with the ID has run.
func (p *PlainService) RunsByRequestID(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runsByID[id]
}

// TotalRuns returns the number of runs of all requests.
func (p *PlainService) TotalRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.totalRuns
}

// MaxRunsPerKey returns the maximum number of runs of any idempotency key.
func (p *PlainService) MaxRunsPerKey() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	maxRuns := 0
	for _, runs := range p.runsByKey {
		maxRuns = max(maxRuns, runs)
	}
	return maxRuns
}

// InFlight returns the number of calls in flight.
func (p *PlainService) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// receiptBody is the JSON response to a call.
type receiptBody struct {
	Service string
	Call    string
	Key     string
	// Run is the number of runs of the key, including this one.
	Run int
}

func (p *PlainService) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if !strings.HasPrefix(path, web.PathServices) {
		p.respond(ctx, fasthttp.StatusOK, []byte("{}"), Fault{})
		return
	}
	fault := p.faults.pop()
	if fault.Kind == FaultError {
		p.respond(ctx, fasthttp.StatusInternalServerError, []byte(`{"Error":"injected"}`), Fault{})
		return
	}
	if fault.Kind == FaultRefused {
		p.refuse(ctx, fault.Delay)
		return
	}
	key := string(ctx.Request.Header.Peek(web.HeaderIdempotencyKey))
	run := p.recordRun(string(ctx.Request.Header.Peek(web.HeaderRequestID)), key)
	defer p.finishRun()
	if p.settings.Latency > 0 {
		select {
		case <-p.done:
		case <-p.clock.After(p.settings.Latency):
		}
	}
	service, call, _ := strings.Cut(strings.TrimPrefix(path, web.PathServices), "/")
	body, _ := json.Marshal(receiptBody{Service: service, Call: call, Key: key, Run: run})
	p.respond(ctx, fasthttp.StatusOK, body, fault)
}

// recordRun counts a run and returns the number of runs of its idempotency key, or
// of its request ID if it has no key.
func (p *PlainService) recordRun(id, key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.totalRuns++
	p.inFlight++
	p.runsByID[id]++
	if key == "" {
		return p.runsByID[id]
	}
	p.runsByKey[key]++
	return p.runsByKey[key]
}

func (p *PlainService) finishRun() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
}

// announcement returns the service's announcement.
func (p *PlainService) announcement() target.Announcement {
	return target.Announcement{
		Name: p.settings.Name, Stamp: target.Stamp{Incarnation: p.settings.Incarnation},
		Address: p.advertisedAddress, FailureDomain: p.settings.FailureDomain,
		Kind: target.KindPlain, Service: p.settings.Service,
	}
}

// loadReport returns the service's current load.
func (p *PlainService) loadReport() target.LoadReport {
	return target.LoadReport{Name: p.settings.Name, Service: p.settings.Service, InFlight: p.InFlight()}
}
