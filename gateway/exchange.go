package gateway

import (
	"context"
	"io"
	"strconv"

	"comfreytiller.dev/admission"
	"github.com/valyala/fasthttp"
)

// errEOF ends a whole stream.
var errEOF = io.EOF

// serveCall serves one call of a caller.
func (g *Gateway) serveCall(ctx *fasthttp.RequestCtx, path string) {
	if !g.work.begin() {
		g.fail(ctx, g.notReady())
		return
	}
	r, f := g.parse(ctx, path)
	ctx.Response.Header.Set(HeaderRequest, r.callerID)
	if f != nil {
		g.fail(ctx, f)
		g.work.end()
		return
	}
	x := g.newExchange(ctx, r)
	switch {
	case r.call.Idempotent:
		x.idempotent(ctx)
	default:
		x.once(ctx)
	}
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
func (g *Gateway) newExchange(ctx *fasthttp.RequestCtx, r *request) *exchange {
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

// idempotent serves a call that may be retried.
func (x *exchange) idempotent(ctx *fasthttp.RequestCtx) {
	a, f := x.run(x.ctx, false)
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
	ctx.SetStatusCode(header.Status)
	ctx.SetContentType(header.ContentType)
	ctx.Response.Header.Set(HeaderTarget, a.permit.Target)
	ctx.Response.Header.Set(HeaderWarm, strconv.FormatBool(header.Warm))
	ctx.Response.SetBodyRaw(a.body)
}

// stream relays an event stream; the exchange ends with it.
func (x *exchange) stream(ctx *fasthttp.RequestCtx, a *attempt, record *record) {
	ctx.SetStatusCode(a.answer.Header().Status)
	ctx.SetContentType(contentStream)
	ctx.Response.Header.Set(HeaderTarget, a.permit.Target)
	ctx.Response.Header.Set(HeaderWarm, strconv.FormatBool(a.permit.Warm))
	ctx.SetBodyStream(&relay{exchange: x, attempt: a, record: record}, -1)
}
