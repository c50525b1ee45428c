package gateway

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// ErrDrainTimeout is returned by Drain if requests were still in flight, or
// connections still open, at the end of the drain.
var ErrDrainTimeout = errors.New("drain timed out")

// Drain stops the gateway. Its readiness check fails, and new requests are
// refused as not run on connections that are then closed. With
// WithRequestsDuringDrain, requests whose deadline is before the end of the
// drain timeout are served. Drain returns when every request has its response
// and the connections are closed, or when ctx or the drain timeout ends. Requests
// that are in flight then get a failure, for up to finalResponseTimeout. Only the connection
// of a caller that does not read is cut, by its write timeout.
func (g *Gateway) Drain(ctx context.Context) error {
	if g.settings.drainTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, g.Clock, g.settings.drainTimeout)
		defer cancel()
		end := g.Clock.Now().Add(g.settings.drainTimeout)
		g.drainDeadline.Store(&end)
	}
	idle := g.tracker.startDrain()
	if g.settings.minDrainDuration > 0 {
		timer := g.Clock.NewTimer(g.settings.minDrainDuration)
		defer timer.Stop()
		select {
		case <-timer.Chan():
		case <-ctx.Done():
		}
	}
	select {
	case <-idle:
	case <-ctx.Done():
		return g.endRequests(idle)
	}
	shutdown := func(server *fasthttp.Server) error { return server.ShutdownWithContext(ctx) }
	if err := errors.Join(shutdown(g.server), g.headServers.shutdown(shutdown)); err != nil {
		return errors.Wrapf(ErrDrainTimeout, "close connections: %v", err)
	}
	return nil
}

// finalResponseTimeout limits the time to send failures to the callers whose requests are in
// flight at the end of a drain.
const finalResponseTimeout = 200 * time.Millisecond

// endRequests fails the requests in flight, so that their callers don't find their
// connections closed without a response, and returns ErrDrainTimeout.
func (g *Gateway) endRequests(idle <-chan struct{}) error {
	unfinished := g.tracker.inFlight()
	g.stop()
	timer := g.Clock.NewTimer(finalResponseTimeout)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.Chan():
	}
	return errors.Wrapf(ErrDrainTimeout, "%d requests still in flight", unfinished)
}

// withStop returns a function that cancels a request's context and releases its resources. The
// context is cancelled as well when the gateway ends the requests in flight.
func (g *Gateway) withStop(cancel context.CancelFunc) context.CancelFunc {
	release := context.AfterFunc(g.stopping, cancel)
	return func() {
		release()
		cancel()
	}
}

// DisableKeepAlive makes callers move to other hosts: requests are still
// served, but each connection is closed after its next response. It is called
// before Drain.
func (g *Gateway) DisableKeepAlive() { g.keepAliveDisabled.Store(true) }

// KeepAliveDisabled reports whether connections are closed after their next
// response, because of DisableKeepAlive or a drain.
func (g *Gateway) KeepAliveDisabled() bool {
	return g.keepAliveDisabled.Load() || g.tracker.isDraining()
}

// CheckReady returns nil if this host is ready for requests, and the reason
// otherwise.
func (g *Gateway) CheckReady() error {
	if f := g.readinessFailure(); f != nil {
		return f
	}
	return nil
}

// Draining reports whether the gateway refuses new requests.
func (g *Gateway) Draining() bool { return g.tracker.isDraining() }

// InFlight returns the number of requests in flight.
func (g *Gateway) InFlight() int { return g.tracker.inFlight() }
