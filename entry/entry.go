// Package entry is a host of the role Entry: it takes callers' requests and
// decides by itself which target each one goes to.
//
// What it knows comes from a hub, one of the hosts that keep the state: the fleet
// in force, outages, the targets and the number of entry hosts. It goes on with
// what it last knew while no hub can be reached. What all hosts together may do,
// such as sending to a target that warms up or sending requests once more, each
// does in its share.
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
	"comfreytiller.dev/gateway"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/settings"
)

const (
	// headerBytes bounds a request's header; the fleet text may ask for less.
	headerBytes = 32 << 10
	headerCount = 128
	uriBytes    = 16 << 10
	bodyBytes   = 8 << 20
	// mostTries bounds the targets that one request is offered to.
	mostTries = 4
	// backoff is the mean pause before a request is sent once more.
	backoff = 5 * time.Millisecond
	// leaveTime is how long a stopping host goes on as before, but for its
	// readiness: the balancer looks once a second and wants two misses, and
	// callers have requests on their way.
	leaveTime = 3 * time.Second
	// exitTime is left of the time for a stop after the last request was given up.
	exitTime = 400 * time.Millisecond
)

// Dependencies are what an entry host works with for its whole life.
type Dependencies struct {
	Settings *settings.Settings
	Protocol protocol.Protocol
	// Key is the key that hosts share; empty in a trusted network.
	Key   []byte
	Clock clockwork.Clock
	Log   *logrus.Logger
	Scope tally.Scope
	// Metrics serves what Scope reports; nil for none.
	Metrics fasthttp.RequestHandler
}

// Entry is one daemon of the role Entry.
type Entry struct {
	Dependencies

	log     *logrus.Logger
	node    *peer.Node
	view    *fleetView
	targets *targets
	budget  *retryBudget
	watcher *watcher
	sender  protocol.Sender
	gateway *gateway.Gateway

	callers net.Listener
	admin   net.Listener
}

// New opens the listeners. It serves from Run on.
func New(dependencies Dependencies) (*Entry, error) {
	e := &Entry{Dependencies: dependencies, log: logs.Part(dependencies.Log, "Entry")}
	var err error
	if e.callers, err = net.Listen("tcp", e.Settings.Callers); err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", e.Settings.Callers)
	}
	if e.admin, err = net.Listen("tcp", e.Settings.Admin); err != nil {
		return nil, errors.Join(errors.Wrapf(err, "listen for admin on %s", e.Settings.Admin), e.callers.Close())
	}
	e.node = peer.NewNode(peer.Config{
		Host:     e.Settings.Host,
		Key:      e.Key,
		Clock:    e.Clock,
		WrapConn: meter.NewControl(e.Scope.SubScope("peer")).Wrap,
	}, e.receive)
	e.view = newFleetView()
	e.sender = e.Protocol.NewSender(e.Clock)
	e.targets = newTargets(e)
	e.budget = newRetryBudget(e.Settings.Retries, e.targets.hosts.count, e.Clock)
	e.watcher = newWatcher(e)
	e.gateway = e.newGateway()
	return e, nil
}

func (e *Entry) newGateway() *gateway.Gateway {
	return gateway.New(gateway.Dependencies{
		Admitter:  e.targets,
		Catalog:   e.view,
		Authority: e.view,
		Sender:    e.sender,
		Clock:     e.Clock,
		Logger:    e.Log,
		Scope:     e.Scope.SubScope("gateway"),
		Host:      e.Settings.Host,
		Ready:     e.ready,
		Face:      e.Protocol.NewFace(e.view),
		Budget:    e.budget,
		Loads:     e.targets.told,
	},
		gateway.WithCallsOnly(),
		gateway.WithTargetErrors(),
		gateway.WithStrictBudget(),
		gateway.WithHeaderLimits(headerBytes, headerCount, uriBytes),
		gateway.WithBodyBytes(bodyBytes),
		gateway.WithRetries(mostTries, e.Settings.Retries.Share),
		gateway.WithBackoff(backoff),
		gateway.WithLinger(0),
		gateway.WithDrainLimit(max(e.Settings.DrainTimeout-leaveTime-exitTime, 0)),
		gateway.WithLateRequests(),
	)
}

// Addresses returns the addresses for callers and for the balancer.
func (e *Entry) Addresses() (callers, admin string) {
	return e.callers.Addr().String(), e.admin.Addr().String()
}

// Watch replaces the addresses of the hubs by those of new settings.
func (e *Entry) Watch(addresses []string) { e.watcher.use(addresses) }

// Run serves until ctx ends, then drains.
func (e *Entry) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	for _, run := range []func(context.Context){e.watcher.run, e.targets.run} {
		running.Go(func() { run(background) })
	}
	running.Go(e.serveAdmin)
	served := make(chan error, 1)
	go func() { served <- e.gateway.Serve(e.callers) }()
	e.log.WithField("Callers", e.callers.Addr().String()).Info("Serves callers.")
	select {
	case <-ctx.Done():
	case err := <-served:
		return errors.Wrap(err, "serve callers")
	}
	err := e.drain()
	stop()
	if closeErr := e.admin.Close(); closeErr != nil {
		e.log.Debugf("Admin listener is closed already: %v.", closeErr)
	}
	e.node.Close()
	e.sender.Close()
	running.Wait()
	return err
}

// drain lets callers go elsewhere first and then ends.
func (e *Entry) drain() error {
	e.log.WithField("InFlight", e.gateway.InFlight()).Info("Drains.")
	e.gateway.Leave()
	timer := e.Clock.NewTimer(leaveTime)
	<-timer.Chan()
	if err := e.gateway.Drain(context.Background()); err != nil {
		e.log.Warnf("Drain is cut short: %v.", err)
		return nil
	}
	e.log.Info("Drained.")
	return nil
}

// receive refuses messages: other hosts ask an entry host for nothing.
func (e *Entry) receive(from string, message peer.Message, reply peer.Reply) {
	e.log.Warnf("Message of type %T from %s is not for this host.", message, from)
	if reply != nil {
		reply(peer.Failure{Message: "not for this host"})
	}
}

// ready tells why the balancer should send nothing here.
func (e *Entry) ready() error {
	if e.targets.count() == 0 {
		return errors.New("no target is known yet")
	}
	return nil
}

// serveAdmin serves readiness and metrics.
func (e *Entry) serveAdmin() {
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch path := string(ctx.Path()); {
			case path == e.Protocol.ReadyPath:
				if err := e.gateway.CheckReady(); err != nil || e.gateway.Leaving() {
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
	}
	if err := server.Serve(e.admin); err != nil {
		e.log.Debugf("Readiness is no longer served: %v.", err)
	}
}
