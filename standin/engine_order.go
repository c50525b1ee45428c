package standin

import (
	"net/url"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/valyala/fasthttp"
)

// fenced remembers the orders a target has taken.
type fenced struct {
	checks bool
	fence  uint64
	taken  map[string]target.OrderState
}

// OrderCount returns the number of distinct orders taken.
func (e *Engine) OrderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.fenced.taken)
}

// LoadedModel returns the service, model and version that the engine has loaded.
func (e *Engine) LoadedModel() (service, model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.Service, e.settings.Model, e.settings.Version
}

// order takes an order and answers it.
func (e *Engine) order(ctx *fasthttp.RequestCtx) {
	order, err := web.DecodeOrder(ctx.PostBody())
	if err != nil {
		e.respond(ctx, fasthttp.StatusBadRequest, []byte(`{}`), Fault{})
		return
	}
	reply := e.takeOrder(order)
	body, _ := web.EncodeOrderReply(reply)
	e.respond(ctx, fasthttp.StatusOK, body, e.faults.take())
}

// takeOrder carries out an order the first time it comes.
func (e *Engine) takeOrder(order target.Order) target.OrderReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fenced.taken == nil {
		e.fenced.taken = map[string]target.OrderState{}
	}
	reply := target.OrderReply{ID: order.ID}
	if state, ok := e.fenced.taken[order.ID]; ok {
		reply.State, reply.Fence = state, e.fenced.fence
		return reply
	}
	if e.fenced.checks && order.Fence < e.fenced.fence {
		reply.State, reply.Fence = target.OrderRefused, e.fenced.fence
		reply.Message = "a newer fencing number was seen"
		return reply
	}
	e.fenced.fence = max(e.fenced.fence, order.Fence)
	reply.Fence = e.fenced.fence
	reply.State = target.OrderDone
	if order.Kind == target.OrderLoadModel && e.settings.ModelLoadTime > 0 {
		reply.State = target.OrderAccepted
		e.fenced.taken[order.ID] = target.OrderAccepted
		go e.load(order)
		return reply
	}
	e.apply(order)
	return reply
}

// load carries out an order after the time that loading takes.
func (e *Engine) load(order target.Order) {
	select {
	case <-e.done:
		return
	case <-e.clock.After(e.settings.ModelLoadTime):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.apply(order)
}

// apply changes what the engine serves and announces it. The lock is held.
func (e *Engine) apply(order target.Order) {
	e.fenced.taken[order.ID] = target.OrderDone
	switch order.Kind {
	case target.OrderLoadModel:
		e.settings.Service = order.Service
		e.settings.Model = order.Model
		e.settings.Version = order.Version
		e.settings.Adapters = order.Adapters
		e.cache.clear()
		e.cold = e.settings.ColdRequests > 0
		e.completed = 0
		e.announcer.event(e.incarnation, target.CacheCleared, nil)
	case target.OrderChangeRole:
		e.settings.Service = order.Service
		e.settings.Role = order.Role
	case target.OrderUnload:
		e.settings.Service = ""
	}
	e.announcer.announce()
}

// moveCache exports or imports the KV cache of a chat.
func (e *Engine) moveCache(ctx *fasthttp.RequestCtx, escaped string) {
	chat, err := url.PathUnescape(escaped)
	if err != nil || chat == "" {
		e.respond(ctx, fasthttp.StatusBadRequest, []byte(`{}`), Fault{})
		return
	}
	e.mu.Lock()
	held := e.cache.has(chat)
	if ctx.IsPost() && string(ctx.PostBody()) == cacheOf(chat) {
		e.storeChat(chat)
		held = true
	}
	e.mu.Unlock()
	switch {
	case !held:
		e.respond(ctx, fasthttp.StatusNotFound, []byte(`{}`), Fault{})
	case ctx.IsPost():
		e.respond(ctx, fasthttp.StatusOK, []byte(`{}`), Fault{})
	default:
		e.respond(ctx, fasthttp.StatusOK, []byte(cacheOf(chat)), e.faults.take())
	}
}

// cacheOf is the exported KV cache of a chat.
func cacheOf(chat string) string { return "kv-cache of " + chat }
