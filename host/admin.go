package host

import (
	"net/http"
	"net/http/pprof"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// MetricsHandler exposes the metrics of a reporter over HTTP.
type MetricsHandler interface {
	HTTPHandler() http.Handler
}

// serveAdmin serves liveness, readiness, metrics and, if enabled, profiles on
// the admin address.
func (h *Host) serveAdmin() {
	var metrics fasthttp.RequestHandler
	if h.Metrics != nil {
		metrics = fasthttpadaptor.NewFastHTTPHandler(h.Metrics.HTTPHandler())
	}
	profiles := fasthttpadaptor.NewFastHTTPHandler(profileMux())
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		path := string(ctx.Path())
		switch {
		case path == "/healthz":
			ctx.SetBodyString("ok\n")
		case path == "/readyz":
			h.handleReadiness(ctx)
		case path == "/metrics" && metrics != nil:
			metrics(ctx)
		case h.Settings.Pprof && len(path) > len("/debug/pprof") && path[:len("/debug/pprof")] == "/debug/pprof":
			profiles(ctx)
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}}
	go func() { _ = server.Serve(h.adminListener) }()
}

func (h *Host) handleReadiness(ctx *fasthttp.RequestCtx) {
	if h.gateway.Draining() {
		ctx.Error("draining\n", fasthttp.StatusServiceUnavailable)
		return
	}
	if err := h.session.Check(); err != nil {
		ctx.Error(err.Error()+"\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func profileMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}
