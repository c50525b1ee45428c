// Package state keeps a host's replica of the replicated state: its journal, its
// place in the quorum and the messages between the replicas.
//
// # Usage
//
//	replica, err := state.Open(state.Config{Host: "rabat-a-1", Address: peers, Folder: "data", Node: node, Clock: clock})
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
	"comfreytiller.dev/journal"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
	"comfreytiller.dev/registry"
)

const (
	// commitTimeout bounds one proposal at the leader.
	commitTimeout = 2 * time.Second
	// identityTimeout bounds the question whether a cluster runs already.
	identityTimeout = 2 * time.Second
)

// Config is what a replica needs.
type Config struct {
	Host string
	// Address is the peer address of this host.
	Address string
	// Folder is the data folder.
	Folder string
	Node   *peer.Node
	Clock  clockwork.Clock
	Log    *logrus.Logger
	// Bootstrap makes a new cluster, whose identity begins with Cluster, unless
	// one of Replicas belongs to one.
	Bootstrap bool
	Cluster   string
	Replicas  []string
	// Restore is a backup to make the cluster from; nil for an empty one.
	Restore []byte
	// Machine holds the state; nil for a new one.
	Machine *registry.Machine
}

// Replica is this host's replica of the state.
type Replica struct {
	Machine *registry.Machine
	Quorum  *quorum.Replica

	log     *logrus.Logger
	clock   clockwork.Clock
	journal *journal.Journal
}

// Open opens the journal and starts the replica.
func Open(config Config) (*Replica, error) {
	r := &Replica{Machine: config.Machine, log: config.Log, clock: config.Clock}
	if r.Machine == nil {
		r.Machine = registry.NewMachine()
	}
	files, err := journal.Open(config.Folder)
	if err != nil {
		return nil, errors.Wrapf(err, "open journal in %s", config.Folder)
	}
	r.journal = files
	storage := quorum.NewJournalStorage(files)
	if config.Bootstrap {
		if err := bootstrap(&config, storage); err != nil {
			return nil, errors.Join(err, files.Close())
		}
	}
	started, err := quorum.Start(quorum.Config{Host: config.Host}, storage,
		&transport{node: config.Node, self: config.Address}, r.Machine,
		quorum.WithClock(config.Clock), quorum.WithLogger(logs.Part(config.Log, "Quorum")))
	if err != nil {
		return nil, errors.Join(errors.Wrapf(err, "start state replica of %s", config.Host), files.Close())
	}
	r.Quorum = started
	return r, nil
}

// ErrClusterRuns refuses to make a cluster where one runs already.
var ErrClusterRuns = errors.New("a cluster runs already")

// IsNotEmpty reports whether a cluster was not made because the disk already
// holds a replica.
func IsNotEmpty(err error) bool { return errors.Is(err, quorum.ErrNotEmpty) }

// bootstrap writes the first state of a new cluster with this host's replica as
// its only member; the others are added. Identities are random, so that neither
// a replica nor a cluster ever comes back as its old self.
func bootstrap(config *Config, storage quorum.Storage) error {
	held, _, _, err := storage.Load()
	if err != nil {
		return errors.Wrap(err, "load the storage")
	}
	if held.ID != "" {
		return errors.Wrapf(quorum.ErrNotEmpty, "replica %s of host %s", held.ID, held.Host)
	}
	if err := findCluster(config); err != nil {
		return err
	}
	var snapshot []byte
	if config.Restore != nil {
		if snapshot, err = registry.FromBackup(config.Restore); err != nil {
			return errors.Wrap(err, "read backup")
		}
	}
	cluster := config.Cluster + "-" + quorum.NewID()
	member := quorum.Member{ID: quorum.NewID(), Host: config.Host, Address: config.Address, Voter: true}
	err = quorum.BootstrapFrom(storage, cluster, config.Host, []quorum.Member{member}, snapshot)
	if err != nil {
		return errors.Wrapf(err, "bootstrap cluster %s in %s", cluster, config.Folder)
	}
	config.Log.Infof("Makes cluster %s.", cluster)
	return nil
}

// findCluster asks the other state replicas of the settings whether they belong
// to a cluster. A host whose disk was lost must not start another one.
func findCluster(config *Config) error {
	for _, address := range config.Replicas {
		if address == config.Address {
			continue
		}
		ctx, cancel := clockwork.WithTimeout(context.Background(), config.Clock, identityTimeout)
		answer, err := config.Node.Call(ctx, address, peer.IdentityRequest{})
		cancel()
		if err != nil {
			config.Log.Debugf("No word on a cluster from %s: %v.", address, err)
			continue
		}
		if told, ok := answer.(peer.IdentityResponse); ok && told.Cluster != "" {
			return errors.Wrapf(ErrClusterRuns, "%s with a replica on host %s at %s", told.Cluster, told.Host, address)
		}
	}
	return nil
}

// transport sends the quorum's messages over the peers' connections.
type transport struct {
	node *peer.Node
	self string
}

// Send sends each receiver its messages in one frame.
func (t *transport) Send(messages []quorum.Message) {
	byAddress := map[string][]quorum.Message{}
	for _, message := range messages {
		if message.ToAddress == "" || message.ToAddress == t.self {
			continue
		}
		byAddress[message.ToAddress] = append(byAddress[message.ToAddress], message)
	}
	for address, batch := range byAddress {
		t.node.Send(address, peer.QuorumMessages{Messages: quorum.EncodeMessages(batch)})
	}
}

// Deliver hands over the quorum's messages of another replica.
func (r *Replica) Deliver(m peer.QuorumMessages) {
	messages, err := quorum.DecodeMessages(m.Messages)
	if err != nil {
		r.log.Warnf("Quorum message dropped: %v.", err)
		return
	}
	r.Quorum.Deliver(messages)
}

// Leader returns the leader's address, "" for unknown.
func (r *Replica) Leader() string {
	lead := r.Quorum.Leadership()
	for _, member := range r.Quorum.Status().Members {
		if member.ID == lead.Leader {
			return member.Address
		}
	}
	return ""
}

// Propose commits a command for another host.
func (r *Replica) Propose(m peer.ProposeRequest, reply peer.Reply) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), r.clock, commitTimeout)
	defer cancel()
	result, err := r.Quorum.Propose(ctx, m.Command)
	switch {
	case err == nil:
		reply(peer.ProposeResponse{Code: peer.CodeDone, Result: result})
	case errors.Is(err, quorum.ErrNotLeader), errors.Is(err, quorum.ErrBusy), errors.Is(err, quorum.ErrStopped):
		reply(peer.ProposeResponse{Code: peer.CodeNotLeader, Leader: r.Leader()})
	default:
		reply(peer.ProposeResponse{Code: peer.CodeUnknown, Leader: r.Leader()})
	}
}

// Identity names the replica.
func (r *Replica) Identity() peer.IdentityResponse {
	status := r.Quorum.Status()
	return peer.IdentityResponse{ID: status.ID, Host: status.Host, Cluster: status.Cluster}
}

// Yield gives the lead to another voter before the host stops.
func (r *Replica) Yield(ctx context.Context) {
	if !r.Quorum.Leadership().Self {
		return
	}
	status := r.Quorum.Status()
	for _, member := range status.Members {
		if member.Voter && member.ID != status.ID && r.Quorum.TransferLeadership(ctx, member.ID) == nil {
			return
		}
	}
}

// Close stops the replica and closes its journal.
func (r *Replica) Close() {
	r.Quorum.Stop()
	if err := r.journal.Close(); err != nil {
		r.log.Warnf("Journal is not closed cleanly: %v.", err)
	}
}
