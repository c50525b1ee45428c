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

// PlainSettings describe a stand-in plain service.
type PlainSettings struct {
	Name          string
	FailureDomain string
	Service       string
	// Hosts are the entry hosts to announce to, IP:port.
	Hosts       []string
	SharedKey   string
	Heartbeat   time.Duration
	Incarnation uint64
	// Latency is the time that a call takes.
	Latency time.Duration
	// Announce returns the address to announce for the one that the service
	// listens on, such as a relay's; nil announces that one.
	Announce func(address string) string
}

// Plain is a stand-in plain service, such as a treasury. Its ledger counts
// every run of every request.
type Plain struct {
	*server
	settings  PlainSettings
	announcer *announcer
	announced string

	mu       sync.Mutex
	byID     map[string]int
	byKey    map[string]int
	inFlight int
	total    int
}

// NewPlain starts a plain service, which announces itself to the hosts named
// in its settings.
func NewPlain(clock clockwork.Clock, settings PlainSettings) (*Plain, error) {
	if settings.Incarnation == 0 {
		settings.Incarnation = 1
	}
	p := &Plain{settings: settings, byID: map[string]int{}, byKey: map[string]int{}}
	var err error
	p.server, err = newServer(clock, p.handle)
	if err != nil {
		return nil, err
	}
	p.announced = announcedAddress(p.Address(), settings.Announce)
	p.announcer = newAnnouncer(clock, settings.Hosts, settings.SharedKey, settings.Heartbeat, p, p.done)
	p.announcer.start()
	return p, nil
}

// Close stops the service without a word to the hosts.
func (p *Plain) Close() {
	p.close()
	p.announcer.wait()
}

// Leave tells the hosts that the service takes no new work.
func (p *Plain) Leave() { p.announcer.leave() }

// Runs returns how often the request with that idempotency key ran.
func (p *Plain) Runs(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byKey[key]
}

// RunsOfRequest returns how often the request with that id ran.
func (p *Plain) RunsOfRequest(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// Total returns the number of runs.
func (p *Plain) Total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// MostRuns returns the largest number of runs of one idempotency key.
func (p *Plain) MostRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, runs := range p.byKey {
		most = max(most, runs)
	}
	return most
}

// InFlight returns the number of calls that run now.
func (p *Plain) InFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inFlight
}

// receiptBody is the answer to a call.
type receiptBody struct {
	Service string
	Call    string
	Key     string
	// Run numbers the runs of the key.
	Run int
}

func (p *Plain) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if !strings.HasPrefix(path, web.PathServices) {
		p.respond(ctx, fasthttp.StatusOK, []byte("{}"), Fault{})
		return
	}
	fault := p.faults.take()
	if fault.Kind == FaultError {
		p.respond(ctx, fasthttp.StatusInternalServerError, []byte(`{"Error":"injected"}`), Fault{})
		return
	}
	key := string(ctx.Request.Header.Peek(web.HeaderKey))
	run := p.record(string(ctx.Request.Header.Peek(web.HeaderRequest)), key)
	defer p.finish()
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

// record enters a run in the ledger.
func (p *Plain) record(id, key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.total++
	p.inFlight++
	p.byID[id]++
	if key == "" {
		return p.byID[id]
	}
	p.byKey[key]++
	return p.byKey[key]
}

func (p *Plain) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
}

// announcement returns what the service announces.
func (p *Plain) announcement() target.Announcement {
	return target.Announcement{
		Name: p.settings.Name, Stamp: target.Stamp{Incarnation: p.settings.Incarnation},
		Address: p.announced, FailureDomain: p.settings.FailureDomain,
		Kind: target.KindPlain, Service: p.settings.Service,
	}
}

// loadReport returns the service's load now.
func (p *Plain) loadReport() target.LoadReport {
	return target.LoadReport{Name: p.settings.Name, Service: p.settings.Service, InFlight: p.InFlight()}
}
