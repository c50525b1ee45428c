// Package gateway is the data path of an entry host: it accepts the requests of
// callers, acquires a permit for a target, relays the response as it arrives and
// verifies that it is complete.
//
// Idempotent calls are retried on other targets within a retry budget, and
// interrupted streams are resumed at their offset. All other calls are sent to a
// target at most once; with an idempotency key, a claim at the quorum guarantees
// this across hosts and restarts. Failure bodies report whether the request ran:
// "No" only if no byte of it can have left this host, or if the targets reported
// that they did not run it.
//
// The gateway notices at once when a caller closes its connection, because it
// reads one byte from the connection while the response is pending. It then
// cancels the request on the engine.
//
// # Usage
//
//	entry := gateway.New(gateway.Dependencies{
//		Admitter: admitter, Catalog: catalog, Authority: authority, Claims: claims,
//		Sender: web.NewClient(clock), Clock: clock, Logger: logger, Scope: scope,
//		Host: "rabat-a-1",
//	}, gateway.WithMaxConnections(4096))
//	go entry.Serve(listener)
//	...
//	err := entry.Drain(ctx)
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/gateway/intake"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// Gateway serves the requests of callers.
type Gateway struct {
	Dependencies
	settings     settings
	server       *fasthttp.Server
	headServers  *headServers
	metrics      *metrics
	retryBudgets *serviceBudgets
	tracker      *requestTracker
	openClaims   *openClaims
	// responseMemory is shared by the bodies of all responses.
	responseMemory responseMemory
	// memory limits what all connections of callers hold.
	memory *intake.Budget
	bodies intake.BodyReader
	// refusals has a place for each connection that is being refused with a response.
	refusals chan struct{}
	log      *logrus.Logger
	started  time.Time
	idPrefix string
	lastID   atomic.Uint64
	// keepAliveDisabled is set while the host still serves requests but closes
	// each connection after its next response.
	keepAliveDisabled atomic.Bool
	// drainDeadline is the end of a drain with a timeout; nil if there is none.
	drainDeadline atomic.Pointer[time.Time]
	// stopping ends when a drain has timed out: the requests that are left get a failure.
	stopping context.Context
	stop     context.CancelFunc
}

// New returns a gateway. It serves no requests until Serve or Handler is
// called.
func New(dependencies Dependencies, options ...Option) *Gateway {
	g := &Gateway{Dependencies: dependencies, settings: defaultSettings()}
	for _, option := range options {
		option(&g.settings)
	}
	if g.Clock == nil {
		g.Clock = clockwork.NewRealClock()
	}
	if g.Scope == nil {
		g.Scope = tally.NoopScope
	}
	if g.Logger == nil {
		g.Logger = logs.Discard()
	}
	g.log = logs.ForComponent(g.Logger, "Route")
	g.metrics = newMetrics(g.Scope)
	g.retryBudgets = newServiceBudgets(g.settings.retryRatio)
	if g.RetryBudget == nil {
		g.RetryBudget = g.retryBudgets
	}
	if g.Codec == nil {
		g.Codec = &nativeCodec{gateway: g}
	}
	g.started = g.Clock.Now()
	g.stopping, g.stop = context.WithCancel(context.Background())
	g.tracker = newRequestTracker()
	g.openClaims = newOpenClaims()
	g.responseMemory.free = g.settings.maxBufferedBytes
	g.memory = intake.NewBudget(intake.BudgetConfig{Clock: g.Clock, Limit: g.settings.requestMemory(), Log: g.log, Scope: g.Scope.SubScope("callers")})
	g.refusals = make(chan struct{}, 1+g.settings.maxConnections/refusalShare)
	g.idPrefix = g.Host + "-" + nonce() + "-"
	g.server, g.headServers = g.newServer(g.settings.maxHeaderBytes), newHeadServers(g)
	return g
}

// Serve accepts connections from listener until Drain is called.
func (g *Gateway) Serve(listener net.Listener) error {
	if err := g.server.Serve(g.WrapListener(listener)); err != nil {
		return errors.Wrap(err, "serve HTTP requests")
	}
	return nil
}

// Handler serves one request. It is exported for servers that also serve other
// paths; such a server must accept its connections through WrapListener.
func (g *Gateway) Handler(ctx *fasthttp.RequestCtx) {
	defer intake.DropFields(ctx)
	if err := g.bodies.Read(ctx, g.bodyLimit(&ctx.Request.Header)); err != nil {
		g.handleUnreadableRequest(ctx, err)
		return
	}
	if g.settings.callsOnly {
		g.serveCall(ctx)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == PathHealth:
		g.serveHealth(ctx)
	case path == PathReady:
		g.serveReadiness(ctx)
	case strings.HasPrefix(path, PathServices):
		g.serveCall(ctx)
	default:
		if handler := g.settings.handler(path); handler != nil {
			handler(ctx)
			return
		}
		g.fail(ctx, failure(fasthttp.StatusNotFound, CodeNotFound, "no such path"))
	}
}

// nextID returns a request ID that is unique in the fleet.
func (g *Gateway) nextID() string {
	return g.idPrefix + strconv.FormatUint(g.lastID.Add(1), 10)
}

// nonce distinguishes the request IDs of this process from those of an earlier
// process.
func nonce() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
