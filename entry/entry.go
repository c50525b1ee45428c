// Package entry implements a host of the role Entry: it accepts callers'
// requests and chooses a target for each of them without asking other hosts.
//
// An entry host gets its state view from a state host (hub): the fleet
// configuration in force, outages, the targets and the number of entry hosts.
// While no hub can be reached, it continues with the last view that it
// received. Fleet-wide limits, such as the request rate of a target that warms
// up or the number of retries, are divided evenly among the entry hosts.
//
// # Usage
//
//	daemon, err := entry.New(entry.Dependencies{Settings: loaded, Protocol: protocol, Clock: clock, Log: log, Scope: scope})
//	err = daemon.Run(ctx) // until ctx ends, then drains
package entry

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/meter"
	"comfreytiller.dev/common/pauses"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/gateway/intake"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/settings"
)

const (
	// maxHeaderBytes limits the size of a request's header; the fleet
	// configuration may set a lower limit, or a higher one up to
	// fleet.HighestHeaderBytes.
	maxHeaderBytes = 32 << 10
	// maxHeaderCount is the number of the shortest fields in maxHeaderBytes: their cost is part of
	// what is held for callers.
	maxHeaderCount = maxHeaderBytes / len("a:\r\n")
	maxURIBytes    = 16 << 10
	// maxHeadBufferBytes is the largest buffer for a header and a URI that the fleet configuration
	// may call for.
	maxHeadBufferBytes = 512 << 10
	maxBodyBytes       = fleet.HighestBodyBytes
	// maxResponseBytes limits the size of a non-streaming response, maxBufferedBytes
	// that of all of them together. Small hosts have little more than 128 MB.
	maxResponseBytes = 8 << 20
	maxBufferedBytes = 24 << 20
	// maxAttempts is the maximum number of targets that one request is sent to.
	maxAttempts = 4
	// retryBackoff is the mean pause before a retry.
	retryBackoff = 5 * time.Millisecond
	// preDrainDelay is how long a stopping host serves as before while it
	// reports not ready. The balancer checks once a second and needs two failed
	// checks, and callers have requests on their way.
	preDrainDelay = 3 * time.Second
	// exitReserve is the part of the drain timeout that remains after the last
	// request has been abandoned.
	exitReserve = 400 * time.Millisecond
	// acceptBackoff is the pause after a connection could not be accepted.
	acceptBackoff = 100 * time.Millisecond
)

// Dependencies holds what an entry host is built from. It does not change while
// the host runs.
type Dependencies struct {
	Settings *settings.Settings
	Protocol protocol.Protocol
	// Key is the secret that hosts share; empty in a trusted network.
	Key   []byte
	Clock clockwork.Clock
	Log   *logrus.Logger
	Scope tally.Scope
	// Metrics serves the metrics of Scope; nil to serve none.
	Metrics fasthttp.RequestHandler
	// WrapConn wraps each connection with another host; nil wraps none.
	WrapConn func(net.Conn) net.Conn
}

// Entry is a daemon of the role Entry.
type Entry struct {
	Dependencies

	log      *logrus.Logger
	node     *peer.Node
	view     *stateView
	selector *targetSelector
	crashes  *crashGuard
	budget   *retryBudget
	watcher  *hubWatcher
	checker  *viewChecker
	origins  *streamOrigins
	pauses   *pauses.Monitor
	deltas   recentDeltas
	views    *viewSource
	sender   protocol.Sender
	dialer   *targetDialer
	gateway  *gateway.Gateway

	callerListener net.Listener
	adminListener  net.Listener
	peerListener   net.Listener
}

// New opens the listeners. Requests are served once Run is called.
func New(dependencies Dependencies) (*Entry, error) {
	e := &Entry{Dependencies: dependencies, log: logs.ForComponent(dependencies.Log, "Entry")}
	var err error
	if e.callerListener, err = net.Listen("tcp", e.Settings.Callers); err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", e.Settings.Callers)
	}
	if e.adminListener, err = net.Listen("tcp", e.Settings.Admin); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "listen for admin on %s", e.Settings.Admin), e.callerListener.Close())
	}
	if e.peerListener, err = net.Listen("tcp", e.Settings.Peers); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "listen for peers on %s", e.Settings.Peers), e.callerListener.Close(), e.adminListener.Close())
	}
	e.dialer = newTargetDialer(e)
	e.node = peer.NewNode(peer.Config{
		Host:       e.Settings.Host,
		Key:        e.Key,
		Clock:      e.Clock,
		WrapConn:   meter.NewControlTraffic(e.Scope.SubScope("peer")).WrapAfter(e.WrapConn),
		Relay:      e.dialer.relay,
		MaxRelayed: maxRelayed(e.Settings.Descriptors),
		OnDropped:  logs.DroppedMessage[peer.Message](e.log),
	}, e.receive)
	e.view = newStateView(e.Clock)
	e.sender = e.Protocol.NewSender(e.Clock, e.dialer)
	e.crashes = newCrashGuard(e)
	e.selector = newTargetSelector(e)
	e.budget = newRetryBudget(e.Settings.Retries, e.selector.hosts.count, e.Clock)
	if e.selector.fair != nil {
		e.budget.room = e.selector.fair.retryShare
	}
	e.watcher = newHubWatcher(e)
	e.checker = newViewChecker(e)
	e.views = newViewSource(e)
	e.origins = newStreamOrigins(e)
	e.pauses = pauses.New(e.Clock, e.logPause)
	e.gateway = e.newGateway()
	return e, nil
}

func (e *Entry) newGateway() *gateway.Gateway {
	return gateway.New(gateway.Dependencies{
		Admitter:         e.selector,
		Catalog:          e.view,
		Authority:        e.view,
		Sender:           e.sender,
		Clock:            e.Clock,
		Logger:           e.Log,
		Scope:            e.Scope.SubScope("gateway"),
		Host:             e.Settings.Host,
		ReadinessCheck:   e.checkReady,
		Codec:            e.Protocol.NewCodec(e.view),
		RetryBudget:      e.budget,
		OnTargetResponse: e.selector.recordResponse,
		StreamOrigins:    e.origins,
		OnTargetSilence:  e.selector.recordSilence,
		RetryAfter:       e.selector.fair.retryAfterFunc(),
		OnFirstByte:      e.selector.recordFirstByte,
		LongestPause:     e.pauses.LongestSince,
	},
		gateway.WithCallsOnly(),
		gateway.WithTargetErrors(),
		gateway.WithStrictRetryBudget(),
		gateway.WithHeaderLimits(maxHeaderBytes, maxHeaderCount, maxURIBytes),
		gateway.WithMaxHeadBuffer(maxHeadBufferBytes),
		gateway.WithMaxBodyBytes(maxBodyBytes),
		gateway.WithMaxResponseBytes(maxResponseBytes),
		gateway.WithMaxBufferedBytes(maxBufferedBytes),
		gateway.WithRequestMemory(requestMemory(e.Settings.Memory)),
		gateway.WithMaxConnections(maxCallers(e.Settings.Descriptors)),
		gateway.WithRetries(maxAttempts, e.Settings.Retries.Share),
		gateway.WithBackoff(retryBackoff),
		gateway.WithMinDrainDuration(0),
		gateway.WithDrainTimeout(max(e.Settings.DrainTimeout-preDrainDelay-exitReserve, 0)),
		gateway.WithRequestsDuringDrain(),
	)
}

// Addresses returns the listen addresses for callers and for the balancer.
func (e *Entry) Addresses() (callers, admin string) {
	return e.callerListener.Addr().String(), e.adminListener.Addr().String()
}

// SetStateReplicas replaces the configured addresses of the hubs.
func (e *Entry) SetStateReplicas(addresses []string) { e.watcher.setConfiguredHubs(addresses) }

// Run serves until ctx ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for _, run := range []func(context.Context){e.watcher.run, e.checker.run, e.origins.run, e.selector.probeUnreachable, e.dialer.run, e.pauses.Run} {
		running.Go(func() { run(background) })
	}
	running.Go(e.serveAdmin)
	running.Go(e.servePeers)
	served := make(chan error, 1)
	go func() { served <- e.gateway.Serve(e.callerListener) }()
	e.log.WithField("Callers", e.callerListener.Addr().String()).Info("Listening for callers.")
	select {
	case <-ctx.Done():
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	}
	err := e.drain()
	stop()
	if closeErr := e.adminListener.Close(); closeErr != nil {
		e.log.Debugf("Admin listener was already closed: %v.", closeErr)
	}
	if closeErr := e.peerListener.Close(); closeErr != nil {
		e.log.Debugf("Peer listener was already closed: %v.", closeErr)
	}
	e.node.Close()
	e.sender.Close()
	running.Wait()
	return err
}

// logPause logs that this process stood still. Timers that were due meanwhile fire afterwards.
func (e *Entry) logPause(pause time.Duration) {
	e.log.WithField("Pause", pause).Warnf("This process stood still for %s.", pause)
}

// drain reports not ready, waits for callers to go to other hosts, and then
// drains the gateway.
func (e *Entry) drain() error {
	e.log.WithField("InFlight", e.gateway.InFlight()).Info("Draining requests in flight.")
	if e.selector.fair != nil {
		e.selector.fair.drain()
	}
	e.gateway.DisableKeepAlive()
	timer := e.Clock.NewTimer(preDrainDelay)
	<-timer.Chan()
	if err := e.gateway.Drain(context.Background()); err != nil {
		e.log.Warnf("Drain ended before all requests finished: %v.", err)
		return nil
	}
	e.log.Info("Drain completed.")
	return nil
}

// servePeers serves the connections of other hosts until the listener is closed.
func (e *Entry) servePeers() {
	for {
		conn, err := e.peerListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Warnf("Accepting a peer connection failed, trying again: %v.", err)
			<-e.Clock.After(acceptBackoff)
			continue
		}
		go func() {
			if err := e.node.ServeConn(conn); err != nil {
				e.log.Debugf("Peer connection from %s failed: %v.", conn.RemoteAddr(), err)
			}
		}()
	}
}

// receive handles the messages of other hosts, which ask for large deltas of the state view and
// for the whole view.
func (e *Entry) receive(from string, message peer.Message, reply peer.Reply) {
	if request, ok := message.(peer.WatchRequest); ok && request.StateOnly && reply != nil {
		if request.IsFirst {
			reply(e.views.response(request))
			return
		}
		reply(e.deltas.response(request))
		return
	}
	e.log.Warnf("Rejected message of type %T from %s: entry hosts don't handle it.", message, from)
	if reply != nil {
		reply(peer.Failure{Message: "not for this host"})
	}
}

// checkReady returns an error if the balancer should not send requests to this
// host.
func (e *Entry) checkReady() error {
	if e.selector.readyCount() == 0 {
		return errors.New("no target is known yet")
	}
	if e.dialer.isCutOff() {
		return errors.New("this host is cut off from all targets")
	}
	return nil
}

// serveAdmin serves readiness and metrics.
func (e *Entry) serveAdmin() {
	server := intake.NewServer(intake.ServerConfig{
		MaxBodyBytes:   maxAdminBodyBytes,
		MaxConnections: maxAdmins(e.Settings.Descriptors),
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch path := string(ctx.Path()); {
			case path == e.Protocol.ReadinessPath:
				if err := e.gateway.CheckReady(); err != nil || e.gateway.KeepAliveDisabled() {
					ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
					return
				}
				ctx.SetBodyString("ready\n")
			case path == "/metrics" && e.Metrics != nil:
				e.Metrics(ctx)
			default:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	})
	budget := intake.NewBudget(intake.BudgetConfig{Clock: e.Clock, Limit: adminMemory, Log: e.log, Scope: e.Scope.SubScope("admin")})
	if err := server.Serve(intake.NewListener(e.adminListener, intake.ListenerConfig{Budget: budget, MaxConnections: maxAdmins(e.Settings.Descriptors)})); err != nil {
		e.log.Debugf("Admin server stopped: %v.", err)
	}
}
