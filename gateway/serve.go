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
	v := g.newVisit(ctx, r)
	switch {
	case r.call.Idempotent:
		v.idempotent(ctx)
	default:
		v.once(ctx)
	}
}

// visit is a caller's request from its arrival to the end of its answer.
type visit struct {
	*exchange
	stopWatch func()
	leave     context.CancelFunc
	// endDispatch ends the sending of a call that runs at most once.
	endDispatch context.CancelFunc
}

// newVisit begins to watch the caller's connection.
func (g *Gateway) newVisit(ctx *fasthttp.RequestCtx, r *request) *visit {
	gone, leave := context.WithCancel(context.Background())
	v := &visit{exchange: g.newExchange(gone, r), leave: leave, stopWatch: func() {}, endDispatch: func() {}}
	if caller, ok := ctx.Conn().(*callerConn); ok {
		v.stopWatch = caller.watch(leave)
	}
	g.meters.inFlight.Update(float64(g.work.count()))
	return v
}

// close ends the visit.
func (v *visit) close() {
	v.stopWatch()
	v.cancel()
	v.leave()
	v.endDispatch()
	v.gateway.work.end()
	v.gateway.meters.inFlight.Update(float64(v.gateway.work.count()))
}

// idempotent serves a call that may be retried.
func (v *visit) idempotent(ctx *fasthttp.RequestCtx) {
	a, f := v.run()
	if f != nil {
		v.gateway.fail(ctx, f)
		v.close()
		return
	}
	if a.answer.Header().Stream {
		v.stream(ctx, a, nil)
		return
	}
	v.whole(ctx, a)
	v.close()
}

// whole writes a plain answer.
func (v *visit) whole(ctx *fasthttp.RequestCtx, a *attempt) {
	header := a.answer.Header()
	v.finish(a, admission.OutcomeDone)
	v.gateway.logDone(v.exchange, a, header.Warm)
	v.gateway.meters.answered.Inc(1)
	ctx.SetStatusCode(header.Status)
	ctx.SetContentType(header.ContentType)
	ctx.Response.Header.Set(HeaderTarget, a.permit.Target)
	ctx.Response.Header.Set(HeaderWarm, strconv.FormatBool(header.Warm))
	ctx.Response.SetBodyRaw(a.body)
}

// stream relays an event stream; the visit ends with it.
func (v *visit) stream(ctx *fasthttp.RequestCtx, a *attempt, record *record) {
	ctx.SetStatusCode(a.answer.Header().Status)
	ctx.SetContentType(contentStream)
	ctx.Response.Header.Set(HeaderTarget, a.permit.Target)
	ctx.Response.Header.Set(HeaderWarm, strconv.FormatBool(a.permit.Warm))
	ctx.SetBodyStream(&relay{visit: v, attempt: a, record: record}, -1)
}
