// Package gateway is the data path of an entry host: it takes a caller's
// request, gets a permit for a target, relays the answer as it comes and makes
// sure that it is whole.
//
// An idempotent call is retried on another target within a budget, and a cut
// stream is resumed at its offset. Any other call is sent to a target at most
// once; with an idempotency key a claim at the quorum keeps that true across
// hosts and restarts. An error body tells whether the request ran: "No" only
// when no byte of it can have left this host.
//
// A caller that closes its connection is noticed at once, since one byte is
// read from the connection while its answer is awaited; its work on the engine
// is then cancelled.
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
	"crypto/rand"
	"encoding/hex"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"comfreytiller.dev/common/logs"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// Gateway serves callers.
type Gateway struct {
	Dependencies
	settings settings
	server   *fasthttp.Server
	meters   *meters
	budgets  *budgets
	work     *work
	keys     *keys
	log      *logrus.Logger
	started  time.Time
	idPrefix string
	lastID   atomic.Uint64
	// leaving is set while the host still serves but wants callers to go
	// elsewhere.
	leaving atomic.Bool
	// drainEnd is when a drain with a limit ends; nil while there is none.
	drainEnd atomic.Pointer[time.Time]
}

// New returns a gateway that serves nothing yet.
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
	g.log = logs.Part(g.Logger, "Route")
	g.meters = newMeters(g.Scope)
	g.budgets = newBudgets(g.settings.retryShare)
	if g.RetryBudget == nil {
		g.RetryBudget = g.budgets
	}
	if g.Codec == nil {
		g.Codec = &nativeFace{gateway: g}
	}
	g.started = g.Clock.Now()
	g.work = newWork()
	g.keys = newKeys()
	g.idPrefix = g.Host + "-" + nonce() + "-"
	g.server = g.newServer()
	return g
}

// Serve takes callers' connections from listener until Drain.
func (g *Gateway) Serve(listener net.Listener) error {
	if err := g.server.Serve(g.WrapListener(listener)); err != nil {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// Handler serves one request. It is exported for a server that also serves
// other paths; that server should take its connections from Listener.
func (g *Gateway) Handler(ctx *fasthttp.RequestCtx) {
	if g.settings.callsOnly {
		g.serveCall(ctx)
		return
	}
	path := string(ctx.Path())
	switch {
	case path == PathHealth:
		g.health(ctx)
	case path == PathReady:
		g.ready(ctx)
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

// nextID returns an id that no other request of the fleet has.
func (g *Gateway) nextID() string {
	return g.idPrefix + strconv.FormatUint(g.lastID.Add(1), 10)
}

// nonce tells this process's ids from those of an earlier one.
func nonce() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}
