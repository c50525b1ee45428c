package quorum

import (
	"context"
	"sync/atomic"

	"github.com/go-faster/errors"
)

// proposal is a command or a membership change that waits for its outcome.
type proposal struct {
	command []byte
	// edit, if set, returns the membership to propose; the same one for nothing
	// to do.
	edit func(*Node) ([]Member, error)
	term uint64
	done chan outcome
	// taken is set by whoever gets the proposal first: the replica's goroutine
	// or a caller that gives up.
	taken atomic.Bool
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
	if p.taken.CompareAndSwap(false, true) {
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
	case !r.published.lead.IsLeader:
		return ErrNotLeader
	case r.queueBytes+len(p.command) > r.config.MaxQueueBytes:
		return ErrQueueFull
	}
	r.queueBytes += len(p.command)
	r.queue = append(r.queue, p)
	return nil
}

// begin gives a queued proposal to the node.
func (r *Replica) begin(p *proposal) {
	if !p.taken.CompareAndSwap(false, true) {
		r.settle(p, outcome{})
		return
	}
	index, term, err := r.proposeTo(p)
	if err != nil || index == 0 {
		r.settle(p, outcome{err: err})
		return
	}
	p.term = term
	r.waits[index] = p
}

// proposeTo returns index 0 if there is nothing to do.
func (r *Replica) proposeTo(p *proposal) (index, term uint64, err error) {
	if p.edit == nil {
		return r.node.Propose(p.command)
	}
	if r.node.Role() != Leader {
		return 0, 0, ErrNotLeader
	}
	members, err := p.edit(r.node)
	if err != nil {
		return 0, 0, err
	}
	if !sameMembers(members, r.node.Members()) {
		return r.node.ProposeMembers(members)
	}
	if r.node.log.membersPending() {
		return 0, 0, ErrMembershipChangePending
	}
	return 0, 0, nil
}

// settle tells the outcome; done holds one, and a caller that gave up takes none.
func (r *Replica) settle(p *proposal, o outcome) {
	r.mu.Lock()
	r.queueBytes -= len(p.command)
	r.mu.Unlock()
	p.taken.Store(true)
	p.done <- o
}

// resolve tells the proposer of an applied entry its result. A wait at the same
// or a later index and of an older term can no longer commit, since terms never
// fall along the log.
func (r *Replica) resolve(e *Entry, result []byte) {
	if p := r.waits[e.Index]; p != nil && p.term == e.Term {
		delete(r.waits, e.Index)
		r.settle(p, outcome{result: result})
	}
	if e.Term == r.applied.term {
		return
	}
	r.applied.term = e.Term
	for index, p := range r.waits {
		if p.term < e.Term {
			delete(r.waits, index)
			r.settle(p, outcome{err: ErrNotLeader})
		}
	}
}

// skipTo settles the proposals whose index a snapshot covers, without knowing
// what became of them.
func (r *Replica) skipTo(s *Snapshot) {
	for index, p := range r.waits {
		switch {
		case index <= s.Index:
			delete(r.waits, index)
			r.settle(p, outcome{err: ErrUnknownOutcome})
		case p.term < s.Term:
			delete(r.waits, index)
			r.settle(p, outcome{err: ErrNotLeader})
		}
	}
}
