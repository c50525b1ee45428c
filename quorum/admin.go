package quorum

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
)

// Errors of the membership operations.
var (
	// ErrTooFewVoters reports that an operation completed, but that the cluster
	// has fewer than three voters and does not tolerate the loss of one.
	ErrTooFewVoters = errors.New("fewer than three voters: the loss of one is not survivable")
	// ErrTransferFailed reports that the leader is still the leader.
	ErrTransferFailed = errors.New("no other replica took over the leadership")
	// ErrHostAlreadyMember reports that another replica of the host is a
	// member.
	ErrHostAlreadyMember = errors.New("another replica of the host is a member; replace it")
)

// minVoters is the minimum number of voters that tolerates the loss of one.
const minVoters = 3

// sameMembers reports whether the memberships are equal, regardless of order.
func sameMembers(a, b []Member) bool {
	return slices.Equal(sortedMembers(a), sortedMembers(b))
}

// changeMembers commits the membership that edit derives from the current one.
// It returns nil immediately if there is nothing to change.
func (r *Replica) changeMembers(ctx context.Context, edit func(*Node) ([]Member, error)) error {
	_, err := r.propose(ctx, &proposal{editMembers: edit, done: make(chan outcome, 1)})
	return err
}

// AddLearner adds a member without a vote; it has no effect if the replica is
// already a member. It returns ErrMembershipChangePending or ErrNoCommitInTerm,
// without an effect, while another change is uncommitted or the leader is new.
func (r *Replica) AddLearner(ctx context.Context, member Member) error {
	member.Voter = false
	return wrapf(r.changeMembers(ctx, func(n *Node) ([]Member, error) {
		if findMember(n.Members(), member.ID) >= 0 {
			return n.Members(), nil
		}
		return append(slices.Clone(n.Members()), member), nil
	}), "add replica %s of host %s", member.ID, member.Host)
}

// Promote gives a learner a vote. It returns ErrNotCaughtUp, without an effect,
// until the learner holds all committed entries.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return wrapf(r.changeMembers(ctx, func(n *Node) ([]Member, error) {
		at := findMember(n.Members(), id)
		if at < 0 {
			return nil, ErrUnknownMember
		}
		members := slices.Clone(n.Members())
		members[at].Voter = true
		return members, nil
	}), "promote replica %s", id)
}

// Remove removes a member; it has no effect if the replica is not a member. A
// leader cannot remove itself.
func (r *Replica) Remove(ctx context.Context, id string) error {
	return wrapf(r.changeMembers(ctx, func(n *Node) ([]Member, error) {
		if id == n.ID() {
			return nil, ErrRemoveLeader
		}
		return slices.DeleteFunc(slices.Clone(n.Members()), func(m Member) bool { return m.ID == id }), nil
	}), "remove replica %s", id)
}

// Admit adds a replica of a host that has no member yet and gives it a vote
// once it holds all committed entries. It returns ErrHostAlreadyMember, without
// an effect, if another replica of the host is a member: the disk of that
// replica was lost, and only an operator may replace it, with Replace. After
// another error Admit may be called again, on the leader.
func (r *Replica) Admit(ctx context.Context, member Member) error {
	err := r.waitForOnLeader(ctx, func(n *Node) (bool, error) {
		for _, m := range n.Members() {
			if m.Host == member.Host && m.ID != member.ID {
				return false, ErrHostAlreadyMember
			}
		}
		return true, nil
	})
	if err != nil {
		return errors.Wrapf(err, "admit replica %s of host %s", member.ID, member.Host)
	}
	return wrapf(r.runSteps(ctx, r.addVoterSteps(ctx, member)), "admit replica %s of host %s", member.ID, member.Host)
}

// addVoterSteps returns the steps that make a new replica a voter.
func (r *Replica) addVoterSteps(ctx context.Context, member Member) []func() error {
	return []func() error{
		func() error { return r.AddLearner(ctx, member) },
		func() error {
			return r.waitForOnLeader(ctx, func(n *Node) (bool, error) { return n.CaughtUp(member.ID), nil })
		},
		func() error { return r.Promote(ctx, member.ID) },
	}
}

// runSteps runs the steps in order and retries each one while its error is
// temporary.
func (r *Replica) runSteps(ctx context.Context, steps []func() error) error {
	for _, step := range steps {
		if err := r.retryStep(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// Replace replaces an old replica with a new one: it adds the new one as a
// learner, waits until it holds all committed entries, gives it a vote and
// removes the old one. It returns nil once the cluster tolerates the loss of
// any one voter again, and ErrTooFewVoters if the cluster is too small for
// that. After an error it may be called again, on the leader, and continues
// where it stopped.
func (r *Replica) Replace(ctx context.Context, oldID string, replacement Member) error {
	steps := append(r.addVoterSteps(ctx, replacement),
		func() error { return r.Remove(ctx, oldID) },
		func() error { return r.waitForFaultTolerance(ctx) },
	)
	return wrapf(r.runSteps(ctx, steps), "replace replica %s by %s", oldID, replacement.ID)
}

// retryStep repeats a step after temporary errors, each time after the node has
// started a new heartbeat round.
func (r *Replica) retryStep(ctx context.Context, step func() error) error {
	for {
		err := step()
		temporary := errors.Is(err, ErrMembershipChangePending) || errors.Is(err, ErrNoCommitInTerm) || errors.Is(err, ErrNotCaughtUp)
		if !temporary {
			return err
		}
		round := uint64(0)
		err = r.waitForOnLeader(ctx, func(n *Node) (bool, error) {
			if round == 0 {
				round = n.HeartbeatRound()
			}
			return n.HeartbeatRound() > round, nil
		})
		if err != nil {
			return err
		}
	}
}

// waitForFaultTolerance waits until the cluster tolerates the loss of any one
// voter.
func (r *Replica) waitForFaultTolerance(ctx context.Context) error {
	round := uint64(0)
	return r.waitForOnLeader(ctx, func(n *Node) (bool, error) {
		if round == 0 {
			round = n.HeartbeatRound() + 1
		}
		if voterCount(n.Members()) < minVoters {
			return false, ErrTooFewVoters
		}
		return n.ToleratesAnyVoterLoss(round), nil
	})
}

// TransferLeadership transfers the leadership to another voter, or to the one
// with the most up-to-date log if to is empty. It returns nil once another
// replica is the leader, and ErrTransferFailed if that does not happen within
// an election timeout.
func (r *Replica) TransferLeadership(ctx context.Context, to string) error {
	started := false
	term := uint64(0)
	return wrapf(r.waitFor(ctx, func(n *Node) (bool, error) {
		if !started {
			started = true
			term = n.Term()
			if to == "" {
				to = n.MostUpToDateVoter()
			}
			return false, n.TransferLeadership(to)
		}
		if n.Role() == Leader && (n.Term() > term || n.transferee == "") {
			return false, ErrTransferFailed
		}
		return n.Role() != Leader && n.Leader() != "", nil
	}), "transfer the leadership")
}

// conditionWaiter is a caller that waits for a condition on the node.
type conditionWaiter struct {
	condition func(*Node) (bool, error)
	ctx       context.Context
	done      chan error
}

// waitForOnLeader waits for the condition and returns ErrNotLeader if this
// replica is not the leader.
func (r *Replica) waitForOnLeader(ctx context.Context, condition func(*Node) (bool, error)) error {
	return r.waitFor(ctx, func(n *Node) (bool, error) {
		if n.Role() != Leader {
			return false, ErrNotLeader
		}
		return condition(n)
	})
}

// waitFor waits for the condition, which the replica's goroutine checks after
// each batch.
func (r *Replica) waitFor(ctx context.Context, condition func(*Node) (bool, error)) error {
	w := &conditionWaiter{condition: condition, ctx: ctx, done: make(chan error, 1)}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return ErrStopped
	}
	r.newWaiters = append(r.newWaiters, w)
	r.mu.Unlock()
	r.signal()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkWaiters completes the calls whose condition is met or has failed.
func (r *Replica) checkWaiters() {
	remaining := r.waiters[:0]
	for _, w := range r.waiters {
		met, err := w.condition(r.node)
		switch {
		case met || err != nil:
			w.done <- err
		case w.ctx.Err() == nil:
			remaining = append(remaining, w)
		}
	}
	r.waiters = remaining
}
