package gateway

import (
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// The paths of a gateway.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathServices = "/v1/services/"
)

// The headers between callers and a gateway.
const (
	HeaderWorkspace      = "Comfreytiller-Workspace"
	HeaderChat           = "Comfreytiller-Chat"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Comfreytiller-Timeout"
	HeaderRequest        = "Comfreytiller-Request"
	HeaderTarget         = "Comfreytiller-Target"
	HeaderWarm           = "Comfreytiller-Warm"
	HeaderReplayed       = "Comfreytiller-Replayed"
)

const (
	contentJSON   = "application/json"
	contentStream = "text/event-stream"
)

// drainRetry is when a caller that a leaving host refuses may come back: the other
// hosts can serve at once, and it does not meet this one again.
const drainRetry = 50 * time.Millisecond

// concurrencySlack keeps the HTTP server's own limit, which answers without an
// error body, above the listener's.
const concurrencySlack = 64

func (g *Gateway) newServer() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      g.Handler,
		ErrorHandler:                 g.malformed,
		HeaderReceived:               g.bodyLimit,
		Concurrency:                  g.settings.maxConnections + concurrencySlack,
		ReadBufferSize:               g.settings.headerBytes,
		MaxRequestBodySize:           g.settings.bodyBytes,
		ReadTimeout:                  g.settings.readTimeout,
		IdleTimeout:                  g.settings.idleTimeout,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       quiet{},
	}
}

// quiet drops the HTTP server's own messages; every failure is counted.
type quiet struct{}

// Printf drops a message.
func (quiet) Printf(string, ...any) {}

// bodyLimit sets the body limit of the service that the header names, so that a
// larger body is not read. A path written in another way gets the gateway's
// limit here and its service's once it is resolved.
func (g *Gateway) bodyLimit(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limit := g.settings.bodyBytes
	if g.settings.callsOnly {
		return fasthttp.RequestConfig{MaxRequestBodySize: limit, ReadTimeout: g.settings.readTimeout}
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(string(header.RequestURI()), PathServices), "/")
	if fleet := g.Catalog.Fleet(); fleet != nil {
		if service, ok := fleet.Service(name); ok && service.Limits.BodyBytes > 0 {
			limit = service.Limits.BodyBytes
		}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: limit, ReadTimeout: g.settings.readTimeout}
}

// callerTimes returns the fleet's limits on the time for a header and for an idle
// connection; 0 leaves one to the settings.
func (g *Gateway) callerTimes() (header, idle time.Duration) {
	current := g.Catalog.Fleet()
	if current == nil {
		return 0, 0
	}
	return current.Requests.HeaderTime, current.Requests.IdleTime
}

// malformed answers a request that could not be read.
func (g *Gateway) malformed(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	var network net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		g.fail(ctx, bodyTooLarge())
	case errors.As(err, &small):
		g.fail(ctx, failure(fasthttp.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, "the header is too large"))
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &network) && network.Timeout():
		g.fail(ctx, failure(fasthttp.StatusRequestTimeout, CodeSlowSender, "the request was not sent in time"))
	default:
		g.fail(ctx, failure(fasthttp.StatusBadRequest, CodeBadRequest, "the request is not valid HTTP"))
	}
}

func bodyTooLarge() *Failure {
	return failure(fasthttp.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than the service takes")
}

// health answers whether the process runs.
func (g *Gateway) health(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(contentJSON)
	ctx.SetBodyString(`{"Healthy":true}`)
}

// ready answers whether the balancer should send requests here.
func (g *Gateway) ready(ctx *fasthttp.RequestCtx) {
	if f := g.notReady(); f != nil {
		g.fail(ctx, f)
		return
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBodyString(`{"Ready":true}`)
}

// notReady returns why this host should get no requests, or nil.
func (g *Gateway) notReady() *Failure {
	if g.work.draining() {
		return failure(fasthttp.StatusServiceUnavailable, CodeDraining, "this host is shutting down").after(drainRetry)
	}
	if g.Catalog.Fleet() == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "no fleet is in force yet").after(g.settings.retryAfter)
	}
	if err := g.Authority.Check(); err != nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, err.Error()).after(g.settings.retryAfter)
	}
	if g.ReadinessCheck != nil {
		if err := g.ReadinessCheck(); err != nil {
			return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, err.Error()).after(g.settings.retryAfter)
		}
	}
	return nil
}
