package gateway

import (
	"encoding/json"
	"math"
	"strconv"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/web"
	"github.com/valyala/fasthttp"
)

// Face is a protocol that callers speak. It reads requests and writes answers;
// what becomes of a request is the gateway's.
type Face interface {
	// Parse reads a request whose ID and Started are set. A failure is its
	// answer.
	Parse(ctx *fasthttp.RequestCtx, r *Request) *Failure
	// Fail writes a failure as the answer to the request in ctx.
	Fail(ctx *fasthttp.RequestCtx, f *Failure)
	// Answer writes the header of a target's answer.
	Answer(ctx *fasthttp.RequestCtx, r *Request, header target.AnswerHeader, permit admission.Permit)
	// AppendEvent appends an event of a stream.
	AppendEvent(to []byte, event target.Event) []byte
	// AppendEnd appends what follows the last event of a whole stream.
	AppendEnd(to []byte, r *Request, end StreamEnd) []byte
	// AppendFailure appends what follows the last event of a stream that is cut.
	AppendFailure(to []byte, events int, f *Failure) []byte
}

// StreamEnd describes a stream that was relayed whole.
type StreamEnd struct {
	Events int
	Target string
	Warm   bool
}

// nativeFace is the gateway's own protocol.
type nativeFace struct{ gateway *Gateway }

// Parse implements Face.
func (n *nativeFace) Parse(ctx *fasthttp.RequestCtx, r *Request) *Failure {
	f := n.gateway.parse(ctx, r)
	ctx.Response.Header.Set(HeaderRequest, r.CallerID)
	return f
}

// Fail implements Face.
func (n *nativeFace) Fail(ctx *fasthttp.RequestCtx, f *Failure) {
	echoRequest(ctx)
	ctx.SetStatusCode(f.Status)
	ctx.SetContentType(contentJSON)
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(EncodeFailure(f))
}

// Answer implements Face.
func (n *nativeFace) Answer(ctx *fasthttp.RequestCtx, _ *Request, header target.AnswerHeader, permit admission.Permit) {
	warm, contentType := header.Warm, header.ContentType
	if header.Stream {
		warm, contentType = permit.Warm, contentStream
	}
	ctx.SetStatusCode(header.Status)
	ctx.SetContentType(contentType)
	ctx.Response.Header.Set(HeaderTarget, permit.Target)
	ctx.Response.Header.Set(HeaderWarm, strconv.FormatBool(warm))
}

// AppendEvent implements Face.
func (n *nativeFace) AppendEvent(to []byte, event target.Event) []byte {
	return web.AppendNumberedEvent(to, event.Offset, event.Name, event.Data)
}

// endBody is the data of the end mark that callers get.
type endBody struct {
	Request string
	Events  int
	Target  string
	Warm    bool
}

// AppendEnd implements Face.
func (n *nativeFace) AppendEnd(to []byte, r *Request, end StreamEnd) []byte {
	data, _ := json.Marshal(endBody{Request: r.CallerID, Events: end.Events, Target: end.Target, Warm: end.Warm})
	return web.AppendNumberedEvent(to, end.Events, web.EndEventName, data)
}

// AppendFailure implements Face.
func (n *nativeFace) AppendFailure(to []byte, events int, f *Failure) []byte {
	return web.AppendNumberedEvent(to, events, errorEvent, EncodeFailure(f))
}

// echoRequest names the request in an answer that does not name it yet.
func echoRequest(ctx *fasthttp.RequestCtx) {
	if len(ctx.Response.Header.Peek(HeaderRequest)) > 0 {
		return
	}
	if id := string(ctx.Request.Header.Peek(HeaderRequest)); id != "" && len(id) <= maxNameBytes && printable(id) {
		ctx.Response.Header.Set(HeaderRequest, id)
	}
}
