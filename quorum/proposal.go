package quorum

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// proposal is a command or a membership change that waits for its outcome.
type proposal struct {
	command []byte
	// editMembers, if set, returns the membership to propose; it returns the
	// current one if there is nothing to change.
	editMembers func(*Node) ([]Member, error)
	term        uint64
	done        chan outcome
	// claimed is set by the first to take the proposal: the replica's
	// goroutine, or a caller that gives up.
	claimed atomic.Bool
}

type outcome struct {
	result []byte
	err    error
}

// propose queues the proposal and waits for its outcome.
func (r *Replica) propose(ctx context.Context, p *proposal) ([]byte, error) {
	if err := r.enqueue(p); err != nil {
		return nil, err
	}
	r.signal()
	select {
	case o := <-p.done:
		return o.result, o.err
	case <-ctx.Done():
	}
	if p.claimed.CompareAndSwap(false, true) {
		return nil, errors.Wrap(ctx.Err(), "the command was not proposed")
	}
	return nil, errors.Join(ErrUnknownOutcome, ctx.Err())
}

// enqueue adds the proposal to the next batch.
func (r *Replica) enqueue(p *proposal) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.stopped:
		return ErrStopped
	case !r.published.leadership.IsLeader:
		return ErrNotLeader
	case r.queueBytes+len(p.command) > r.config.MaxQueueBytes:
		return ErrQueueFull
	}
	r.queueBytes += len(p.command)
	r.queue = append(r.queue, p)
	return nil
}

// startProposal passes a queued proposal to the node.
func (r *Replica) startProposal(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		r.finishProposal(p, outcome{})
		return
	}
	index, term, err := r.proposeToNode(p)
	if err != nil || index == 0 {
		r.finishProposal(p, outcome{err: err})
		return
	}
	p.term = term
	r.pendingProposals[index] = p
}

// proposeToNode returns index 0 if there is nothing to change.
func (r *Replica) proposeToNode(p *proposal) (index, term uint64, err error) {
	if p.editMembers == nil {
		return r.node.Propose(p.command)
	}
	if r.node.Role() != Leader {
		return 0, 0, ErrNotLeader
	}
	members, err := p.editMembers(r.node)
	if err != nil {
		return 0, 0, err
	}
	if !sameMembers(members, r.node.Members()) {
		return r.node.ProposeMembers(members)
	}
	if r.node.log.membershipChangePending() {
		return 0, 0, ErrMembershipChangePending
	}
	return 0, 0, nil
}

// finishProposal reports the outcome to the proposer. The done channel is
// buffered, so a caller that gave up does not block it.
func (r *Replica) finishProposal(p *proposal, o outcome) {
	r.mu.Lock()
	r.queueBytes -= len(p.command)
	r.mu.Unlock()
	p.claimed.Store(true)
	p.done <- o
}

// resolveApplied reports the result of an applied entry to its proposer. A
// pending proposal of an older term at the same or a later index can no longer
// commit, because terms never decrease along the log.
func (r *Replica) resolveApplied(e *Entry, result []byte) {
	if p := r.pendingProposals[e.Index]; p != nil && p.term == e.Term {
		delete(r.pendingProposals, e.Index)
		r.finishProposal(p, outcome{result: result})
	}
	if e.Term == r.applied.term {
		return
	}
	r.applied.term = e.Term
	for index, p := range r.pendingProposals {
		if p.term < e.Term {
			delete(r.pendingProposals, index)
			r.finishProposal(p, outcome{err: ErrNotLeader})
		}
	}
}

// resolveSnapshotted finishes the proposals at indexes that a snapshot covers,
// with an unknown outcome, and those at later indexes that can no longer commit
// because their term is older.
func (r *Replica) resolveSnapshotted(s *Snapshot) {
	for index, p := range r.pendingProposals {
		switch {
		case index <= s.Index:
			delete(r.pendingProposals, index)
			r.finishProposal(p, outcome{err: ErrUnknownOutcome})
		case p.term < s.Term:
			delete(r.pendingProposals, index)
			r.finishProposal(p, outcome{err: ErrNotLeader})
		}
	}
}
