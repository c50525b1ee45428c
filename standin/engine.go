package standin

import (
	"strconv"
	"strings"
	"sync"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Engine is a stand-in model engine.
type Engine struct {
	*server
	announcer *announcer
	announced string
	fenced    fenced

	mu          sync.Mutex
	settings    EngineSettings
	incarnation uint64
	cache       *prefixCache
	slots       *slots
	running     map[string]*run
	cold        bool
	completed   int
	stats       EngineStats
}

// EngineStats counts what an engine has seen since it was made.
type EngineStats struct {
	Requests  int
	Completed int
	Cancelled int
	Resumed   int
	CacheHits int
	Crashes   int
	// MaxColdInFlight is the largest number in flight while the engine was cold.
	MaxColdInFlight int
	MaxInFlight     int
}

// NewEngine starts an engine, which announces itself to the hosts named in its
// settings.
func NewEngine(clock clockwork.Clock, settings EngineSettings) (*Engine, error) {
	settings = settings.withDefaults()
	e := &Engine{
		settings: settings, incarnation: settings.Incarnation,
		cache: newPrefixCache(settings.CacheCapacityChats), slots: newSlots(settings.MaxRunning),
		running: map[string]*run{}, cold: settings.ColdRequests > 0,
	}
	e.fenced.checks = settings.ChecksFencingToken
	var err error
	e.server, err = newServer(clock, e.handle)
	if err != nil {
		return nil, err
	}
	e.announced = announcedAddress(e.Address(), settings.AdvertiseAddress)
	e.announcer = newAnnouncer(clock, settings.Hosts, settings.SharedKey, settings.Heartbeat, e, e.done)
	e.announcer.eventLag = settings.CacheEventDelay
	e.announcer.start()
	return e, nil
}

// Close stops the engine without a word to the hosts.
func (e *Engine) Close() {
	e.close()
	e.announcer.wait()
}

// Leave tells the hosts that the engine takes no new work.
func (e *Engine) Leave() { e.announcer.leave() }

// Stats returns the counts.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// InFlight returns the number of requests taken and not yet ended.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running)
}

// HasCachedChat reports whether a chat's context is in the prefix memory.
func (e *Engine) HasCachedChat(chat string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.has(chat)
}

// Cold reports whether the engine bears only a little.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// SetCold makes the engine cold without an announcement.
func (e *Engine) SetCold() {
	e.mu.Lock()
	e.cold = true
	e.completed = 0
	e.mu.Unlock()
}

// CrashAndRestart cuts every connection and comes back as a new incarnation, with its
// prefix memory or without.
func (e *Engine) CrashAndRestart(keepCache bool) {
	e.mu.Lock()
	e.restart(keepCache)
	e.mu.Unlock()
	e.cutAll()
	e.announcer.announce()
}

// restart begins a new incarnation. The lock is held.
func (e *Engine) restart(keepCache bool) {
	e.incarnation++
	if !keepCache {
		e.cache.clear()
	}
	e.cold = e.settings.ColdRequests > 0
	e.completed = 0
	for _, r := range e.running {
		r.cancel()
	}
}

// handle serves one HTTP request.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, web.PathServices):
		e.call(ctx)
	case strings.HasPrefix(path, web.PathCancel):
		id, attempt, _ := strings.Cut(strings.TrimPrefix(path, web.PathCancel), "/")
		e.cancel(id, attempt)
		e.respond(ctx, fasthttp.StatusOK, []byte("{}"), Fault{})
	case path == web.PathOrders:
		e.order(ctx)
	case strings.HasPrefix(path, web.PathCache):
		e.moveCache(ctx, strings.TrimPrefix(path, web.PathCache))
	default:
		e.respond(ctx, fasthttp.StatusNotFound, []byte("{}"), Fault{})
	}
}

// call takes a call and answers it with a stream of tokens.
func (e *Engine) call(ctx *fasthttp.RequestCtx) {
	r, fell := e.begin(ctx)
	if fell {
		e.cutAll()
		e.announcer.announce()
		return
	}
	if !e.slots.acquire(r.priority, r.done, e.done) {
		e.end(r, false)
		return
	}
	r.slot = true
	switch r.fault.Kind {
	case FaultNoResponse:
		select {
		case <-e.done:
		case <-r.done:
		}
		e.end(r, false)
		return
	case FaultError:
		e.end(r, false)
		e.respond(ctx, fasthttp.StatusInternalServerError, []byte(`{"Error":"injected"}`), Fault{})
		return
	}
	if !r.stream {
		e.plainAnswer(ctx, r)
		return
	}
	ctx.Response.Header.Set(web.HeaderRequestID, r.headerID())
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(r, -1)
}

// plainAnswer answers with all tokens at once.
func (e *Engine) plainAnswer(ctx *fasthttp.RequestCtx, r *run) {
	body := []byte(`{"Text":"`)
	for i := range r.length {
		if !r.pause(i) {
			e.end(r, false)
			return
		}
		body = append(body, token(r.seed, i)...)
		body = append(body, ' ')
	}
	body = append(body, `"}`...)
	e.end(r, true)
	ctx.Response.Header.Set(web.HeaderWarm, strconv.FormatBool(r.warm))
	e.respond(ctx, fasthttp.StatusOK, body, r.fault)
}

// begin counts a request in; it reports true when the engine has fallen over.
func (e *Engine) begin(ctx *fasthttp.RequestCtx) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := newRun(e, ctx)
	e.running[r.id] = r
	e.stats.Requests++
	if r.next > 0 {
		e.stats.Resumed++
	}
	e.stats.MaxInFlight = max(e.stats.MaxInFlight, len(e.running))
	bears := e.settings.OverloadLimit
	if e.cold {
		e.stats.MaxColdInFlight = max(e.stats.MaxColdInFlight, len(e.running))
		bears = e.settings.ColdOverloadLimit
	}
	if bears > 0 && len(e.running) > bears {
		e.stats.Crashes++
		e.restart(false)
		clear(e.running)
		return r, true
	}
	r.warm = r.chat != "" && e.cache.has(r.chat)
	r.firstByte = e.firstByte(r.warm)
	return r, false
}

// end counts a request out and keeps the chat's context.
func (e *Engine) end(r *run, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.slot {
		e.slots.release()
	}
	if e.running[r.id] == r {
		delete(e.running, r.id)
	}
	if !completed {
		e.stats.Cancelled++
		return
	}
	e.stats.Completed++
	if r.warm {
		e.stats.CacheHits++
	}
	e.completed++
	if e.completed >= e.settings.ColdRequests {
		e.cold = false
	}
	e.storeChat(r.chat)
}

// storeChat keeps a chat's context and publishes what changed. The lock is
// held.
func (e *Engine) storeChat(chat string) {
	if chat == "" {
		return
	}
	known := e.cache.has(chat)
	evicted := e.cache.store(chat)
	if !known {
		e.announcer.event(e.incarnation, target.CacheStored, []string{chat})
	}
	if len(evicted) > 0 {
		e.announcer.event(e.incarnation, target.CacheEvicted, evicted)
	}
}

// cancel stops a request, unless it was sent again by a later attempt.
func (e *Engine) cancel(id, upTo string) {
	attempt, err := strconv.Atoi(upTo)
	if err != nil {
		return
	}
	e.mu.Lock()
	r := e.running[id]
	e.mu.Unlock()
	if r != nil && r.attempt <= attempt {
		r.cancel()
	}
}
