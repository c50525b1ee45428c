package gateway

import (
	"net/url"
	"strings"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// maxNameBytes limits the length of workspaces, chat IDs, request IDs and
// idempotency keys.
const maxNameBytes = 256

// Request is a validated request of a caller.
type Request struct {
	// ID is unique in the fleet. CallerID is the request ID chosen by the
	// caller.
	ID             string
	CallerID       string
	Workspace      string
	Chat           string
	IdempotencyKey string
	Service        fleet.Service
	Call           fleet.Call
	ContentType    string
	// Body is valid until the response has been written.
	Body     []byte
	Started  time.Time
	Deadline time.Time
	// MaxAttempts is the maximum number of targets that may run the request; 0
	// for the limit of the gateway.
	MaxAttempts int
	// TimeoutsMoveOnly is set if the first-byte and gap timeouts of Service only move an
	// idempotent request to another target. A request that can't move waits for its
	// target until the deadline.
	TimeoutsMoveOnly bool
	// FirstByteObjective is the time to first byte that the caller expects; 0
	// if unknown.
	FirstByteObjective time.Duration
	// LastEventID is the ID of the last event that the caller has received.
	LastEventID string
	// ResumedID is the CallerID of the request that began the stream that the caller takes
	// up, of which it has received LastEventID; empty if it does not tell.
	ResumedID string
	// Prompt describes the work for an engine; nil if unknown.
	Prompt *admission.Prompt
	// Original is the original request, for targets whose protocol needs it.
	Original *target.OriginalRequest
}

// parse validates a request of the gateway's own protocol against the active
// fleet configuration.
func (g *Gateway) parse(ctx *fasthttp.RequestCtx, r *Request) *Failure {
	header := &ctx.Request.Header
	r.CallerID = string(header.Peek(HeaderRequest))
	if r.CallerID == "" {
		r.CallerID = r.ID
	}
	if len(r.CallerID) > maxNameBytes || !isPrintable(r.CallerID) {
		r.CallerID = r.ID
		return failure(fasthttp.StatusBadRequest, CodeBadRequest, HeaderRequest+" must have 1 to 256 printable characters")
	}
	if f := g.checkLimits(ctx); f != nil {
		return f
	}
	if f := CheckFraming(ctx); f != nil {
		return f
	}
	r.Workspace = string(header.Peek(HeaderWorkspace))
	r.Chat = string(header.Peek(HeaderChat))
	r.IdempotencyKey = string(header.Peek(HeaderIdempotencyKey))
	for name, value := range map[string]string{HeaderWorkspace: r.Workspace, HeaderChat: r.Chat, HeaderIdempotencyKey: r.IdempotencyKey} {
		if len(value) > maxNameBytes || !isPrintable(value) {
			return failure(fasthttp.StatusBadRequest, CodeBadRequest, name+" must have at most 256 printable characters")
		}
	}
	if f := g.resolve(r, string(ctx.Path())); f != nil {
		return f
	}
	r.ContentType = string(header.ContentType())
	r.Body = ctx.PostBody()
	if limit := r.Service.Limits.BodyBytes; limit > 0 && len(r.Body) > limit {
		return bodyTooLarge()
	}
	return r.setCallDeadline(string(header.Peek(HeaderTimeout)))
}

// checkLimits checks the method and the size limits that the HTTP server does
// not check.
func (g *Gateway) checkLimits(ctx *fasthttp.RequestCtx) *Failure {
	switch {
	case !ctx.Request.Header.IsHTTP11():
		ctx.SetConnectionClose()
		return failure(fasthttp.StatusHTTPVersionNotSupported, CodeBadRequest, "calls need HTTP/1.1, which tells a cut answer from a whole one")
	case !ctx.IsPost():
		return failure(fasthttp.StatusMethodNotAllowed, CodeMethodNotAllowed, "calls are made by POST")
	case len(ctx.Request.Header.RequestURI()) > g.settings.maxURIBytes:
		return failure(fasthttp.StatusRequestURITooLong, CodeURITooLong, "the path is too long")
	case ctx.Request.Header.Len() > g.settings.maxHeaderFields:
		return failure(fasthttp.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, "too many header fields")
	}
	return nil
}

// resolve finds the service and the call, and checks that the workspace may use
// them.
func (g *Gateway) resolve(r *Request, path string) *Failure {
	config := g.Catalog.Fleet()
	if config == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "no fleet is in force yet").withRetryAfter(g.settings.retryAfter)
	}
	serviceName, callName, _ := strings.Cut(strings.TrimPrefix(path, PathServices), "/")
	service, ok := config.Service(serviceName)
	if !ok {
		return failure(fasthttp.StatusNotFound, CodeNotFound, "no service "+quoteName(serviceName))
	}
	call, ok := service.Call(callName)
	if !ok {
		return failure(fasthttp.StatusNotFound, CodeNotFound, "service "+serviceName+" has no call "+quoteName(callName))
	}
	workspace, ok := config.Workspace(r.Workspace)
	if !ok {
		return failure(fasthttp.StatusForbidden, CodeForbidden, "no workspace "+quoteName(r.Workspace)+"; name it in "+HeaderWorkspace)
	}
	if !workspace.Allows(serviceName) {
		return failure(fasthttp.StatusForbidden, CodeForbidden, "workspace "+r.Workspace+" may not use "+serviceName)
	}
	if !g.Catalog.Available(serviceName) {
		return failure(fasthttp.StatusServiceUnavailable, Code("Dependency"), "a service that "+serviceName+" needs can't serve").withRetryAfter(g.settings.retryAfter)
	}
	r.Service, r.Call = service, call
	return nil
}

func withDefaultTimeouts(t fleet.Timeouts) fleet.Timeouts {
	if t.FirstByte == 0 {
		t.FirstByte = defaultFirstByteTimeout
	}
	if t.Gap == 0 {
		t.Gap = defaultGapTimeout
	}
	if t.Total == 0 {
		t.Total = defaultTotalTimeout
	}
	return t
}

// setCallDeadline sets the deadline from the timeout of the caller or of the
// service, whichever is shorter.
func (r *Request) setCallDeadline(timeout string) *Failure {
	total := withDefaultTimeouts(r.Service.Timeouts).Total
	if timeout != "" {
		requested, err := time.ParseDuration(timeout)
		if err != nil || requested <= 0 {
			return failure(fasthttp.StatusBadRequest, CodeBadRequest, HeaderTimeout+` must be a duration such as "30s"`)
		}
		total = min(total, requested)
	}
	r.Deadline = r.Started.Add(total)
	return nil
}

// fingerprint returns a hash of the call and its body, which detects the reuse
// of an idempotency key for a different request.
func (r *Request) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Service.Name, r.Call.Name} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

func isPrintable(value string) bool {
	for i := range len(value) {
		if value[i] < ' ' || value[i] == 0x7f {
			return false
		}
	}
	return true
}

// quoteName escapes and shortens a name from a request for use in a message.
func quoteName(name string) string {
	const maxBytes = 64
	if len(name) > maxBytes {
		name = name[:maxBytes] + "…"
	}
	return `"` + url.PathEscape(name) + `"`
}
