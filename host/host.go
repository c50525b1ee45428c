// Package host puts the parts of a daemon together: the gateway for callers,
// the owner's decisions, the session with the state replicas and, where the
// settings say so, a state replica.
//
// # Usage
//
//	daemon, err := host.New(host.Dependencies{Settings: loaded, Key: key, Clock: clock, Log: log, Scope: scope})
//	err = daemon.Run(ctx) // until ctx ends, then drains
package host

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/meter"
	"comfreytiller.dev/common/sniff"
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/session"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target/web"
)

// Dependencies are what a host works with for its whole life.
type Dependencies struct {
	Settings *settings.Settings
	// Key is the key that hosts and operators share, TargetKey the one that
	// targets prove; an empty TargetKey asks for none.
	Key       []byte
	TargetKey string
	Clock     clockwork.Clock
	Log       *logrus.Logger
	Scope     tally.Scope
	// Metrics serves what Scope reports; nil for none.
	Metrics MetricsHandler
	// Bootstrap makes the first state of a new cluster.
	Bootstrap bool
	// Restore is a backup to make the first state from; nil for an empty one.
	Restore []byte
}

// Host is one daemon.
type Host struct {
	Dependencies

	log      *logrus.Logger
	control  *meter.Control
	node     *peer.Node
	session  *session.Client
	state    *stateReplica
	owners   *owners
	entry    *entry
	receiver *targets
	gateway  *gateway.Gateway
	placer   *placer
	digester *digester
	sender   *web.Client

	peers   net.Listener
	callers net.Listener
	admin   net.Listener

	background sync.WaitGroup
}

// New opens the host's listeners and its state replica. It serves from Run on.
func New(dependencies Dependencies) (*Host, error) {
	h := &Host{
		Dependencies: dependencies,
		log:          logs.Part(dependencies.Log, "Host"),
		control:      meter.NewControl(dependencies.Scope.SubScope("peer")),
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.build()
	if dependencies.Settings.State != nil {
		state, err := openState(h)
		if err != nil {
			h.closeListeners()
			return nil, err
		}
		h.state = state
	}
	return h, nil
}

func (h *Host) listen() error {
	own := *h.Settings
	h.Settings = &own
	for _, wanted := range []struct {
		what    string
		address *string
		into    *net.Listener
	}{
		{"peers", &own.Peers, &h.peers},
		{"callers", &own.Callers, &h.callers},
		{"admin", &own.Admin, &h.admin},
	} {
		listener, err := net.Listen("tcp", *wanted.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s on %s", wanted.what, *wanted.address)
		}
		*wanted.into = listener
		// An embedded host may ask for any free port.
		*wanted.address = listener.Addr().String()
	}
	if len(own.StateReplicas) == 0 {
		own.StateReplicas = []string{own.Peers}
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, listener := range []net.Listener{h.peers, h.callers, h.admin} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (h *Host) build() {
	h.node = peer.NewNode(peer.Config{
		Host:     h.Settings.Host,
		Key:      h.Key,
		Clock:    h.Clock,
		WrapConn: h.control.Wrap,
	}, h.receive)
	h.owners = newOwners(h)
	h.session = session.New(session.Config{
		Host:          h.Settings.Host,
		FailureDomain: h.Settings.FailureDomain,
		PeerAddress:   h.Settings.Peers,
		CallerAddress: h.Settings.Callers,
		Owns:          h.Settings.OwnsServices,
		Replicas:      h.Settings.StateReplicas,
		Clock:         h.Clock,
		Start:         rand.Uint64(),
		Idle:          h.owners.idle,
		Trouble:       func(err error) { h.log.Warnf("The lease is not renewed: %v.", err) },
	}, h.node)
	h.owners.session, h.owners.authority = h.session, h.session
	h.sender = web.NewClient(h.Clock)
	h.entry = newEntry(h)
	h.receiver = newTargets(h)
	h.placer = newPlacer(h)
	h.digester = newDigester(h)
	h.gateway = h.newGateway()
}

func (h *Host) newGateway() *gateway.Gateway {
	var receiverOptions []web.ReceiverOption
	if h.TargetKey != "" {
		receiverOptions = append(receiverOptions, web.WithSharedKey(h.TargetKey))
	}
	receiver := web.NewReceiver(h.receiver, receiverOptions...)
	return gateway.New(gateway.Dependencies{
		Admitter:  h.entry,
		Catalog:   &catalog{session: h.session},
		Authority: h.session,
		Claims:    &claims{session: h.session, host: h},
		Sender:    h.sender,
		Clock:     h.Clock,
		Logger:    logs.Part(h.Log, "Route"),
		Scope:     h.Scope.SubScope("gateway"),
		Host:      h.Settings.Host,
		Ready:     h.session.Check,
	},
		gateway.WithHandler("/v1/targets/", receiver.Handle),
		gateway.WithDrainLimit(h.Settings.DrainTimeout),
	)
}

// Session returns the host's session, for embedding.
func (h *Host) Session() *session.Client { return h.session }

// Run serves until ctx ends, then drains: it hands over what it owns, finishes
// every request and closes its session.
func (h *Host) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	h.servePeers()
	h.serveAdmin()
	h.start(background, h.session.Run)
	h.start(background, h.owners.run)
	h.start(background, h.entry.run)
	h.start(background, h.digester.run)
	h.start(background, h.placer.run)
	if h.state != nil {
		h.start(background, h.state.run)
	}
	served := make(chan error, 1)
	go func() { served <- h.gateway.Serve(h.callers) }()
	h.log.Infof("Serves callers on %s and peers on %s.", h.Settings.Callers, h.Settings.Peers)
	select {
	case <-ctx.Done():
	case err := <-served:
		return errors.Wrapf(err, "serve callers on %s", h.Settings.Callers)
	}
	err := h.drain()
	stop()
	h.background.Wait()
	h.close()
	return err
}

// drain leaves the fleet without cutting a request: first the services move,
// then the requests end, then the session.
func (h *Host) drain() error {
	h.log.Info("Drains.")
	h.handOver()
	err := h.gateway.Drain(context.Background())
	// Another owner may have been lost while the last streams ran.
	h.handOver()
	closing, cancel := clockwork.WithTimeout(context.Background(), h.Clock, handoverTimeout)
	defer cancel()
	h.entry.flushAll(closing)
	if closeErr := h.session.Close(closing); closeErr != nil {
		h.log.Warnf("Session stays until its lease ends: %v.", closeErr)
	}
	if h.state != nil {
		h.state.Yield(closing)
	}
	if err != nil {
		return errors.Wrap(err, "drain the gateway")
	}
	h.log.Info("Drained.")
	return nil
}

// refusePeer logs a connection that ended before both ends had proved the key. A
// peer with another key closes first, and names the key in its own log.
func (h *Host) refusePeer(err error) {
	if errors.Is(err, peer.ErrKeyMismatch) || errors.Is(err, peer.ErrInvalidFrame) {
		h.log.Warnf("Peer connection refused: %v.", err)
		return
	}
	h.log.Debugf("Peer connection ended early: %v.", err)
}

func (h *Host) handOver() {
	ctx, cancel := clockwork.WithTimeout(context.Background(), h.Clock, handoverTimeout)
	defer cancel()
	h.owners.handOverAll(ctx)
}

func (h *Host) close() {
	h.closeListeners()
	h.node.Close()
	h.sender.Close()
	if h.state != nil {
		h.state.Close()
	}
}

func (h *Host) start(ctx context.Context, run func(context.Context)) {
	h.background.Go(func() { run(ctx) })
}

// servePeers serves frames and operators on one listener.
func (h *Host) servePeers() {
	splitter := sniff.New(h.peers, peer.Magic, h.Clock)
	operators := &fasthttp.Server{Handler: h.operatorHandler(), MaxRequestBodySize: maxOperatorBody}
	go func() { _ = operators.Serve(splitter.Rest()) }()
	go func() {
		_ = splitter.Serve(func(conn net.Conn) {
			if err := h.node.ServeConn(conn); err != nil {
				h.refusePeer(err)
			}
		})
	}()
}
