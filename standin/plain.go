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

// PlainServiceSettings describe a stand-in plain service.
type PlainServiceSettings struct {
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
	// AdvertiseAddress returns the address to announce for the one that the service
	// listens on, such as a relay's; nil announces that one.
	AdvertiseAddress func(address string) string
}

// PlainService is a stand-in plain service, such as a treasury. Its ledger counts
// every run of every request.
type PlainService struct {
	*server
	settings  PlainServiceSettings
	announcer *announcer
	announced string

	mu       sync.Mutex
	byID     map[string]int
	byKey    map[string]int
	inFlight int
	total    int
}

// NewPlainService starts a plain service, which announces itself to the hosts named
// in its settings.
func NewPlainService(clock clockwork.Clock, settings PlainServiceSettings) (*PlainService, error) {
	if settings.Incarnation == 0 {
		settings.Incarnation = 1
	}
	p := &PlainService{settings: settings, byID: map[string]int{}, byKey: map[string]int{}}
	var err error
	p.server, err = newServer(clock, p.handle)
	if err != nil {
		return nil, err
	}
	p.announced = announcedAddress(p.Address(), settings.AdvertiseAddress)
	p.announcer = newAnnouncer(clock, settings.Hosts, settings.SharedKey, settings.Heartbeat, p, p.done)
	p.announcer.start()
	return p, nil
}

// Close stops the service without a word to the hosts.
func (p *PlainService) Close() {
	p.close()
	p.announcer.wait()
}

// Leave tells the hosts that the service takes no new work.
func (p *PlainService) Leave() { p.announcer.leave() }

// RunsByKey returns how often the request with that idempotency key ran.
func (p *PlainService) RunsByKey(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byKey[key]
}

// RunsByRequestID returns how often the request with that id ran.
func (p *PlainService) RunsByRequestID(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byID[id]
}

// TotalRuns returns the number of runs.
func (p *PlainService) TotalRuns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// MaxRunsPerKey returns the largest number of runs of one idempotency key.
func (p *PlainService) MaxRunsPerKey() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most := 0
	for _, runs := range p.byKey {
		most = max(most, runs)
	}
	return most
}

// InFlight returns the number of calls that run now.
func (p *PlainService) InFlight() int {
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

func (p *PlainService) handle(ctx *fasthttp.RequestCtx) {
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
	key := string(ctx.Request.Header.Peek(web.HeaderIdempotencyKey))
	run := p.record(string(ctx.Request.Header.Peek(web.HeaderRequestID)), key)
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
func (p *PlainService) record(id, key string) int {
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

func (p *PlainService) finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight--
}

// announcement returns what the service announces.
func (p *PlainService) announcement() target.Announcement {
	return target.Announcement{
		Name: p.settings.Name, Stamp: target.Stamp{Incarnation: p.settings.Incarnation},
		Address: p.announced, FailureDomain: p.settings.FailureDomain,
		Kind: target.KindPlain, Service: p.settings.Service,
	}
}

// loadReport returns the service's load now.
func (p *PlainService) loadReport() target.LoadReport {
	return target.LoadReport{Name: p.settings.Name, Service: p.settings.Service, InFlight: p.InFlight()}
}
