package quorum

import "github.com/go-faster/errors"

// Errors that callers test with errors.Is.
var (
	// ErrNotLeader reports that this replica is not the leader; the call had no
	// effect.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrUnknownOutcome reports that the command may or may not take effect.
	ErrUnknownOutcome = errors.New("the outcome of the command is unknown")
	// ErrQueueFull reports that the command queue is full; the command had no
	// effect.
	ErrQueueFull = errors.New("too many commands wait")
	// ErrCommandTooLarge reports that the command exceeds the size limit; it
	// had no effect.
	ErrCommandTooLarge = errors.New("the command exceeds the size limit")
	// ErrStopped reports that the replica was stopped; the call had no effect
	// unless the error also matches ErrUnknownOutcome.
	ErrStopped = errors.New("the replica is stopped")
	// ErrMembershipChangePending reports that another membership change is not
	// committed yet.
	ErrMembershipChangePending = errors.New("another membership change is not committed yet")
	// ErrNoCommitInTerm reports that the leader has not committed an entry in
	// its own term yet.
	ErrNoCommitInTerm = errors.New("the leader has not committed an entry in its own term yet")
	// ErrInvalidMembershipChange reports a membership that has no voter, has an
	// empty or duplicate ID, or differs from the current one in more than one
	// replica.
	ErrInvalidMembershipChange = errors.New("the membership may change by one replica at a time")
	// ErrUnknownMember reports that the replica is not a member.
	ErrUnknownMember = errors.New("no such member")
	// ErrNotCaughtUp reports that the learner lacks committed entries.
	ErrNotCaughtUp = errors.New("the learner does not hold everything committed yet")
	// ErrRemoveLeader reports an attempt of the leader to remove itself.
	ErrRemoveLeader = errors.New("the leader does not remove itself; transfer the leadership first")
	// ErrHostMismatch reports that the storage was written by another host, for
	// example on a copied disk.
	ErrHostMismatch = errors.New("the storage belongs to another host")
	// ErrClusterMismatch reports that the storage belongs to another cluster.
	ErrClusterMismatch = errors.New("the storage belongs to another cluster")
	// ErrStorageNotEmpty reports that the storage already has a replica ID.
	ErrStorageNotEmpty = errors.New("the storage already holds a replica")
	// ErrBootstrapIncomplete reports that the replica stopped during its bootstrap. The
	// cluster has acknowledged nothing; bootstrap again.
	ErrBootstrapIncomplete = errors.New("the bootstrap is incomplete")
	// ErrCorrupt reports that bytes could not be decoded.
	ErrCorrupt = errors.New("invalid encoding")
	// ErrStorage reports that the storage rejects writes.
	ErrStorage = errors.New("the storage refuses writes")
)

// wrapf annotates an error and keeps nil.
func wrapf(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, format, args...)
}
