// Package hub implements a host of the role State: it runs a state replica,
// serves targets and operators, and sends the state view and the roster of
// targets to the entry hosts.
//
// Every hub serves every call. Changes by operators are committed by the quorum
// before they are acknowledged. Announcements of targets are soft state: a hub
// keeps them in memory, forwards changes to the other hubs at once, and every
// half second sends them the announcements that it received itself.
//
// A hub that has lost contact with a majority of the replicas reports this: it
// rejects calls of targets and operators, and entry hosts switch to another
// hub.
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

	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/comfreytiller/state"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/meter"
	"comfreytiller.dev/common/sniff"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/gateway/intake"
	"comfreytiller.dev/ledger"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target/roster"
)

const (
	// leadershipTransferTimeout limits the transfer of leadership at shutdown.
	leadershipTransferTimeout = time.Second
	// maxControlBodyBytes is the maximum size of the body of a target's or
	// operator's call. It has room for the largest fleet configuration with its
	// framing.
	maxControlBodyBytes = 8 << 20
	// controlReadTimeout limits the time to read one such call.
	controlReadTimeout = 10 * time.Second
	// maxBulkShare is the share of the network link that rosters, large changes and digests
	// may use. The messages of the quorum and small changes find the rest free.
	maxBulkShare = 0.6
	// bytesPerMegabit converts settings.Settings.Bandwidth.
	bytesPerMegabit = 1e6 / 8
)

// Dependencies holds what a hub is built from. It does not change while the hub
// runs.
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
	// LedgerOptions configure the ledgers of the state replica and of the log of streams.
	LedgerOptions []ledger.Option
}

// Hub is a daemon of the role State.
type Hub struct {
	Dependencies

	log          *logrus.Logger
	rosterSource uint64
	node         *peer.Node
	replica      *state.Replica
	proposer     *session.Client
	roster       *roster.Table
	watchers     *watchers
	balance      *hostBalance
	gossip       *gossip
	loads        *loadTracker
	quarantine   *quarantine.Board
	origins      *originRelay
	membership   *membershipManager
	recovery     *recoveryObserver
	contact      *majorityContact
	voters       *voters
	replies      replyCounter
	meters       firstViewMeters
	deltas       *deltaSpread
	packed       *packedRoster
	// fleetVersions tells since when the latest configuration is known here.
	fleetVersions *fleetVersions
	rollouts      *rolloutManager

	peerListener  net.Listener
	adminListener net.Listener
}

// New opens the listeners and the state replica. Calls are served once Run is
// called.
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
		log:          logs.ForComponent(dependencies.Log, "Hub"),
		rosterSource: rand.Uint64(),
		roster:       roster.NewTable(),
		peerListener: listener,
	}
	h.contact = newMajorityContact(h.Clock)
	h.watchers = newWatchers(h.Clock)
	h.balance = newHostBalance(h.Clock)
	h.meters = newFirstViewMeters(h.Scope)
	h.gossip = newGossip(h)
	h.voters = newVoters(h)
	h.loads = newLoadTracker(h.Clock)
	h.quarantine = quarantine.NewBoard()
	h.fleetVersions = &fleetVersions{clock: h.Clock}
	h.rollouts = newRolloutManager(h)
	h.packed = &packedRoster{hub: h}
	h.deltas = newDeltaSpread(h.Clock, maxBulkShare*own.Bandwidth*bytesPerMegabit)
	h.membership = newMembershipManager(h)
	h.recovery = &recoveryObserver{hub: h}
	h.node = peer.NewNode(peer.Config{
		Host:      own.Host,
		Key:       h.Key,
		Clock:     h.Clock,
		BulkRate:  maxBulkShare * own.Bandwidth * bytesPerMegabit,
		WrapConn:  meter.NewControlTraffic(h.Scope.SubScope("peer")).WrapAfter(h.WrapConn),
		OnDropped: logs.DroppedMessage[peer.Message](h.log),
	}, h.receive)
	h.proposer = session.New(session.Config{Host: own.Host, Replicas: []string{own.Peers}, Clock: h.Clock}, h.node)
	if h.replica, err = h.openReplica(); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	h.origins = newOriginRelay(h)
	if h.adminListener, err = net.Listen("tcp", own.Admin); err != nil {
		h.replica.Close()
		return nil, errors.Join(errors.Wrapf(err, "listen for admin on %s", own.Admin), listener.Close())
	}
	return h, nil
}

// openReplica opens the state replica. When the fleet starts for the first
// time, the replica with the lowest address creates the cluster.
func (h *Hub) openReplica() (*state.Replica, error) {
	config := state.Config{
		Host: h.Settings.Host, Address: h.Settings.Peers, DataDir: h.Settings.State.Folder,
		Node: h.node, Clock: h.Clock, Log: logs.ForComponent(h.Log, "State"),
		ClusterName: h.Settings.State.Cluster, Replicas: h.Settings.StateReplicas,
		Machine:       registry.NewMachine(registry.WithFleetParser(h.Protocol.ParseFleet)),
		LedgerOptions: h.LedgerOptions, LinkRate: h.Settings.Bandwidth * bytesPerMegabit,
	}
	if h.Settings.State.First && h.Settings.Peers == slices.Min(h.Settings.StateReplicas) {
		config.Bootstrap = true
		replica, err := state.Open(config)
		switch {
		case err == nil:
			return replica, nil
		case !errors.Is(err, state.ErrClusterExists) && !state.IsStorageNotEmpty(err):
			return nil, err
		}
		h.log.Infof("No new cluster was created: %v.", err)
		config.Bootstrap = false
		config.Machine = registry.NewMachine(registry.WithFleetParser(h.Protocol.ParseFleet))
	}
	replica, err := state.Open(config)
	if errors.Is(err, quorum.ErrBootstrapIncomplete) {
		h.log.WithError(err).Warn("Creating the cluster again: this replica stopped while it did so.")
		config.Bootstrap = true
		return state.Open(config)
	}
	return replica, err
}

// SetStateReplicas replaces the configured addresses of the state replicas.
func (h *Hub) SetStateReplicas(addresses []string) { h.membership.setConfiguredReplicas(addresses) }

// Address returns the listen address for hosts, targets and operators.
func (h *Hub) Address() string { return h.peerListener.Addr().String() }

// desiredVoters returns the number of voters that the cluster should have.
func (h *Hub) desiredVoters() int { return 2*h.Settings.State.Tolerates + 1 }

// Run serves until ctx ends.
func (h *Hub) Run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	connections := maxConnections(h.Settings.Descriptors)
	splitter := sniff.NewSplitter(h.peerListener, peer.Magic, h.Clock, sniff.WithMaxUnknown(maxUnknownConnections(h.Settings.Descriptors)))
	control := intake.NewServer(intake.ServerConfig{
		Handler:        h.Protocol.NewControlHandler(h.newControl()),
		MaxBodyBytes:   maxControlBodyBytes,
		ReadTimeout:    controlReadTimeout,
		MaxConnections: connections,
	})
	budget := intake.NewBudget(intake.BudgetConfig{Clock: h.Clock, Limit: callMemory(h.Settings.Memory), Log: h.log, Scope: h.Scope.SubScope("control")})
	var served sync.WaitGroup
	served.Go(func() {
		counted := meter.WrapListener(splitter.Unmatched(), h.node.RecordSent)
		listener := intake.NewListener(counted, intake.ListenerConfig{Budget: budget, MaxConnections: connections})
		if err := control.Serve(listener); err != nil {
			h.log.Warnf("Control server stopped: %v.", err)
		}
	})
	served.Go(h.serveAdmin)
	served.Go(func() {
		err := splitter.Serve(h.servePeer)
		h.log.Debugf("Peer server stopped: %v.", err)
	})
	for _, run := range []func(context.Context){h.maintainContact, h.reportContact, h.gossip.runRefresh, h.gossip.runChanges, h.gossip.runLoads, h.gossip.runRevisions, h.voters.run, h.recordFleetVersions, h.membership.run, h.recovery.run, h.markSilentTargets, h.updateQuarantine, h.rollouts.run, h.rollouts.runSums, h.origins.run, h.logTraffic} {
		served.Go(func() { run(background) })
	}
	var stored sync.WaitGroup
	stored.Go(func() { h.origins.log.run(background) })
	h.log.WithField("Address", h.Settings.Peers).Info("Listening for hosts, targets and operators.")
	<-ctx.Done()
	h.log.Info("Shutting down.")
	transferCtx, cancel := clockwork.WithTimeout(context.Background(), h.Clock, leadershipTransferTimeout)
	defer cancel()
	h.replica.TransferLeadership(transferCtx)
	stop()
	err := errors.Join(h.peerListener.Close(), h.adminListener.Close())
	h.node.Close()
	stored.Wait()
	h.replica.Close()
	return err
}

// serveAdmin serves health and metrics.
func (h *Hub) serveAdmin() {
	server := intake.NewServer(intake.ServerConfig{
		MaxBodyBytes:   maxAdminBodyBytes,
		MaxConnections: maxAdmins(h.Settings.Descriptors),
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch path := string(ctx.Path()); {
			case path == "/healthz" && h.hasMajorityContact():
				ctx.SetBodyString("ok\n")
			case path == "/healthz":
				ctx.Error("no touch with a majority\n", fasthttp.StatusServiceUnavailable)
			case path == "/metrics" && h.Metrics != nil:
				h.Metrics(ctx)
			default:
				ctx.SetStatusCode(fasthttp.StatusNotFound)
			}
		},
	})
	budget := intake.NewBudget(intake.BudgetConfig{Clock: h.Clock, Limit: adminMemory, Log: h.log, Scope: h.Scope.SubScope("admin")})
	if err := server.Serve(intake.NewListener(h.adminListener, intake.ListenerConfig{Budget: budget, MaxConnections: maxAdmins(h.Settings.Descriptors)})); err != nil {
		h.log.Debugf("Admin server stopped: %v.", err)
	}
}

func (h *Hub) servePeer(conn net.Conn) {
	if err := h.node.ServeConn(conn); err != nil {
		h.log.Debugf("Peer connection from %s failed: %v.", conn.RemoteAddr(), err)
	}
}

// markSilentTargets sweeps the roster at intervals until ctx ends.
func (h *Hub) markSilentTargets(ctx context.Context) {
	const (
		sweepInterval = 500 * time.Millisecond
		// silentAfter is three announcement intervals of the slowest target.
		silentAfter = 4 * time.Second
	)
	ticks.Every(ctx, h.Clock, sweepInterval, func(context.Context) {
		h.roster.Sweep(h.Clock.Now(), silentAfter)
	})
}

// receive handles the messages of other hosts.
func (h *Hub) receive(from string, message peer.Message, reply peer.Reply) {
	if reply == nil {
		reply = func(peer.Message) {}
	}
	switch m := message.(type) {
	case peer.QuorumMessages:
		h.replica.Deliver(m)
	case peer.ProposeRequest:
		go h.replica.Propose(m, reply)
	case peer.HostsRequest:
		reply(peer.HostsResponse{Addresses: h.deltas.hostAddresses()})
	case peer.IdentityRequest:
		reply(h.replica.Identity())
	case peer.WatchRequest:
		go h.handleWatch(m, reply)
	case peer.RosterUpdate:
		if m.WantedOrigin != 0 {
			go h.origins.find(m, reply)
			return
		}
		h.gossip.merge(m)
		reply(peer.Ack{})
	case peer.JoinRequest:
		h.membership.recordJoin(m)
		reply(peer.Ack{})
	default:
		h.log.Warnf("Rejected message of type %T from %s: hubs do not handle this type.", message, from)
		reply(peer.Failure{Message: "not for this host"})
	}
}
