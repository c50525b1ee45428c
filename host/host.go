// Package host implements the daemon: the gateway for callers, the owners of
// services, the session with the state replicas and, if configured, a state
// replica.
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
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/meter"
	"comfreytiller.dev/common/pauses"
	"comfreytiller.dev/common/sniff"
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/session"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target/web"
)

// Dependencies holds what a host is created with.
type Dependencies struct {
	Settings *settings.Settings
	// Key is shared by hosts and operators. TargetKey is the key that targets
	// must present; no key is required if it is empty.
	Key       []byte
	TargetKey string
	Clock     clockwork.Clock
	Log       *logrus.Logger
	Scope     tally.Scope
	// Metrics serves the metrics that Scope reports; nil disables the endpoint.
	Metrics MetricsHandler
	// Bootstrap creates the initial state of a new cluster.
	Bootstrap bool
	// Restore is a backup from which the initial state is created; nil creates
	// an empty state.
	Restore []byte
}

// Host is one daemon of the fleet.
type Host struct {
	Dependencies

	log                 *logrus.Logger
	controlMeter        *meter.ControlTraffic
	node                *peer.Node
	session             *session.Client
	state               *stateReplica
	ownedServices       *ownedServices
	permitClient        *permitClient
	targetRelay         *targetRelay
	leavingNotices      tally.Counter
	pauseNotices        tally.Counter
	gateway             *gateway.Gateway
	placementController *placementController
	memberChanger       *memberChanger
	digestReporter      *digestReporter
	sender              *web.Client
	pauses              *pauses.Monitor

	peerListener   net.Listener
	callerListener net.Listener
	adminListener  net.Listener

	background sync.WaitGroup
}

// New opens the listeners and the state replica of a host. Run serves requests.
func New(dependencies Dependencies) (*Host, error) {
	h := &Host{
		Dependencies: dependencies,
		log:          logs.ForComponent(dependencies.Log, "Host"),
		controlMeter: meter.NewControlTraffic(dependencies.Scope.SubScope("peer")),
	}
	if err := h.listen(); err != nil {
		h.closeListeners()
		return nil, err
	}
	h.buildComponents()
	if dependencies.Settings.State != nil {
		state, err := openStateReplica(h)
		if err != nil {
			h.closeListeners()
			return nil, err
		}
		h.state = state
	}
	return h, nil
}

func (h *Host) listen() error {
	adjusted := *h.Settings
	h.Settings = &adjusted
	for _, endpoint := range []struct {
		purpose string
		address *string
		into    *net.Listener
	}{
		{"peers", &adjusted.Peers, &h.peerListener},
		{"callers", &adjusted.Callers, &h.callerListener},
		{"admin", &adjusted.Admin, &h.adminListener},
	} {
		listener, err := net.Listen("tcp", *endpoint.address)
		if err != nil {
			return errors.Wrapf(err, "listen for %s on %s", endpoint.purpose, *endpoint.address)
		}
		*endpoint.into = listener
		// An embedded host may request any free port with port 0.
		*endpoint.address = listener.Addr().String()
	}
	if len(adjusted.StateReplicas) == 0 {
		adjusted.StateReplicas = []string{adjusted.Peers}
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, listener := range []net.Listener{h.peerListener, h.callerListener, h.adminListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

func (h *Host) buildComponents() {
	h.node = peer.NewNode(peer.Config{
		Host:      h.Settings.Host,
		Key:       h.Key,
		Clock:     h.Clock,
		WrapConn:  h.controlMeter.WrapConn,
		OnDropped: logs.DroppedMessage[peer.Message](h.log),
	}, h.receive)
	h.ownedServices = newOwnedServices(h)
	h.session = session.New(session.Config{
		Host:                h.Settings.Host,
		FailureDomain:       h.Settings.FailureDomain,
		PeerAddress:         h.Settings.Peers,
		CallerAddress:       h.Settings.Callers,
		OwnsServices:        h.Settings.OwnsServices,
		Replicas:            h.Settings.StateReplicas,
		Clock:               h.Clock,
		ProcessNonce:        rand.Uint64(),
		UnavailableServices: h.ownedServices.unavailableServices,
		OnError:             func(err error) { h.log.Warnf("Cannot renew the lease: %v.", err) },
	}, h.node)
	h.ownedServices.session, h.ownedServices.authority = h.session, h.session
	h.sender = web.NewClient(h.Clock)
	h.permitClient = newPermitClient(h)
	h.targetRelay = newTargetRelay(h)
	h.leavingNotices, h.pauseNotices = h.Scope.Counter("targets_leaving_in_response"), h.Scope.Counter("target_pauses")
	h.placementController = newPlacementController(h)
	h.memberChanger = &memberChanger{host: h}
	h.digestReporter = newDigestReporter(h)
	h.pauses = pauses.New(h.Clock, h.logPause)
	h.gateway = h.newGateway()
}

func (h *Host) newGateway() *gateway.Gateway {
	var receiverOptions []web.ReceiverOption
	if h.TargetKey != "" {
		receiverOptions = append(receiverOptions, web.WithSharedKey(h.TargetKey))
	}
	receiver := web.NewReceiver(h.targetRelay, receiverOptions...)
	return gateway.New(gateway.Dependencies{
		Admitter:       h.permitClient,
		Catalog:        &catalog{session: h.session},
		Authority:      h.session,
		Claims:         &claims{session: h.session, host: h},
		Sender:         h.sender,
		Clock:          h.Clock,
		Logger:         logs.ForComponent(h.Log, "Route"),
		Scope:          h.Scope.SubScope("gateway"),
		Host:           h.Settings.Host,
		ReadinessCheck: h.session.Check,

		OnTargetResponse: h.recordResponse,
		LongestPause:     h.pauses.LongestSince,
	},
		gateway.WithHandler("/v1/targets/", receiver.Handle),
		gateway.WithDrainTimeout(h.Settings.DrainTimeout),
	)
}

// Session returns the host's session, for programs that embed a host.
func (h *Host) Session() *session.Client { return h.session }

// Run serves until ctx ends and then drains: it hands over its services,
// finishes all requests and closes the session.
func (h *Host) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	h.servePeers()
	h.serveAdmin()
	h.start(background, h.session.Run)
	h.start(background, h.ownedServices.run)
	h.start(background, h.permitClient.run)
	h.start(background, h.pauses.Run)
	h.start(background, h.digestReporter.run)
	h.start(background, h.placementController.run)
	if h.state != nil {
		h.start(background, h.state.run)
	}
	serveErrors := make(chan error, 1)
	go func() { serveErrors <- h.gateway.Serve(h.callerListener) }()
	h.log.Infof("Listening for callers on %s and for peers on %s.", h.Settings.Callers, h.Settings.Peers)
	select {
	case <-ctx.Done():
	case err := <-serveErrors:
		return errors.Wrapf(err, "serve callers on %s", h.Settings.Callers)
	}
	err := h.drain()
	stop()
	h.background.Wait()
	h.close()
	return err
}

// drain leaves the fleet without interrupting a request. The services are
// handed over first, then the requests finish, then the session is closed.
func (h *Host) drain() error {
	h.log.Info("Host is draining.")
	h.handOver()
	err := h.gateway.Drain(context.Background())
	// This host may have taken over the services of a failed owner while the
	// last streams were running.
	h.handOver()
	closeCtx, cancel := clockwork.WithTimeout(context.Background(), h.Clock, handoverTimeout)
	defer cancel()
	h.permitClient.drainReleases(closeCtx)
	if closeErr := h.session.Close(closeCtx); closeErr != nil {
		h.log.Warnf("Cannot close the session, which stays open until its lease expires: %v.", closeErr)
	}
	if h.state != nil {
		h.state.TransferLeadership(closeCtx)
	}
	if err != nil {
		return errors.Wrap(err, "drain the gateway")
	}
	h.log.Info("Host is drained.")
	return nil
}

// logPause logs that this process stood still. Timers that were due meanwhile fire afterwards.
func (h *Host) logPause(pause time.Duration) {
	h.log.WithField("Pause", pause).Warnf("This process stood still for %s.", pause)
}

// logPeerError logs a connection that ended before both peers were
// authenticated. A peer with a different key closes the connection first and
// reports the key mismatch in its own log.
func (h *Host) logPeerError(err error) {
	if errors.Is(err, peer.ErrKeyMismatch) || errors.Is(err, peer.ErrInvalidFrame) {
		h.log.Warnf("Peer connection rejected: %v.", err)
		return
	}
	h.log.Debugf("Peer connection ended early: %v.", err)
}

func (h *Host) handOver() {
	ctx, cancel := clockwork.WithTimeout(context.Background(), h.Clock, handoverTimeout)
	defer cancel()
	h.ownedServices.handOverAll(ctx)
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

// servePeers serves peer frames and operator calls on one listener.
func (h *Host) servePeers() {
	splitter := sniff.NewSplitter(h.peerListener, peer.Magic, h.Clock)
	operators := &fasthttp.Server{Handler: h.operatorHandler(), MaxRequestBodySize: maxOperatorBody}
	go func() { _ = operators.Serve(splitter.Unmatched()) }()
	go func() {
		_ = splitter.Serve(func(conn net.Conn) {
			if err := h.node.ServeConn(conn); err != nil {
				h.logPeerError(err)
			}
		})
	}()
}
