package quorum

import "github.com/go-faster/errors"

// Errors that callers test with errors.Is.
var (
	// ErrNotLeader says that the call certainly had no effect, since this
	// replica does not lead.
	ErrNotLeader = errors.New("this replica does not lead")
	// ErrUnknownOutcome says that the command may or may not take effect.
	ErrUnknownOutcome = errors.New("the outcome of the command is unknown")
	// ErrBusy says that too many commands wait; the command had no effect.
	ErrBusy = errors.New("too many commands wait")
	// ErrTooLarge says that the command is over the limit; it had no effect.
	ErrTooLarge = errors.New("the command is too large")
	// ErrStopped says that the replica was stopped; the call had no effect.
	ErrStopped = errors.New("the replica is stopped")
	// ErrMembersPending says that another membership change is uncommitted.
	ErrMembersPending = errors.New("another membership change is not committed yet")
	// ErrTermNotCommitted says that the leader has not committed in its term.
	ErrTermNotCommitted = errors.New("the leader has not committed an entry in its own term yet")
	// ErrMembersChange says that a membership change is not a single step.
	ErrMembersChange = errors.New("the membership may change by one replica at a time")
	// ErrUnknownMember says that the replica is not a member.
	ErrUnknownMember = errors.New("no such member")
	// ErrNotCaughtUp says that the learner lacks committed entries.
	ErrNotCaughtUp = errors.New("the learner does not hold everything committed yet")
	// ErrRemoveLeader says that a leader does not remove itself.
	ErrRemoveLeader = errors.New("the leader does not remove itself; transfer the leadership first")
	// ErrCopiedDisk says that the disk was written by another host.
	ErrCopiedDisk = errors.New("the disk belongs to another host")
	// ErrOtherCluster says that the disk belongs to another cluster.
	ErrOtherCluster = errors.New("the disk belongs to another cluster")
	// ErrNotEmpty says that the disk already has an identity.
	ErrNotEmpty = errors.New("the disk already holds a replica")
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
