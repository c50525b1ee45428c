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

// Engine is a stand-in model engine. It streams tokens that depend only on the
// request body, and simulates warm-up, overload and a prefix cache.
type Engine struct {
	*server
	announcer         *announcer
	advertisedAddress string
	orderLog          orderLog

	mu                  sync.Mutex
	settings            EngineSettings
	incarnation         uint64
	cache               *prefixCache
	slots               *slotPool
	inFlight            map[string]*engineRun
	cold                bool
	completedSinceStart int
	stats               EngineStats
}

// EngineStats contains counters since an engine was created.
type EngineStats struct {
	Requests  int
	Completed int
	Cancelled int
	Resumed   int
	CacheHits int
	Crashes   int
	// MaxColdInFlight is the maximum number of requests in flight while the engine
	// was cold.
	MaxColdInFlight int
	MaxInFlight     int
}

// NewEngine starts an engine that announces itself to the hosts in its settings.
func NewEngine(clock clockwork.Clock, settings EngineSettings) (*Engine, error) {
	settings = settings.withDefaults()
	e := &Engine{
		settings: settings, incarnation: settings.Incarnation,
		cache: newPrefixCache(settings.CacheCapacityChats), slots: newSlotPool(settings.MaxRunning),
		inFlight: map[string]*engineRun{}, cold: settings.ColdRequests > 0,
	}
	e.orderLog.checkFencingToken = settings.ChecksFencingToken
	var err error
	e.server, err = newServer(clock, e.handle)
	if err != nil {
		return nil, err
	}
	e.advertisedAddress = advertisedAddressOf(e.Address(), settings.AdvertiseAddress)
	e.announcer = newAnnouncer(clock, settings.Hosts, settings.SharedKey, settings.Heartbeat, e, e.done)
	e.announcer.eventDelay = settings.CacheEventDelay
	e.announcer.start()
	return e, nil
}

// Close stops the engine without notifying the hosts.
func (e *Engine) Close() {
	e.close()
	e.announcer.wait()
}

// Leave notifies the hosts that the engine admits no new requests.
func (e *Engine) Leave() {
	e.SetLeaving()
	e.announcer.enqueueLeave()
}

// Stats returns the current counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// InFlight returns the number of accepted requests that have not ended, including
// queued ones.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.inFlight)
}

// HasCachedChat reports whether a chat's context is in the prefix cache.
func (e *Engine) HasCachedChat(chat string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.contains(chat)
}

// Cold reports whether the engine has not warmed up. A cold engine has the lower
// overload limit.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// SetCold makes the engine cold without announcing it.
func (e *Engine) SetCold() {
	e.mu.Lock()
	e.cold = true
	e.completedSinceStart = 0
	e.mu.Unlock()
}

// CrashAndRestart closes all connections and continues as a new incarnation. The
// prefix cache is cleared unless keepCache is set.
func (e *Engine) CrashAndRestart(keepCache bool) {
	e.mu.Lock()
	e.startNewIncarnation(keepCache)
	e.mu.Unlock()
	e.closeAllConns()
	e.announcer.enqueueAnnouncement()
}

// startNewIncarnation cancels all requests and increments the incarnation. The
// caller holds mu.
func (e *Engine) startNewIncarnation(keepCache bool) {
	e.incarnation++
	e.leaving.Store(false)
	if !keepCache {
		e.cache.clear()
	}
	e.cold = e.settings.ColdRequests > 0
	e.completedSinceStart = 0
	for _, r := range e.inFlight {
		r.cancel()
	}
}

// handle serves one HTTP request.
func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case strings.HasPrefix(path, web.PathServices):
		e.handleCall(ctx)
	case strings.HasPrefix(path, web.PathCancel):
		id, attempt, _ := strings.Cut(strings.TrimPrefix(path, web.PathCancel), "/")
		e.cancelRun(id, attempt)
		e.respond(ctx, fasthttp.StatusOK, []byte("{}"), Fault{})
	case path == web.PathOrders:
		e.handleOrder(ctx)
	case strings.HasPrefix(path, web.PathCache):
		e.handleCache(ctx, strings.TrimPrefix(path, web.PathCache))
	default:
		e.respond(ctx, fasthttp.StatusNotFound, []byte("{}"), Fault{})
	}
}

// handleCall serves a call, with a stream of tokens or a non-streaming response.
func (e *Engine) handleCall(ctx *fasthttp.RequestCtx) {
	r, crashed := e.beginRun(ctx)
	if crashed {
		e.closeAllConns()
		e.announcer.enqueueAnnouncement()
		return
	}
	if !e.slots.acquire(r.priority, r.canceled, e.done) {
		e.endRun(r, false)
		return
	}
	r.hasSlot = true
	switch r.fault.Kind {
	case FaultRefused:
		e.endRun(r, false)
		e.refuse(ctx, r.fault.Delay)
		return
	case FaultNoResponse:
		select {
		case <-e.done:
		case <-r.canceled:
		}
		e.endRun(r, false)
		return
	case FaultError:
		e.endRun(r, false)
		e.respond(ctx, fasthttp.StatusInternalServerError, []byte(`{"Error":"injected"}`), Fault{})
		return
	}
	if e.respondEndless(ctx, nil, r.fault) {
		e.endRun(r, false)
		return
	}
	if !r.stream {
		e.writeNonStreamingResponse(ctx, r)
		return
	}
	if r.fault.Kind == FaultCloseDelimited {
		text, err := r.readEvents()
		e.endRun(r, err == nil)
		e.respondCloseDelimited(ctx, fasthttp.StatusOK, "text/event-stream", text, r.fault)
		return
	}
	ctx.Response.Header.Set(web.HeaderRequestID, r.responseRequestID())
	e.setNotices(&ctx.Response.Header)
	ctx.SetContentType("text/event-stream")
	ctx.Response.ImmediateHeaderFlush = true
	ctx.SetBodyStream(r, -1)
}

// writeNonStreamingResponse responds with all tokens in one body.
func (e *Engine) writeNonStreamingResponse(ctx *fasthttp.RequestCtx, r *engineRun) {
	body := []byte(`{"Text":"`)
	for i := range r.tokenCount {
		if !r.waitForToken(i) {
			e.endRun(r, false)
			return
		}
		body = append(body, token(r.seed, i)...)
		body = append(body, ' ')
	}
	body = append(body, `"}`...)
	e.endRun(r, true)
	ctx.Response.Header.Set(web.HeaderWarm, strconv.FormatBool(r.warm))
	e.respond(ctx, fasthttp.StatusOK, body, r.fault)
}

// beginRun registers a request. It returns true if the engine has crashed because
// the request exceeded its overload limit.
func (e *Engine) beginRun(ctx *fasthttp.RequestCtx) (*engineRun, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := newRun(e, ctx)
	e.inFlight[r.requestID] = r
	e.stats.Requests++
	if r.nextOffset > 0 {
		e.stats.Resumed++
	}
	e.stats.MaxInFlight = max(e.stats.MaxInFlight, len(e.inFlight))
	limit := e.settings.OverloadLimit
	if e.cold {
		e.stats.MaxColdInFlight = max(e.stats.MaxColdInFlight, len(e.inFlight))
		limit = e.settings.ColdOverloadLimit
	}
	if limit > 0 && len(e.inFlight) > limit {
		e.stats.Crashes++
		e.startNewIncarnation(false)
		clear(e.inFlight)
		return r, true
	}
	r.warm = r.chat != "" && e.cache.contains(r.chat)
	r.firstByte = e.timeToFirstByte(r.warm)
	return r, false
}

// endRun unregisters a request. If it completed, the chat's context is cached.
func (e *Engine) endRun(r *engineRun, completed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	if r.hasSlot {
		e.slots.release()
	}
	if e.inFlight[r.requestID] == r {
		delete(e.inFlight, r.requestID)
	}
	if !completed {
		e.stats.Cancelled++
		return
	}
	e.stats.Completed++
	if r.warm {
		e.stats.CacheHits++
	}
	e.completedSinceStart++
	if e.completedSinceStart >= e.settings.ColdRequests {
		e.cold = false
	}
	e.storeChat(r.chat)
}

// storeChat adds a chat's context to the prefix cache and publishes the changes.
// The caller holds mu.
func (e *Engine) storeChat(chat string) {
	if chat == "" {
		return
	}
	known := e.cache.contains(chat)
	evicted := e.cache.store(chat)
	if !known {
		e.announcer.enqueueCacheEvent(e.incarnation, target.CacheStored, []string{chat})
	}
	if len(evicted) > 0 {
		e.announcer.enqueueCacheEvent(e.incarnation, target.CacheEvicted, evicted)
	}
}

// cancelRun cancels a request unless it runs for a later attempt than maxAttempt.
func (e *Engine) cancelRun(id, maxAttempt string) {
	attempt, err := strconv.Atoi(maxAttempt)
	if err != nil {
		return
	}
	e.mu.Lock()
	r := e.inFlight[id]
	e.mu.Unlock()
	if r != nil && r.attempt <= attempt {
		r.cancel()
	}
}
