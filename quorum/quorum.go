// Package quorum replicates a log over a few state replicas.
//
// The Node is a pure step function: messages and ticks go in, messages and
// writes come out. The Replica drives a Node over a Storage, a Transport and a
// StateMachine, with one write per batch of commands.
//
// # Usage
//
// The first host of a cluster is bootstrapped once, with itself as the only
// member; every other host starts empty, gets a fresh identity with its first
// write, and waits until it is added:
//
//	storage := quorum.NewJournalStorage(journal)
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
// A host whose disk was lost starts empty in the same way. Admit refuses it with
// ErrHostAlreadyMember, and it takes the place of its old identity by Replace. Its old
// vote is gone with its old identity, so IDs are never made from host names: a
// host that was bootstrapped again under its old ID could vote twice in a term.
//
// # Authority
//
// A lead is confirmed while a majority has answered a heartbeat that was sent
// less than an election timeout ago, less a margin, by the clock. Followers that
// answered refuse their vote to others for an election timeout, also after a
// restart, so no other replica leads meanwhile. The margin covers the timers; it
// does not cover clocks that run at different rates.
//
// # Limits
//
// Snapshots are held in memory and are taken between two batches: a machine
// whose Snapshot and write take longer than an election timeout loses its lead.
package quorum

import (
	"context"
	"time"
)

// Entry is one record of the log.
type Entry struct {
	Index uint64
	Term  uint64
	Kind  EntryKind
	Data  []byte
}

// EntryKind tells commands from the log's own records.
type EntryKind uint8

// The kinds of entry.
const (
	EntryCommand EntryKind = iota
	EntryNoop
	EntryMembers
)

// StateMachine is the state machine that a Replica feeds. Its methods are called
// from one goroutine.
type StateMachine interface {
	// Apply executes a committed command and returns its result.
	Apply(index, term uint64, command []byte) []byte
	// SnapshotIndex returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(snapshot []byte) error
}

// Transport carries messages between replicas, each to its ToAddress. Send does
// not block; it may lose, delay, duplicate or reorder messages. The receiver
// hands them to Replica.Deliver.
type Transport interface {
	Send(messages []Message)
}

// Log is what the rest of a host uses of a Replica.
type Log interface {
	// Propose commits the command and returns the machine's result. It returns
	// ErrNotLeader with no effect, or a context error when the effect is not
	// known.
	Propose(ctx context.Context, command []byte) ([]byte, error)
	// Barrier returns once the local machine holds everything that was
	// committed when Barrier was called.
	Barrier(ctx context.Context) error
	// Leadership tells who leads. Confirmed is set on the leader only while a
	// majority has answered a heartbeat sent within the election timeout, by
	// the monotonic clock.
	Leadership() Leadership
}

// Leadership is a replica's view of who leads.
type Leadership struct {
	Term uint64
	// Leader is the leader's replica ID; empty for unknown.
	Leader string
	// IsLeader is set on the leader itself.
	IsLeader bool
	// Since is when this replica became leader.
	Since time.Time
	// Confirmed says that the lead is backed by a majority now.
	Confirmed bool
}
