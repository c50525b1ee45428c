// Package quorum replicates a log over a small group of state replicas with the
// Raft consensus algorithm.
//
// The Node is a pure step function: it takes messages and ticks and returns
// messages and writes. The Replica drives a Node with a Storage, a Transport and
// a StateMachine, and makes one write per batch of commands.
//
// # Usage
//
// The first host of a cluster is bootstrapped once, with itself as the only
// member. Every other host starts with an empty storage, generates an ID with its
// first write, and waits until it is added:
//
//	storage := quorum.NewLedgerStorage(ledger)
//	if first {
//		member := quorum.Member{ID: quorum.NewID(), Host: host, Address: address, Voter: true}
//		err = quorum.Bootstrap(storage, quorum.NewID(), host, []quorum.Member{member})
//	}
//	replica, err := quorum.Start(quorum.Config{Host: host}, storage, transport, machine)
//
//	// On the leader, for a host that reports its Status().ID:
//	err = replica.Admit(ctx, quorum.Member{ID: id, Host: host, Address: address})
//
//	result, err := replica.Propose(ctx, command)
//
// A host whose disk was lost also starts with an empty storage and a new ID.
// Admit rejects it with ErrHostAlreadyMember; Replace puts it in the place of its
// old ID. Its old vote is lost with its old ID, so IDs are never derived from host
// names: a host that was bootstrapped again under its old ID could vote twice in
// a term.
//
// # Leader lease
//
// Leadership is confirmed while a majority has answered a heartbeat that was sent
// less than an election timeout ago, minus a margin, by the local clock. Followers
// that answered ignore other candidates for an election timeout, also after a
// restart, so no other replica can become leader during that time. The margin
// covers timer granularity; it does not cover clocks that run at different rates.
//
// # Limits
//
// Snapshots are held in memory and are taken between two batches: a state machine
// whose Snapshot and write take longer than an election timeout loses its
// leadership.
package quorum

import (
	"context"
	"time"
)

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// EntryKind distinguishes commands from the records of the log itself.
type EntryKind uint8

// The kinds of entries.
const (
	EntryCommand EntryKind = iota
	EntryNoop
	EntryMembers
)

// StateMachine executes the committed commands of a Replica. Its methods are
// called from one goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index, term uint64, command []byte) []byte
	// Snapshot returns the complete state.
	Snapshot() ([]byte, error)
	// Restore replaces the complete state.
	Restore(snapshot []byte) error
}

// Transport sends messages to other replicas, each to its ToAddress. Send does
// not block; it may lose, delay, duplicate or reorder messages. The receiving
// host passes them to Replica.Deliver.
type Transport interface {
	Send(messages []Message)
}

// Log is the part of a Replica that clients of the replicated log use.
type Log interface {
	// Propose commits the command and returns the result of the state machine.
	// An error that matches ErrUnknownOutcome means that the command may have
	// an effect; after any other error it has none. A context error is
	// returned alone if the command was not proposed, and together with
	// ErrUnknownOutcome otherwise.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once the local state machine has applied everything that
	// was committed when Barrier was called.
	Barrier(ctx context.Context) error
	// Leadership returns the current leader. Confirmed is set only on the
	// leader, while a majority has answered a heartbeat sent within the
	// election timeout, by the monotonic clock.
	Leadership() Leadership
}

// Leadership is a replica's view of the current leader.
type Leadership struct {
	Term uint64
	// Leader is the replica ID of the leader; empty if unknown.
	Leader string
	// IsLeader is set if this replica is the leader.
	IsLeader bool
	// Since is the time when this replica became leader; zero on other
	// replicas.
	Since time.Time
	// Confirmed is set on the leader while its lease is valid: a majority has
	// answered a recent heartbeat.
	Confirmed bool
}
