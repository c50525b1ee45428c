package gateway

import (
	"context"
	"io"

	"comfreytiller.dev/admission"
	"github.com/valyala/fasthttp"
)

// errEOF ends a whole stream.
var errEOF = io.EOF

// serveCall serves one call of a caller.
func (g *Gateway) serveCall(ctx *fasthttp.RequestCtx) {
	begun := g.work.begin()
	r := &Request{ID: g.nextID(), Started: g.Clock.Now()}
	f := g.Codec.ParseRequest(ctx, r)
	if f == nil && !begun {
		begun = g.fitsDrain(r) && g.work.beginLate()
		if !begun {
			f = g.notReady()
		}
	}
	if f != nil {
		if f.Code == CodeNotReady {
			f.RetryAfter = g.startRetry()
		}
		g.logRefused(r, f)
		g.fail(ctx, f)
		if begun {
			g.work.end()
		}
		return
	}
	x := g.newExchange(ctx, r)
	switch {
	case r.Call.Idempotent:
		x.idempotent(ctx, false)
	case r.Call.StopsWithCaller:
		x.idempotent(ctx, true)
	default:
		x.once(ctx)
	}
}

// fitsDrain reports whether a request that comes while the gateway drains ends
// before the drain does.
func (g *Gateway) fitsDrain(r *Request) bool {
	end := g.drainEnd.Load()
	return g.settings.lateRequests && end != nil && !r.Deadline.After(*end)
}

// exchange is a caller's request from its arrival to the end of its answer.
type exchange struct {
	*dispatcher
	stopWatch func()
	leave     context.CancelFunc
	// endDispatch ends the sending of a call that runs at most once.
	endDispatch context.CancelFunc
}

// newExchange begins to watch the caller's connection.
func (g *Gateway) newExchange(ctx *fasthttp.RequestCtx, r *Request) *exchange {
	gone, leave := context.WithCancel(context.Background())
	x := &exchange{dispatcher: g.newDispatcher(gone, r), leave: leave, stopWatch: func() {}, endDispatch: func() {}}
	if caller, ok := ctx.Conn().(*callerConn); ok {
		x.stopWatch = caller.watch(leave)
	}
	g.meters.inFlight.Update(float64(g.work.count()))
	return x
}

// close ends the exchange.
func (x *exchange) close() {
	x.stopWatch()
	x.cancel()
	x.leave()
	x.endDispatch()
	x.gateway.work.end()
	x.gateway.meters.inFlight.Update(float64(x.gateway.work.count()))
}

// idempotent serves a call that may be retried, or that at least ends with its
// caller.
func (x *exchange) idempotent(ctx *fasthttp.RequestCtx, fresh bool) {
	a, f := x.run(x.ctx, fresh)
	if f != nil {
		x.gateway.logGivenUp(x.dispatcher, f)
		x.gateway.fail(ctx, f)
		x.close()
		return
	}
	if a.answer.Header().Stream {
		x.stream(ctx, a, nil)
		return
	}
	x.whole(ctx, a)
	x.close()
}

// whole writes a plain answer.
func (x *exchange) whole(ctx *fasthttp.RequestCtx, a *attempt) {
	header := a.answer.Header()
	x.finish(a, admission.OutcomeDone)
	x.gateway.logDone(x.dispatcher, a, header.Warm)
	x.gateway.meters.answered.Inc(1)
	x.gateway.Codec.WriteHeader(ctx, x.Request, header, a.permit)
	ctx.Response.SetBodyRaw(a.body)
	x.gateway.closeWhileDraining(ctx)
}

// stream relays an event stream; the exchange ends with it.
func (x *exchange) stream(ctx *fasthttp.RequestCtx, a *attempt, record *record) {
	x.gateway.Codec.WriteHeader(ctx, x.Request, a.answer.Header(), a.permit)
	x.gateway.closeWhileDraining(ctx)
	ctx.SetBodyStream(&relay{exchange: x, attempt: a, record: record}, -1)
}
