package quorum

import (
	"context"
	"slices"

	"github.com/go-faster/errors"
)

// Errors of the membership commands.
var (
	// ErrTooFewVoters says that a command was done, but that the loss of a
	// replica is not survivable with fewer than three voters.
	ErrTooFewVoters = errors.New("fewer than three voters: the loss of one is not survivable")
	// ErrTransferFailed says that the leader still leads.
	ErrTransferFailed = errors.New("the leadership was not taken over")
	// ErrHostAlreadyMember says that another replica of the host is a member.
	ErrHostAlreadyMember = errors.New("another replica of the host is a member; replace it")
)

// minVoters is the fewest voters of which one may be lost.
const minVoters = 3

// sameMembers tells whether the two memberships are equal but for their order.
func sameMembers(a, b []Member) bool {
	return slices.Equal(sortedMembers(a), sortedMembers(b))
}

// change commits the membership that edit makes of the one in force. It returns
// nil at once if there is nothing to change.
func (r *Replica) change(ctx context.Context, edit func(*Node) ([]Member, error)) error {
	_, err := r.propose(ctx, &proposal{edit: edit, done: make(chan outcome, 1)})
	return err
}

// AddLearner adds a member without a vote; nothing happens if it is a member
// already. It returns ErrMembershipChangePending or ErrNoCommitInTerm, with no effect,
// while another change is not committed or the leader is new.
func (r *Replica) AddLearner(ctx context.Context, member Member) error {
	member.Voter = false
	return wrapf(r.change(ctx, func(n *Node) ([]Member, error) {
		if findMember(n.Members(), member.ID) >= 0 {
			return n.Members(), nil
		}
		return append(slices.Clone(n.Members()), member), nil
	}), "add replica %s of host %s", member.ID, member.Host)
}

// Promote gives a learner a vote. It returns ErrNotCaughtUp, with no effect,
// until the learner holds everything committed.
func (r *Replica) Promote(ctx context.Context, id string) error {
	return wrapf(r.change(ctx, func(n *Node) ([]Member, error) {
		at := findMember(n.Members(), id)
		if at < 0 {
			return nil, ErrUnknownMember
		}
		members := slices.Clone(n.Members())
		members[at].Voter = true
		return members, nil
	}), "promote replica %s", id)
}

// Remove takes a member out; nothing happens if it is none. A leader does not
// remove itself.
func (r *Replica) Remove(ctx context.Context, id string) error {
	return wrapf(r.change(ctx, func(n *Node) ([]Member, error) {
		if id == n.ID() {
			return nil, ErrRemoveLeader
		}
		return slices.DeleteFunc(slices.Clone(n.Members()), func(m Member) bool { return m.ID == id }), nil
	}), "remove replica %s", id)
}

// Admit adds a replica of a host that has no member yet and gives it a vote once
// it holds everything committed. It returns ErrHostAlreadyMember, with no effect, if
// another replica of the host is a member: that disk was lost, and only an
// operator's Replace may take its place. After another error it may be called
// again, on the leader.
func (r *Replica) Admit(ctx context.Context, member Member) error {
	err := r.until(ctx, func(n *Node) (bool, error) {
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
	return wrapf(r.inOrder(ctx, r.addVoter(ctx, member)), "admit replica %s of host %s", member.ID, member.Host)
}

// addVoter is the steps that make a new replica a voter.
func (r *Replica) addVoter(ctx context.Context, member Member) []func() error {
	return []func() error{
		func() error { return r.AddLearner(ctx, member) },
		func() error {
			return r.until(ctx, func(n *Node) (bool, error) { return n.CaughtUp(member.ID), nil })
		},
		func() error { return r.Promote(ctx, member.ID) },
	}
}

// inOrder does the steps, each until it is not refused for now.
func (r *Replica) inOrder(ctx context.Context, steps []func() error) error {
	for _, step := range steps {
		if err := r.retry(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// Replace puts a new replica in the place of an old one: it adds it as a
// learner, waits until it holds everything committed, gives it a vote and
// removes the old one. It returns nil once the loss of any one replica is
// survivable again, and ErrTooFewVoters if the cluster is too small for that.
// After an error it may be called again, on the leader, and goes on from where
// it was.
func (r *Replica) Replace(ctx context.Context, oldID string, replacement Member) error {
	steps := append(r.addVoter(ctx, replacement),
		func() error { return r.Remove(ctx, oldID) },
		func() error { return r.untilSurvivable(ctx) },
	)
	return wrapf(r.inOrder(ctx, steps), "replace replica %s by %s", oldID, replacement.ID)
}

// retry repeats a step that is refused only for now, when the node has moved on.
func (r *Replica) retry(ctx context.Context, step func() error) error {
	for {
		err := step()
		passing := errors.Is(err, ErrMembershipChangePending) || errors.Is(err, ErrNoCommitInTerm) || errors.Is(err, ErrNotCaughtUp)
		if !passing {
			return err
		}
		round := uint64(0)
		err = r.until(ctx, func(n *Node) (bool, error) {
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

// untilSurvivable waits until any one voter may be lost.
func (r *Replica) untilSurvivable(ctx context.Context) error {
	round := uint64(0)
	return r.until(ctx, func(n *Node) (bool, error) {
		if round == 0 {
			round = n.HeartbeatRound() + 1
		}
		if voterCount(n.Members()) < minVoters {
			return false, ErrTooFewVoters
		}
		return n.ToleratesAnyVoterLoss(round), nil
	})
}

// TransferLeadership hands the lead to another voter, or to the one that holds
// most if to is empty. It returns nil once another replica leads, and
// ErrTransferFailed if that does not happen within an election timeout.
func (r *Replica) TransferLeadership(ctx context.Context, to string) error {
	started := false
	term := uint64(0)
	return wrapf(r.watch(ctx, func(n *Node) (bool, error) {
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

// watch is a condition on the node that a caller waits for.
type watch struct {
	met  func(*Node) (bool, error)
	ctx  context.Context
	done chan error
}

// until waits for the condition on the leader.
func (r *Replica) until(ctx context.Context, met func(*Node) (bool, error)) error {
	return r.watch(ctx, func(n *Node) (bool, error) {
		if n.Role() != Leader {
			return false, ErrNotLeader
		}
		return met(n)
	})
}

// watch waits for the condition, which the replica's goroutine checks after each
// batch.
func (r *Replica) watch(ctx context.Context, met func(*Node) (bool, error)) error {
	w := &watch{met: met, ctx: ctx, done: make(chan error, 1)}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return ErrStopped
	}
	r.newWatches = append(r.newWatches, w)
	r.mu.Unlock()
	r.signal()
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// checkWatches answers those whose condition is met.
func (r *Replica) checkWatches() {
	kept := r.watches[:0]
	for _, w := range r.watches {
		met, err := w.met(r.node)
		switch {
		case met || err != nil:
			w.done <- err
		case w.ctx.Err() == nil:
			kept = append(kept, w)
		}
	}
	r.watches = kept
}
