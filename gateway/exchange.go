package gateway

import (
	"context"
	"io"

	"comfreytiller.dev/admission"
	"github.com/valyala/fasthttp"
)

// errStreamEnd marks the end of a complete stream.
var errStreamEnd = io.EOF

// serveCall serves one call.
func (g *Gateway) serveCall(ctx *fasthttp.RequestCtx) {
	tracked := g.tracker.tryBegin()
	r := &Request{ID: g.nextID(), Started: g.Clock.Now()}
	f := g.Codec.ParseRequest(ctx, r)
	if f == nil && !tracked {
		tracked = g.endsBeforeDrain(r) && g.tracker.tryBeginDuringDrain()
		if !tracked {
			f = g.readinessFailure()
		}
	}
	if f != nil {
		if f.Code == CodeNotReady {
			f.RetryAfter = g.startupRetryAfter()
		}
		g.logRefusedRequest(r, f)
		g.fail(ctx, f)
		if tracked {
			g.tracker.end()
		}
		return
	}
	x := g.newExchange(ctx, r)
	switch {
	case r.Call.Idempotent:
		x.serveCancellable(ctx, false)
	case r.Call.StopsWithCaller:
		x.serveCancellable(ctx, true)
	default:
		x.serveAtMostOnce(ctx)
	}
}

// endsBeforeDrain reports whether a request that arrives during a drain may be
// served: its deadline must be before the end of the drain.
func (g *Gateway) endsBeforeDrain(r *Request) bool {
	end := g.drainDeadline.Load()
	return g.settings.requestsDuringDrain && end != nil && !r.Deadline.After(*end)
}

// exchange is the handling of a request from its arrival to the end of its
// response.
type exchange struct {
	*dispatcher
	stopWatch    func()
	cancelCaller context.CancelFunc
	// cancelDispatch cancels the sending of a call that runs at most once.
	cancelDispatch context.CancelFunc
}

// newExchange returns an exchange for r and starts to watch the connection of
// its caller.
func (g *Gateway) newExchange(ctx *fasthttp.RequestCtx, r *Request) *exchange {
	callerCtx, cancelCaller := context.WithCancel(context.Background())
	x := &exchange{dispatcher: g.newDispatcher(callerCtx, r), cancelCaller: cancelCaller, stopWatch: func() {}, cancelDispatch: func() {}}
	if caller, ok := ctx.Conn().(*callerConn); ok {
		x.caller = caller
		x.stopWatch = caller.watchClose(cancelCaller)
	}
	g.metrics.inFlight.Update(float64(g.tracker.inFlight()))
	return x
}

// close releases the resources of the exchange and ends its request in the
// tracker.
func (x *exchange) close() {
	x.stopWatch()
	x.cancel()
	x.cancelCaller()
	x.cancelDispatch()
	x.releaseBody()
	x.releaseReservedPermit()
	x.returnReservedRetry()
	x.gateway.tracker.end()
	x.gateway.metrics.inFlight.Update(float64(x.gateway.tracker.inFlight()))
}

// serveCancellable serves a call that is cancelled when its caller disconnects:
// either it is idempotent and may be retried, or it has StopsWithCaller set.
// newConnection forces a new connection for the first attempt.
func (x *exchange) serveCancellable(ctx *fasthttp.RequestCtx, newConnection bool) {
	var a *attempt
	f := x.findOrigin()
	if f == nil {
		a, f = x.runAttempts(x.ctx, newConnection)
	}
	if f != nil {
		x.gateway.logFailedRequest(x.dispatcher, f)
		x.gateway.fail(ctx, f)
		x.close()
		return
	}
	if a.response.Header().Stream {
		x.writeStream(ctx, a, nil)
		return
	}
	x.writeResponse(ctx, a)
	x.close()
}

// writeResponse writes a non-streaming response.
func (x *exchange) writeResponse(ctx *fasthttp.RequestCtx, a *attempt) {
	header := a.response.Header()
	x.finish(a, admission.OutcomeDone)
	x.gateway.logCompleted(x.dispatcher, a, header.CacheHit)
	x.gateway.metrics.completed.Inc(1)
	x.gateway.Codec.WriteHeader(ctx, x.Request, header, a.permit)
	ctx.Response.SetBodyRaw(a.body)
	x.gateway.closeIfDraining(ctx)
}

// writeStream relays an event stream. The exchange is closed with the stream.
func (x *exchange) writeStream(ctx *fasthttp.RequestCtx, a *attempt, recorder *streamRecorder) {
	x.relaying = true
	x.requireVersion(a.permit.Version)
	x.recordOrigin(a)
	x.gateway.Codec.WriteHeader(ctx, x.Request, a.response.Header(), a.permit)
	x.gateway.closeIfDraining(ctx)
	ctx.SetBodyStream(&streamRelay{exchange: x, attempt: a, recorder: recorder}, -1)
}
