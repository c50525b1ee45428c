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

// Codec implements the protocol between callers and the gateway. It reads
// requests and writes responses; the gateway handles the requests.
type Codec interface {
	// ParseRequest reads a request into r, whose ID and Started are already
	// set. A failure is returned to the caller as the response.
	ParseRequest(ctx *fasthttp.RequestCtx, r *Request) *Failure
	// WriteFailure writes a failure as the response to the request in ctx.
	WriteFailure(ctx *fasthttp.RequestCtx, f *Failure)
	// WriteHeader writes the header of the response of a target.
	WriteHeader(ctx *fasthttp.RequestCtx, r *Request, header target.ResponseHeader, permit admission.Permit)
	// AppendEvent appends an event of a stream to the buffer.
	AppendEvent(buf []byte, event target.Event) []byte
	// AppendEnd appends what follows the last event of a complete stream.
	AppendEnd(buf []byte, r *Request, end StreamEnd) []byte
	// AppendFailure appends what follows the last event of an incomplete
	// stream. The parameter events is the number of events sent before.
	AppendFailure(buf []byte, events int, f *Failure) []byte
}

// StreamEnd describes a stream that was relayed completely.
type StreamEnd struct {
	Events int
	Target string
	Warm   bool
}

// nativeCodec implements the gateway's own protocol.
type nativeCodec struct{ gateway *Gateway }

// ParseRequest implements Codec.
func (n *nativeCodec) ParseRequest(ctx *fasthttp.RequestCtx, r *Request) *Failure {
	f := n.gateway.parse(ctx, r)
	ctx.Response.Header.Set(HeaderRequest, r.CallerID)
	return f
}

// WriteFailure implements Codec.
func (n *nativeCodec) WriteFailure(ctx *fasthttp.RequestCtx, f *Failure) {
	echoRequestID(ctx)
	ctx.SetStatusCode(f.Status)
	ctx.SetContentType(contentJSON)
	if f.RetryAfter > 0 {
		seconds := int(math.Ceil(f.RetryAfter.Seconds()))
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(seconds))
	}
	ctx.SetBody(EncodeFailure(f))
}

// WriteHeader implements Codec.
func (n *nativeCodec) WriteHeader(ctx *fasthttp.RequestCtx, _ *Request, header target.ResponseHeader, permit admission.Permit) {
	warm, contentType := header.CacheHit, header.ContentType
	if header.Stream {
		warm, contentType = permit.Warm, contentStream
	}
	ctx.SetStatusCode(header.Status)
	ctx.SetContentType(contentType)
	ctx.Response.Header.Set(HeaderTarget, permit.Target)
	ctx.Response.Header.Set(HeaderWarm, strconv.FormatBool(warm))
}

// AppendEvent implements Codec.
func (n *nativeCodec) AppendEvent(buf []byte, event target.Event) []byte {
	return web.AppendNumberedEvent(buf, event.Offset, event.Name, event.Data)
}

// streamEndBody is the JSON data of the event that ends a complete stream.
type streamEndBody struct {
	Request string
	Events  int
	Target  string
	Warm    bool
}

// AppendEnd implements Codec.
func (n *nativeCodec) AppendEnd(buf []byte, r *Request, end StreamEnd) []byte {
	data, _ := json.Marshal(streamEndBody{Request: r.CallerID, Events: end.Events, Target: end.Target, Warm: end.Warm})
	return web.AppendNumberedEvent(buf, end.Events, web.EndEventName, data)
}

// AppendFailure implements Codec.
func (n *nativeCodec) AppendFailure(buf []byte, events int, f *Failure) []byte {
	return web.AppendNumberedEvent(buf, events, errorEvent, EncodeFailure(f))
}

// echoRequestID sets the request ID header of a response that does not have one
// yet.
func echoRequestID(ctx *fasthttp.RequestCtx) {
	if len(ctx.Response.Header.Peek(HeaderRequest)) > 0 {
		return
	}
	if id := string(ctx.Request.Header.Peek(HeaderRequest)); id != "" && len(id) <= maxNameBytes && isPrintable(id) {
		ctx.Response.Header.Set(HeaderRequest, id)
	}
}
