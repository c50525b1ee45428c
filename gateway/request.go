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

// maxNameBytes bounds a workspace's, a chat's and a request's name and a key.
const maxNameBytes = 256

// RecordRequest is a caller's request, checked.
type Request struct {
	// ID is unique in the fleet, CallerID is what the caller calls it.
	ID             string
	CallerID       string
	Workspace      string
	Chat           string
	IdempotencyKey string
	Service        fleet.Service
	Call           fleet.Call
	ContentType    string
	// Body is valid until the answer has been written.
	Body     []byte
	Started  time.Time
	Deadline time.Time
	// MaxAttempts is the largest number of targets that may run the request; 0 for
	// the gateway's own limit.
	MaxAttempts int
	// FirstByteObjective is the time to the first byte that the caller expects; 0 for
	// unknown.
	FirstByteObjective time.Duration
	// LastEventID is the ID of the last event that the caller already has.
	LastEventID string
	// Prompt describes the work for an engine; nil for unknown.
	Prompt *admission.Prompt
	// Original is handed on to targets whose protocol wants it.
	Original *target.Original
}

// parse checks a request of the gateway's own protocol against the fleet in
// force.
func (g *Gateway) parse(ctx *fasthttp.RequestCtx, r *Request) *Failure {
	header := &ctx.Request.Header
	r.CallerID = string(header.Peek(HeaderRequest))
	if r.CallerID == "" {
		r.CallerID = r.ID
	}
	if len(r.CallerID) > maxNameBytes || !printable(r.CallerID) {
		r.CallerID = r.ID
		return failure(fasthttp.StatusBadRequest, CodeBadRequest, HeaderRequest+" must have 1 to 256 printable characters")
	}
	if f := g.checkLimits(ctx); f != nil {
		return f
	}
	r.Workspace = string(header.Peek(HeaderWorkspace))
	r.Chat = string(header.Peek(HeaderChat))
	r.IdempotencyKey = string(header.Peek(HeaderIdempotencyKey))
	for name, value := range map[string]string{HeaderWorkspace: r.Workspace, HeaderChat: r.Chat, HeaderIdempotencyKey: r.IdempotencyKey} {
		if len(value) > maxNameBytes || !printable(value) {
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
	return r.setDeadline(string(header.Peek(HeaderTimeout)))
}

// checkLimits checks the method and the sizes that the HTTP server does not.
func (g *Gateway) checkLimits(ctx *fasthttp.RequestCtx) *Failure {
	switch {
	case !ctx.Request.Header.IsHTTP11():
		return failure(fasthttp.StatusHTTPVersionNotSupported, CodeBadRequest, "calls need HTTP/1.1, which tells a cut answer from a whole one")
	case !ctx.IsPost():
		return failure(fasthttp.StatusMethodNotAllowed, CodeMethodNotAllowed, "calls are made by POST")
	case len(ctx.Request.Header.RequestURI()) > g.settings.uriBytes:
		return failure(fasthttp.StatusRequestURITooLong, CodeURITooLong, "the path is too long")
	case ctx.Request.Header.Len() > g.settings.headerCount:
		return failure(fasthttp.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, "too many header fields")
	}
	return nil
}

// resolve finds the service and the call, and checks that the workspace may use
// them.
func (g *Gateway) resolve(r *Request, path string) *Failure {
	current := g.Catalog.Fleet()
	if current == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "no fleet is in force yet").after(g.settings.retryAfter)
	}
	serviceName, callName, _ := strings.Cut(strings.TrimPrefix(path, PathServices), "/")
	service, ok := current.Service(serviceName)
	if !ok {
		return failure(fasthttp.StatusNotFound, CodeNotFound, "no service "+quoteName(serviceName))
	}
	call, ok := service.Call(callName)
	if !ok {
		return failure(fasthttp.StatusNotFound, CodeNotFound, "service "+serviceName+" has no call "+quoteName(callName))
	}
	workspace, ok := current.Workspace(r.Workspace)
	if !ok {
		return failure(fasthttp.StatusForbidden, CodeForbidden, "no workspace "+quoteName(r.Workspace)+"; name it in "+HeaderWorkspace)
	}
	if !workspace.Allows(serviceName) {
		return failure(fasthttp.StatusForbidden, CodeForbidden, "workspace "+r.Workspace+" may not use "+serviceName)
	}
	if !g.Catalog.Available(serviceName) {
		return failure(fasthttp.StatusServiceUnavailable, Code("Dependency"), "a service that "+serviceName+" needs can't serve").after(g.settings.retryAfter)
	}
	r.Service, r.Call = service, call
	return nil
}

func withDefaults(t fleet.Timeouts) fleet.Timeouts {
	if t.FirstByte == 0 {
		t.FirstByte = defaultFirstByte
	}
	if t.Gap == 0 {
		t.Gap = defaultGap
	}
	if t.Total == 0 {
		t.Total = defaultTotal
	}
	return t
}

// setDeadline takes the caller's timeout, or the service's if it is shorter.
func (r *Request) setDeadline(timeout string) *Failure {
	total := withDefaults(r.Service.Timeouts).Total
	if timeout != "" {
		asked, err := time.ParseDuration(timeout)
		if err != nil || asked <= 0 {
			return failure(fasthttp.StatusBadRequest, CodeBadRequest, HeaderTimeout+` must be a duration such as "30s"`)
		}
		total = min(total, asked)
	}
	r.Deadline = r.Started.Add(total)
	return nil
}

// fingerprint is the hash of the call and its body, which a key stands for.
func (r *Request) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Service.Name, r.Call.Name} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

func printable(value string) bool {
	for i := range len(value) {
		if value[i] < ' ' || value[i] == 0x7f {
			return false
		}
	}
	return true
}

// quoteName shows a name from a request in a message.
func quoteName(name string) string {
	const shown = 64
	if len(name) > shown {
		name = name[:shown] + "…"
	}
	return `"` + url.PathEscape(name) + `"`
}
