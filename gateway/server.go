package gateway

import (
	"net"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/gateway/intake"
)

// Paths served by a gateway.
const (
	PathHealth   = "/healthz"
	PathReady    = "/readyz"
	PathServices = "/v1/services/"
)

// Headers of requests and responses between callers and a gateway.
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

// drainRetryAfter is the retry delay returned by a draining host. It is short
// because other hosts can serve at once and the connection to this host is
// closed.
const drainRetryAfter = 50 * time.Millisecond

// concurrencySlack raises the limit of the HTTP server above that of the
// listener, because the server refuses connections without a failure body.
const concurrencySlack = 64

// newServer returns a server whose connections have buffers for heads of headBytes.
func (g *Gateway) newServer(headBytes int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      g.Handler,
		ErrorHandler:                 g.handleUnreadableRequest,
		HeaderReceived:               g.requestConfig,
		Concurrency:                  g.settings.maxConnections + concurrencySlack,
		ReadBufferSize:               headBytes,
		MaxRequestBodySize:           g.settings.maxBodyBytes,
		StreamRequestBody:            true,
		ReadTimeout:                  g.settings.readTimeout,
		IdleTimeout:                  g.settings.idleTimeout,
		NoDefaultServerHeader:        true,
		DisablePreParseMultipartForm: true,
		CloseOnShutdown:              true,
		Logger:                       discardLogger{},
	}
}

// discardLogger drops the log messages of the HTTP server; failures are counted
// in the metrics.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// requestConfig returns the body limit of the service in the request path, so
// that a larger body is not read. For a path that is escaped differently, the
// limit of the gateway applies here and the limit of the service after the path
// is resolved.
func (g *Gateway) requestConfig(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	limit := g.bodyLimit(header)
	g.bodies.CheckLength(header, limit)
	return fasthttp.RequestConfig{MaxRequestBodySize: limit, ReadTimeout: g.settings.readTimeout}
}

// bodyLimit returns the body limit of a request.
func (g *Gateway) bodyLimit(header *fasthttp.RequestHeader) int {
	if g.settings.callsOnly {
		return g.settings.maxBodyBytes
	}
	name, _, _ := strings.Cut(strings.TrimPrefix(string(header.RequestURI()), PathServices), "/")
	if fleet := g.Catalog.Fleet(); fleet != nil {
		if service, ok := fleet.Service(name); ok && service.Limits.BodyBytes > 0 {
			return service.Limits.BodyBytes
		}
	}
	return g.settings.maxBodyBytes
}

// callerTimeouts returns the header and idle timeouts of the fleet
// configuration; 0 if the settings of the gateway apply.
func (g *Gateway) callerTimeouts() (header, idle time.Duration) {
	config := g.Catalog.Fleet()
	if config == nil {
		return 0, 0
	}
	return config.Requests.HeaderTime, config.Requests.IdleTime
}

// handleUnreadableRequest responds to a request that could not be read.
func (g *Gateway) handleUnreadableRequest(ctx *fasthttp.RequestCtx, err error) {
	defer intake.DropFields(ctx)
	ctx.SetConnectionClose()
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case intake.Refused(ctx), errors.Is(err, intake.ErrShort):
		g.fail(ctx, failure(fasthttp.StatusServiceUnavailable, CodeMemory, "the memory for requests is in use").withRetryAfter(g.settings.retryAfter))
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		g.fail(ctx, bodyTooLarge())
	case errors.As(err, &smallBuffer) && g.isOutgrown(ctx):
		g.fail(ctx, failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "the connection was opened before headers of this size were allowed").withRetryAfter(g.settings.retryAfter))
	case errors.As(err, &smallBuffer):
		g.fail(ctx, failure(fasthttp.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, "the header is too large"))
	case errors.Is(err, fasthttp.ErrTimeout), errors.As(err, &netErr) && netErr.Timeout():
		g.fail(ctx, failure(fasthttp.StatusRequestTimeout, CodeSlowSender, "the request was not sent in time"))
	default:
		g.fail(ctx, failure(fasthttp.StatusBadRequest, CodeBadRequest, "the request is not valid HTTP"))
	}
}

func bodyTooLarge() *Failure {
	return failure(fasthttp.StatusRequestEntityTooLarge, CodeBodyTooLarge, "the body is larger than the service takes")
}

// serveHealth reports that the process is running.
func (g *Gateway) serveHealth(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType(contentJSON)
	ctx.SetBodyString(`{"Healthy":true}`)
}

// serveReadiness reports whether the load balancer should send requests to this
// host.
func (g *Gateway) serveReadiness(ctx *fasthttp.RequestCtx) {
	if f := g.readinessFailure(); f != nil {
		g.fail(ctx, f)
		return
	}
	ctx.SetContentType(contentJSON)
	ctx.SetBodyString(`{"Ready":true}`)
}

// readinessFailure returns nil if this host is ready for requests, and the
// reason otherwise.
func (g *Gateway) readinessFailure() *Failure {
	if g.tracker.isDraining() {
		return failure(fasthttp.StatusServiceUnavailable, CodeDraining, "this host is shutting down").withRetryAfter(drainRetryAfter)
	}
	if g.Catalog.Fleet() == nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, "no fleet is in force yet").withRetryAfter(g.settings.retryAfter)
	}
	if err := g.Authority.Check(); err != nil {
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, err.Error()).withRetryAfter(g.settings.retryAfter)
	}
	if g.ReadinessCheck != nil {
		if err := g.ReadinessCheck(); err != nil {
			return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, err.Error()).withRetryAfter(g.settings.retryAfter)
		}
	}
	return nil
}
