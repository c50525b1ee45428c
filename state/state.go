// Package state runs a host's replica of the replicated state: its ledger, its
// membership in the quorum and the messages between the replicas.
//
// # Usage
//
//	replica, err := state.Open(state.Config{Host: "rabat-a-1", Address: peers, DataDir: "data", Node: node, Clock: clock})
//	err = replica.Quorum.Barrier(ctx)
//	view := replica.Machine.View()
package state

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/ledger"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
	"comfreytiller.dev/registry"
)

const (
	// commitTimeout limits one proposal at the leader.
	commitTimeout = 2 * time.Second
	// identityTimeout limits the request that asks a replica for its cluster.
	identityTimeout = 2 * time.Second
)

// Config configures a replica.
type Config struct {
	Host string
	// Address is the peer address of this host.
	Address string
	// DataDir is the directory of the ledger.
	DataDir string
	Node    *peer.Node
	Clock   clockwork.Clock
	Log     *logrus.Logger
	// Bootstrap creates a new cluster unless one of Replicas belongs to a
	// cluster. The ID of the new cluster starts with ClusterName.
	Bootstrap   bool
	ClusterName string
	Replicas    []string
	// Restore is a backup for the initial state of the new cluster; nil for an
	// empty one.
	Restore []byte
	// LedgerOptions configure the ledger.
	LedgerOptions []ledger.Option
	// Machine holds the state; nil for a new one.
	Machine *registry.Machine
	// LinkRate is the rate of the host's network link in bytes per second; 0 for one that
	// does not limit the replication.
	LinkRate float64
}

// Replica is this host's replica of the state.
type Replica struct {
	Machine *registry.Machine
	Quorum  *quorum.Replica

	log    *logrus.Logger
	clock  clockwork.Clock
	ledger *ledger.Ledger
}

// Open opens the ledger and starts the replica. The error wraps
// ErrClusterExists if Bootstrap is set and a cluster exists; see also
// IsStorageNotEmpty.
func Open(config Config) (*Replica, error) {
	if config.Machine == nil {
		config.Machine = registry.NewMachine()
	}
	r := &Replica{Machine: config.Machine, log: config.Log, clock: config.Clock}
	found := r.inspect(config.DataDir)
	opened, err := ledger.Open(config.DataDir, config.LedgerOptions...)
	if err != nil {
		return nil, errors.Wrapf(err, "open ledger in %s", config.DataDir)
	}
	r.ledger = opened
	storage := quorum.NewLedgerStorage(opened)
	if config.Bootstrap {
		if err := bootstrap(&config, storage); err != nil {
			return nil, errors.Join(err, opened.Close())
		}
	}
	started, err := quorum.Start(quorum.Config{Host: config.Host, Node: replicationLimits(config.LinkRate)}, storage,
		&transport{node: config.Node, self: config.Address, log: config.Log, unknown: map[string]bool{}}, r.Machine,
		quorum.WithClock(config.Clock), quorum.WithLogger(logs.ForComponent(config.Log, "Quorum")))
	if err != nil {
		return nil, errors.Join(errors.Wrapf(err, "start state replica of %s", config.Host), opened.Close())
	}
	r.Quorum = started
	if started.IsNew() && !found.IsEmpty() {
		r.log.Warnf("Replica %s is new, but its folder %s was not empty: it %v.", started.Status().ID, config.DataDir, found)
	}
	return r, nil
}

const (
	// maxReplicationTime is the time of the link that unacknowledged entries for one replica
	// may take. The heartbeats of the quorum and the probes of the connection, which is closed
	// after 700 ms without a reply, wait behind them.
	maxReplicationTime = 100 * time.Millisecond
	// minInflightBytes leaves room for a few small entries on the slowest links.
	minInflightBytes = 16 << 10
	// appendsInflight is the number of messages into which these entries are divided.
	appendsInflight = 2
)

// replicationLimits returns the limits of the entries in flight for a link.
//
// Load: two replicas that lost their disks need the whole log while hundreds of hosts need
// their first views over the same link.
func replicationLimits(linkRate float64) quorum.NodeConfig {
	if linkRate <= 0 {
		return quorum.NodeConfig{}
	}
	inflight := min(max(int(linkRate*maxReplicationTime.Seconds()), minInflightBytes), quorum.DefaultMaxInflightBytes)
	return quorum.NodeConfig{
		MaxInflightBytes: inflight,
		MaxAppendBytes:   min(inflight/appendsInflight, quorum.DefaultMaxAppendBytes),
	}
}

// inspect logs what the folder of the ledger holds before it is opened.
func (r *Replica) inspect(folder string) ledger.Inventory {
	found, err := ledger.Inspect(folder)
	if err != nil {
		r.log.Warnf("Folder %s can't be listed: %v.", folder, err)
		return found
	}
	r.log.Infof("Folder %s %v.", folder, found)
	return found
}

// ErrClusterExists reports that no cluster was created because one exists
// already.
var ErrClusterExists = errors.New("a cluster runs already")

// IsStorageNotEmpty reports whether no cluster was created because the disk
// already holds a replica.
func IsStorageNotEmpty(err error) bool { return errors.Is(err, quorum.ErrStorageNotEmpty) }

// bootstrap writes the initial state of a new cluster with this host's replica
// as its only member; the others join later. IDs are random, so that no replica
// or cluster reuses the ID of a former one.
func bootstrap(config *Config, storage quorum.Storage) error {
	stored, _, _, err := storage.Load()
	if err != nil {
		return errors.Wrap(err, "load storage")
	}
	if stored.ID != "" {
		return errors.Wrapf(quorum.ErrStorageNotEmpty, "replica %s of host %s", stored.ID, stored.Host)
	}
	if err := checkNoCluster(config); err != nil {
		return err
	}
	var snapshot []byte
	if config.Restore != nil {
		if snapshot, err = config.Machine.SnapshotFromBackup(config.Restore); err != nil {
			return errors.Wrap(err, "read backup")
		}
	}
	cluster := config.ClusterName + "-" + quorum.NewID()
	member := quorum.Member{ID: quorum.NewID(), Host: config.Host, Address: config.Address, Voter: true}
	err = quorum.BootstrapFromState(storage, cluster, config.Host, []quorum.Member{member}, snapshot)
	if err != nil {
		return errors.Wrapf(err, "bootstrap cluster %s in %s", cluster, config.DataDir)
	}
	config.Log.Infof("Created cluster %s.", cluster)
	return nil
}

// checkNoCluster returns ErrClusterExists if one of the other configured state
// replicas belongs to a cluster. A host that lost its disk must not create a
// second one.
func checkNoCluster(config *Config) error {
	for _, address := range config.Replicas {
		if address == config.Address {
			continue
		}
		ctx, cancel := clockwork.WithTimeout(context.Background(), config.Clock, identityTimeout)
		reply, err := config.Node.Call(ctx, address, peer.IdentityRequest{})
		cancel()
		if err != nil {
			config.Log.Debugf("State replica at %s did not reply to the check for an existing cluster: %v.", address, err)
			continue
		}
		if identity, ok := reply.(peer.IdentityResponse); ok && identity.Cluster != "" {
			return errors.Wrapf(ErrClusterExists, "%s with a replica on host %s at %s", identity.Cluster, identity.Host, address)
		}
	}
	return nil
}

// transport sends quorum messages over the peer connections.
type transport struct {
	node *peer.Node
	self string
	log  *logrus.Logger
	// unknown are the receivers whose address was not known for the last message. Only the
	// goroutine of the replica uses it.
	unknown map[string]bool
}

// Send sends the messages of each receiver in one frame.
func (t *transport) Send(messages []quorum.Message) {
	byAddress := map[string][]quorum.Message{}
	for _, message := range messages {
		if message.ToAddress == "" && !t.unknown[message.To] {
			t.unknown[message.To] = true
			t.log.Warnf("Quorum messages to replica %s are dropped: its address is not known.", message.To)
		}
		if message.ToAddress == "" || message.ToAddress == t.self {
			continue
		}
		delete(t.unknown, message.To)
		byAddress[message.ToAddress] = append(byAddress[message.ToAddress], message)
	}
	for address, batch := range byAddress {
		t.node.Send(address, peer.QuorumMessages{Messages: quorum.EncodeMessages(batch)})
	}
}

// Deliver passes messages of another replica to the quorum.
func (r *Replica) Deliver(m peer.QuorumMessages) {
	messages, err := quorum.DecodeMessages(m.Messages)
	if err != nil {
		r.log.Warnf("Dropped invalid quorum message: %v.", err)
		return
	}
	r.Quorum.Deliver(messages)
}

// LeaderAddress returns the leader's peer address, "" if unknown.
func (r *Replica) LeaderAddress() string {
	leadership := r.Quorum.Leadership()
	for _, member := range r.Quorum.Status().Members {
		if member.ID == leadership.Leader {
			return member.Address
		}
	}
	return ""
}

// Propose commits a command for another host and replies with its result.
func (r *Replica) Propose(m peer.ProposeRequest, reply peer.Reply) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), r.clock, commitTimeout)
	defer cancel()
	result, err := r.Quorum.Propose(ctx, m.Command)
	response := peer.ProposeResponse{Code: proposeCode(err), Result: result}
	if err != nil {
		response.Leader = r.LeaderAddress()
	}
	reply(response)
}

// proposeCode returns the code that tells the proposer whether its command may take
// effect. A replica that stops joins quorum.ErrUnknownOutcome with an error that
// alone means no effect, so the unknown outcome is checked first.
func proposeCode(err error) peer.Code {
	switch {
	case err == nil:
		return peer.CodeDone
	case errors.Is(err, quorum.ErrUnknownOutcome):
		return peer.CodeUnknown
	case errors.Is(err, quorum.ErrNotLeader), errors.Is(err, quorum.ErrQueueFull), errors.Is(err, quorum.ErrStopped):
		return peer.CodeNotLeader
	}
	return peer.CodeUnknown
}

// Identity returns the IDs of the replica and its cluster and the end of its log.
func (r *Replica) Identity() peer.IdentityResponse {
	status := r.Quorum.Status()
	return peer.IdentityResponse{
		ID: status.ID, Host: status.Host, Cluster: status.Cluster, LastTerm: status.LastTerm, LastIndex: status.LastIndex,
	}
}

// TransferLeadership transfers leadership to another voter before the host
// stops. It does nothing on a follower.
func (r *Replica) TransferLeadership(ctx context.Context) {
	if !r.Quorum.Leadership().IsLeader {
		return
	}
	status := r.Quorum.Status()
	for _, member := range status.Members {
		if member.Voter && member.ID != status.ID && r.Quorum.TransferLeadership(ctx, member.ID) == nil {
			return
		}
	}
}

// Close stops the replica and closes its ledger.
func (r *Replica) Close() {
	r.Quorum.Stop()
	if err := r.ledger.Close(); err != nil {
		r.log.Warnf("Failed to close the ledger cleanly: %v.", err)
	}
}
