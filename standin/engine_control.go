package standin

import (
	"net/url"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/valyala/fasthttp"
)

// orderLog records the orders that an engine has accepted.
type orderLog struct {
	checkFencingToken   bool
	highestFencingToken uint64
	stateByID           map[string]target.OrderState
}

// OrderCount returns the number of distinct orders accepted.
func (e *Engine) OrderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orderLog.stateByID)
}

// LoadedModel returns the service, model and version that the engine serves.
func (e *Engine) LoadedModel() (service, model, version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.Service, e.settings.Model, e.settings.Version
}

// handleOrder serves a request with an order.
func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	order, err := web.DecodeOrder(ctx.PostBody())
	if err != nil {
		e.respond(ctx, fasthttp.StatusBadRequest, []byte(`{}`), Fault{})
		return
	}
	reply := e.executeOrder(order)
	body, _ := web.EncodeOrderReply(reply)
	e.respond(ctx, fasthttp.StatusOK, body, e.faults.pop())
}

// executeOrder executes an order once. For an order that was already accepted, it
// returns the recorded state.
func (e *Engine) executeOrder(order target.Order) target.OrderReply {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.orderLog.stateByID == nil {
		e.orderLog.stateByID = map[string]target.OrderState{}
	}
	reply := target.OrderReply{ID: order.ID}
	if state, ok := e.orderLog.stateByID[order.ID]; ok {
		reply.State, reply.FencingToken = state, e.orderLog.highestFencingToken
		return reply
	}
	if e.orderLog.checkFencingToken && order.FencingToken < e.orderLog.highestFencingToken {
		reply.State, reply.FencingToken = target.OrderRefused, e.orderLog.highestFencingToken
		reply.Message = "a newer fencing number was seen"
		return reply
	}
	e.orderLog.highestFencingToken = max(e.orderLog.highestFencingToken, order.FencingToken)
	reply.FencingToken = e.orderLog.highestFencingToken
	reply.State = target.OrderDone
	if order.Kind == target.OrderLoadModel && e.settings.ModelLoadTime > 0 {
		reply.State = target.OrderAccepted
		e.orderLog.stateByID[order.ID] = target.OrderAccepted
		go e.finishModelLoad(order)
		return reply
	}
	e.applyOrder(order)
	return reply
}

// finishModelLoad applies an order after the model load time.
func (e *Engine) finishModelLoad(order target.Order) {
	select {
	case <-e.done:
		return
	case <-e.clock.After(e.settings.ModelLoadTime):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applyOrder(order)
}

// applyOrder changes what the engine serves and announces it. The caller holds mu.
func (e *Engine) applyOrder(order target.Order) {
	e.orderLog.stateByID[order.ID] = target.OrderDone
	switch order.Kind {
	case target.OrderLoadModel:
		e.settings.Service = order.Service
		e.settings.Model = order.Model
		e.settings.Version = order.Version
		e.settings.Adapters = order.Adapters
		e.cache.clear()
		e.cold = e.settings.ColdRequests > 0
		e.completedSinceStart = 0
		e.announcer.enqueueCacheEvent(e.incarnation, target.CacheCleared, nil)
	case target.OrderChangeRole:
		e.settings.Service = order.Service
		e.settings.Role = order.Role
	case target.OrderUnload:
		e.settings.Service = ""
	}
	e.announcer.enqueueAnnouncement()
}

// handleCache exports or imports the KV cache of a chat.
func (e *Engine) handleCache(ctx *fasthttp.RequestCtx, escaped string) {
	chat, err := url.PathUnescape(escaped)
	if err != nil || chat == "" {
		e.respond(ctx, fasthttp.StatusBadRequest, []byte(`{}`), Fault{})
		return
	}
	e.mu.Lock()
	cached := e.cache.contains(chat)
	if ctx.IsPost() && string(ctx.PostBody()) == exportedCache(chat) {
		e.storeChat(chat)
		cached = true
	}
	e.mu.Unlock()
	switch {
	case !cached:
		e.respond(ctx, fasthttp.StatusNotFound, []byte(`{}`), Fault{})
	case ctx.IsPost():
		e.respond(ctx, fasthttp.StatusOK, []byte(`{}`), Fault{})
	default:
		e.respond(ctx, fasthttp.StatusOK, []byte(exportedCache(chat)), e.faults.pop())
	}
}

// exportedCache returns the exported KV cache of a chat.
func exportedCache(chat string) string { return "kv-cache of " + chat }
