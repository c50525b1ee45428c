// Package hub is a host of the role State: it keeps a state replica, hears
// targets and operators, and tells the entry hosts what is in force and which
// targets there are.
//
// Every hub answers every question. What operators order is committed by the
// quorum before it is acknowledged. What targets say is soft state: a hub keeps
// it in memory, passes changes on to the other hubs at once and everything it
// heard itself again every second.
//
// A hub that has lost touch with a majority of the replicas says so: it refuses
// targets and operators, and entry hosts go on to another one.
//
// # Usage
//
//	daemon, err := hub.New(hub.Dependencies{Settings: loaded, Protocol: protocol, Clock: clock, Log: log, Scope: scope})
//	err = daemon.Run(ctx)
package hub

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/comfreytiller/state"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/meter"
	"comfreytiller.dev/common/sniff"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target/roster"
)

const (
	// stopTimeout bounds the handover of the lead at shutdown.
	stopTimeout = time.Second
	// maxControlBody is the largest body of a target's or operator's call: the
	// largest text with its framing.
	maxControlBody = 8 << 20
	// controlReadTimeout bounds the reading of one such call.
	controlReadTimeout = 10 * time.Second
)

// Dependencies are what a hub works with for its whole life.
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

// Hub is one daemon of the role State.
type Hub struct {
	Dependencies

	log      *logrus.Logger
	source   uint64
	node     *peer.Node
	replica  *state.Replica
	proposer *session.Client
	table    *roster.Table
	watchers *watchers
	gossip   *gossip
	loads    *loads
	steward  *steward
	touch    *touch

	peers net.Listener
	admin net.Listener
}

// New opens the listener and the state replica. It serves from Run on.
func New(dependencies Dependencies) (*Hub, error) {
	own := *dependencies.Settings
	dependencies.Settings = &own
	listener, err := net.Listen("tcp", own.Peers)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", own.Peers)
	}
	own.Peers = listener.Addr().String()
	h := &Hub{
		Dependencies: dependencies,
		log:          logs.Part(dependencies.Log, "Hub"),
		source:       rand.Uint64(),
		table:        roster.NewTable(),
		peers:        listener,
	}
	h.touch = newTouch(h.Clock)
	h.watchers = newWatchers(h.Clock)
	h.gossip = newGossip(h)
	h.loads = newLoads(h.Clock)
	h.steward = newSteward(h)
	h.node = peer.NewNode(peer.Config{
		Host:     own.Host,
		Key:      h.Key,
		Clock:    h.Clock,
		WrapConn: meter.NewControl(h.Scope.SubScope("peer")).Wrap,
	}, h.receive)
	h.proposer = session.New(session.Config{Host: own.Host, Replicas: []string{own.Peers}, Clock: h.Clock}, h.node)
	if h.replica, err = h.openReplica(); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	if h.admin, err = net.Listen("tcp", own.Admin); err != nil {
		h.replica.Close()
		return nil, errors.Join(errors.Wrapf(err, "listen for admin on %s", own.Admin), listener.Close())
	}
	return h, nil
}

// openReplica opens the replica. The one at the lowest address makes the cluster
// when the fleet starts for the first time.
func (h *Hub) openReplica() (*state.Replica, error) {
	config := state.Config{
		Host: h.Settings.Host, Address: h.Settings.Peers, Folder: h.Settings.State.Folder,
		Node: h.node, Clock: h.Clock, Log: logs.Part(h.Log, "State"),
		Cluster: h.Settings.State.Cluster, Replicas: h.Settings.StateReplicas,
		Machine: registry.NewMachine(registry.WithFleetReader(h.Protocol.ReadFleet)),
	}
	if h.Settings.State.First && h.Settings.Peers == slices.Min(h.Settings.StateReplicas) {
		config.Bootstrap = true
		replica, err := state.Open(config)
		switch {
		case err == nil:
			return replica, nil
		case !errors.Is(err, state.ErrClusterRuns) && !state.IsNotEmpty(err):
			return nil, err
		}
		h.log.Infof("Makes no cluster: %v.", err)
		config.Bootstrap = false
		config.Machine = registry.NewMachine(registry.WithFleetReader(h.Protocol.ReadFleet))
	}
	return state.Open(config)
}

// Watch replaces the addresses of the other state replicas by those of new
// settings.
func (h *Hub) Watch(addresses []string) { h.steward.use(addresses) }

// Address returns the address for hosts, targets and operators.
func (h *Hub) Address() string { return h.peers.Addr().String() }

// voters is the number of voters that the cluster is to have.
func (h *Hub) voters() int { return 2*h.Settings.State.Tolerates + 1 }

// Run serves until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	splitter := sniff.New(h.peers, peer.Magic, h.Clock)
	control := &fasthttp.Server{
		Handler:               h.Protocol.NewControl(&control{hub: h}),
		MaxRequestBodySize:    maxControlBody,
		ReadTimeout:           controlReadTimeout,
		NoDefaultServerHeader: true,
		Logger:                quiet{},
	}
	var served sync.WaitGroup
	served.Go(func() {
		if err := control.Serve(splitter.Rest()); err != nil {
			h.log.Warnf("Control calls are no longer served: %v.", err)
		}
	})
	served.Go(h.serveAdmin)
	served.Go(func() {
		err := splitter.Serve(h.servePeer)
		h.log.Debugf("Peers are no longer served: %v.", err)
	})
	for _, run := range []func(context.Context){h.keepTouch, h.gossip.run, h.gossip.runLoads, h.steward.run, h.sweep} {
		served.Go(func() { run(background) })
	}
	h.log.WithField("Address", h.Settings.Peers).Info("Serves hosts, targets and operators.")
	<-ctx.Done()
	h.log.Info("Stops.")
	closing, cancel := clockwork.WithTimeout(context.Background(), h.Clock, stopTimeout)
	defer cancel()
	h.replica.Yield(closing)
	stop()
	err := errors.Join(h.peers.Close(), h.admin.Close())
	h.node.Close()
	h.replica.Close()
	return err
}

// serveAdmin serves health and metrics.
func (h *Hub) serveAdmin() {
	server := &fasthttp.Server{
		NoDefaultServerHeader: true,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch path := string(ctx.Path()); {
			case path == "/healthz" && h.inTouch():
				ctx.SetBodyString("ok\n")
			case path == "/healthz":
				ctx.Error("no touch with a majority\n", fasthttp.StatusServiceUnavailable)
			case path == "/metrics" && h.Metrics != nil:
				h.Metrics(ctx)
			default:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	}
	if err := server.Serve(h.admin); err != nil {
		h.log.Debugf("Metrics are no longer served: %v.", err)
	}
}

// quiet drops the HTTP server's own messages; what it refuses is answered.
type quiet struct{}

// Printf drops a message.
func (quiet) Printf(string, ...any) {}

func (h *Hub) servePeer(conn net.Conn) {
	if err := h.node.ServeConn(conn); err != nil {
		h.log.Debugf("Peer connection from %s ended early: %v.", conn.RemoteAddr(), err)
	}
}

// sweep marks silent targets.
func (h *Hub) sweep(ctx context.Context) {
	const (
		sweepInterval = 500 * time.Millisecond
		// silentAfter is three intervals of the slowest target.
		silentAfter = 4 * time.Second
	)
	ticks.Every(ctx, h.Clock, sweepInterval, func(context.Context) {
		h.table.Sweep(h.Clock.Now(), silentAfter)
	})
}

// receive takes the messages of other hosts.
func (h *Hub) receive(from string, message peer.Message, reply peer.Reply) {
	if reply == nil {
		reply = func(peer.Message) {}
	}
	switch m := message.(type) {
	case peer.QuorumMessages:
		h.replica.Deliver(m)
	case peer.ProposeRequest:
		go h.replica.Propose(m, reply)
	case peer.IdentityRequest:
		reply(h.replica.Identity())
	case peer.WatchRequest:
		go h.watched(m, reply)
	case peer.RosterUpdate:
		h.gossip.take(m)
	case peer.JoinRequest:
		h.steward.ask(m)
		reply(peer.Ack{})
	default:
		h.log.Warnf("Message of type %T from %s is not for this host.", message, from)
		reply(peer.Failure{Message: "not for this host"})
	}
}
