package quorum

import "github.com/go-faster/errors"

// Errors that callers test with errors.Is.
var (
	// ErrNotLeader says that the call certainly had no effect, since this
	// replica does not lead.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrUnknownOutcome says that the command may or may not take effect.
	ErrUnknownOutcome = errors.New("the outcome of the command is unknown")
	// ErrQueueFull says that too many commands wait; the command had no effect.
	ErrQueueFull = errors.New("too many commands wait")
	// ErrCommandTooLarge says that the command is over the limit; it had no effect.
	ErrCommandTooLarge = errors.New("the command is too large")
	// ErrStopped says that the replica was stopped; the call had no effect.
	ErrStopped = errors.New("the replica is stopped")
	// ErrMembershipChangePending says that another membership change is uncommitted.
	ErrMembershipChangePending = errors.New("another membership change is not committed yet")
	// ErrNoCommitInTerm says that the leader has not committed in its term.
	ErrNoCommitInTerm = errors.New("the leader has not committed an entry in its own term yet")
	// ErrInvalidMembershipChange says that a membership change is not a single step.
	ErrInvalidMembershipChange = errors.New("the membership may change by one replica at a time")
	// ErrUnknownMember says that the replica is not a member.
	ErrUnknownMember = errors.New("no such member")
	// ErrNotCaughtUp says that the learner lacks committed entries.
	ErrNotCaughtUp = errors.New("the learner does not hold everything committed yet")
	// ErrRemoveLeader says that a leader does not remove itself.
	ErrRemoveLeader = errors.New("the leader does not remove itself; transfer the leadership first")
	// ErrHostMismatch says that the disk was written by another host.
	ErrHostMismatch = errors.New("the disk belongs to another host")
	// ErrClusterMismatch says that the disk belongs to another cluster.
	ErrClusterMismatch = errors.New("the disk belongs to another cluster")
	// ErrStorageNotEmpty says that the disk already has an identity.
	ErrStorageNotEmpty = errors.New("the disk already holds a replica")
	// ErrCorrupt says that bytes could not be decoded.
	ErrCorrupt = errors.New("not a valid encoding")
	// ErrStorage says that the storage refuses writes.
	ErrStorage = errors.New("the storage refuses writes")
)

// wrapf adds what failed to an error, and keeps nil.
func wrapf(err error, format string, args ...any) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(err, format, args...)
}
