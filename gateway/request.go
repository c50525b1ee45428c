package gateway

import (
	"net/url"
	"strings"
	"time"

	"comfreytiller.dev/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"
)

// maxNameBytes bounds a workspace's, a chat's and a request's name and a key.
const maxNameBytes = 256

// request is a caller's request, checked.
type request struct {
	// id is unique in the fleet, callerID is what the caller calls it.
	id          string
	callerID    string
	workspace   string
	chat        string
	key         string
	service     fleet.Service
	call        fleet.Call
	contentType string
	// body is valid until the answer has been written.
	body     []byte
	started  time.Time
	deadline time.Time
}

// parse checks a request against the fleet in force.
func (g *Gateway) parse(ctx *fasthttp.RequestCtx, path string) (*request, *Failure) {
	header := &ctx.Request.Header
	r := &request{id: g.nextID(), callerID: string(header.Peek(HeaderRequest)), started: g.Clock.Now()}
	if r.callerID == "" {
		r.callerID = r.id
	}
	if len(r.callerID) > maxNameBytes || !printable(r.callerID) {
		r.callerID = r.id
		return r, failure(fasthttp.StatusBadRequest, CodeBadRequest, HeaderRequest+" must have 1 to 256 printable characters")
	}
	if f := g.checkLimits(ctx); f != nil {
		return r, f
	}
	r.workspace = string(header.Peek(HeaderWorkspace))
	r.chat = string(header.Peek(HeaderChat))
	r.key = string(header.Peek(HeaderKey))
	for name, value := range map[string]string{HeaderWorkspace: r.workspace, HeaderChat: r.chat, HeaderKey: r.key} {
		if len(value) > maxNameBytes || !printable(value) {
			return r, failure(fasthttp.StatusBadRequest, CodeBadRequest, name+" must have at most 256 printable characters")
		}
	}
	if f := g.resolve(r, path); f != nil {
		return r, f
	}
	r.contentType = string(header.ContentType())
	r.body = ctx.PostBody()
	if limit := r.service.Limits.BodyBytes; limit > 0 && len(r.body) > limit {
		return r, bodyTooLarge()
	}
	return r, r.setDeadline(string(header.Peek(HeaderTimeout)))
}

// checkLimits checks the method and the sizes that the HTTP server does not.
func (g *Gateway) checkLimits(ctx *fasthttp.RequestCtx) *Failure {
	switch {
	case !ctx.Request.Header.IsHTTP11():
		return failure(fasthttp.StatusHTTPVersionNotSupported, CodeBadRequest, "calls need HTTP/1.1, which tells a cut answer from a whole one")
	case !ctx.IsPost():
		return failure(fasthttp.StatusMethodNotAllowed, CodeMethod, "calls are made by POST")
	case len(ctx.Request.Header.RequestURI()) > g.settings.uriBytes:
		return failure(fasthttp.StatusRequestURITooLong, CodeURILimit, "the path is too long")
	case ctx.Request.Header.Len() > g.settings.headerCount:
		return failure(fasthttp.StatusRequestHeaderFieldsTooLarge, CodeHeaderLimit, "too many header fields")
	}
	return nil
}

// resolve finds the service and the call, and checks that the workspace may use
// them.
func (g *Gateway) resolve(r *request, path string) *Failure {
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
	workspace, ok := current.Workspace(r.workspace)
	if !ok {
		return failure(fasthttp.StatusForbidden, CodeForbidden, "no workspace "+quoteName(r.workspace)+"; name it in "+HeaderWorkspace)
	}
	if !workspace.Allows(serviceName) {
		return failure(fasthttp.StatusForbidden, CodeForbidden, "workspace "+r.workspace+" may not use "+serviceName)
	}
	if !g.Catalog.Available(serviceName) {
		return failure(fasthttp.StatusServiceUnavailable, Code("Dependency"), "a service that "+serviceName+" needs can't serve").after(g.settings.retryAfter)
	}
	r.service, r.call = service, call
	r.service.Timeouts = withDefaults(service.Timeouts)
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
func (r *request) setDeadline(timeout string) *Failure {
	total := r.service.Timeouts.Total
	if timeout != "" {
		asked, err := time.ParseDuration(timeout)
		if err != nil || asked <= 0 {
			return failure(fasthttp.StatusBadRequest, CodeBadRequest, HeaderTimeout+` must be a duration such as "30s"`)
		}
		total = min(total, asked)
	}
	r.deadline = r.started.Add(total)
	return nil
}

// fingerprint is the hash of the call and its body, which a key stands for.
func (r *request) fingerprint() uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.service.Name, r.call.Name} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.body)
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
