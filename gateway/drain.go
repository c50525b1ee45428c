package gateway

import (
	"context"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// ErrDrainTimeout reports a drain that ended before every request did.
var ErrDrainTimeout = errors.New("drain limit reached")

// Drain stops the gateway: its readiness fails and new requests are refused as
// not run, on connections that then close. With WithRequestsDuringDrain those whose
// deadline comes before the drain limit are served. It returns when every request has
// its answer and the connections are closed, or when ctx or the drain limit
// ends it. Only a caller that does not read is cut, by its write budget.
func (g *Gateway) Drain(ctx context.Context) error {
	if g.settings.drainLimit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, g.Clock, g.settings.drainLimit)
		defer cancel()
		end := g.Clock.Now().Add(g.settings.drainLimit)
		g.drainEnd.Store(&end)
	}
	idle := g.work.drain()
	if g.settings.linger > 0 {
		timer := g.Clock.NewTimer(g.settings.linger)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
		}
	}
	select {
	case <-idle:
	case <-ctx.Done():
		return errors.Wrapf(ErrDrainTimeout, "%d requests in hand", g.work.count())
	}
	if err := g.server.ShutdownWithContext(ctx); err != nil {
		return errors.Wrapf(ErrDrainTimeout, "close connections: %v", err)
	}
	return nil
}

// DisableKeepAlive asks callers to go elsewhere: requests are served, but each connection
// closes with its next answer. A Drain follows it.
func (g *Gateway) DisableKeepAlive() { g.leaving.Store(true) }

// KeepAliveDisabled reports whether callers are asked to go elsewhere.
func (g *Gateway) KeepAliveDisabled() bool { return g.leaving.Load() || g.work.draining() }

// CheckReady returns why this host should get no requests, or nil.
func (g *Gateway) CheckReady() error {
	if f := g.notReady(); f != nil {
		return f
	}
	return nil
}

// Draining reports whether the gateway refuses new requests.
func (g *Gateway) Draining() bool { return g.work.draining() }

// InFlight returns the number of requests in hand.
func (g *Gateway) InFlight() int { return g.work.count() }
