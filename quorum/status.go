package quorum

import (
	"slices"
	"time"
)

// Status is a replica's view of itself and its cluster, at most one tick old.
// Role, Term, Leader and the IDs, addresses and votes of Members are current.
type Status struct {
	ID           string
	Cluster      string
	Host         string
	Role         Role
	Term         uint64
	Leader       string
	CommitIndex  uint64
	AppliedIndex uint64
	LastIndex    uint64
	// LastTerm is the term of the entry at LastIndex.
	LastTerm      uint64
	SnapshotIndex uint64
	// Members is the latest membership in the log, committed or not.
	Members []MemberStatus
	// PossibleVoters are the voters of each membership that may be in force: the last one
	// known to be committed and the later ones in the log.
	PossibleVoters []Member
	// StorageError is the reason why the storage rejects writes; nil if it
	// accepts them.
	StorageError error
}

// MemberStatus is the state of a member as seen by this replica.
type MemberStatus struct {
	Member
	// MatchIndex is the last index that the member is known to hold; zero
	// unless this replica is the leader.
	MatchIndex uint64
	// LastContact is when the last message from the member arrived; zero if
	// none has.
	LastContact time.Time
}

// published is the state that callers read without using the replica's
// goroutine.
type published struct {
	status     Status
	leadership Leadership
	// confirmedAt is when the latest round that a majority answered was sent.
	confirmedAt time.Time
	// pendingChanges are the changes not yet passed to onChange.
	pendingChanges []Leadership
}

// Leadership implements Log. Confirmed is computed from the clock at the time
// of the call, so that a process that was paused sees its leadership as
// unconfirmed.
func (r *Replica) Leadership() Leadership {
	r.mu.Lock()
	defer r.mu.Unlock()
	leadership := r.published.leadership
	at := r.published.confirmedAt
	leadership.Confirmed = leadership.IsLeader && !at.IsZero() && r.clock.Now().Sub(at) < r.config.confirmWindow()
	return leadership
}

// Status returns the replica's latest status.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.published.status
	status.Members = slices.Clone(status.Members)
	return status
}

// publishLeadership makes the leadership visible to callers, and also the
// status if the leadership or the membership changed.
func (r *Replica) publishLeadership() {
	isLeader := r.node.Role() == Leader && r.storageError == nil
	var confirmedAt time.Time
	if isLeader {
		confirmedAt = r.rounds.startTime(r.node.ConfirmedRound())
	}
	r.mu.Lock()
	p := &r.published
	old := p.leadership
	p.confirmedAt = confirmedAt
	p.leadership = Leadership{Term: r.node.Term(), Leader: r.node.Leader(), IsLeader: isLeader, Since: old.Since}
	if p.leadership.IsLeader && (!old.IsLeader || old.Term != p.leadership.Term) {
		p.leadership.Since = r.clock.Now()
	}
	if !p.leadership.IsLeader {
		p.leadership.Since = time.Time{}
	}
	changed := p.leadership != old
	if changed {
		p.pendingChanges = append(p.pendingChanges, p.leadership)
	}
	current := p.leadership
	membersChanged := !slices.EqualFunc(p.status.Members, r.node.Members(), func(published MemberStatus, m Member) bool {
		return published.Member == m
	})
	r.mu.Unlock()
	if changed || membersChanged {
		r.publishStatus()
	}
	if lost := r.node.RecoveredWithout(); changed && isLeader && len(lost) > 0 {
		r.logger.WithField("Lost", lost).Warn("This replica was elected by all remaining voters without the lost ones, which it removes.")
	}
	if changed {
		r.logger.Infof("Leadership changed: term %d, leader %q, this replica leads: %t.", current.Term, current.Leader, current.IsLeader)
		r.signalChange()
	}
}

// publish makes the leadership and the status visible to callers.
func (r *Replica) publish() {
	r.publishLeadership()
	r.publishStatus()
}

func (r *Replica) publishStatus() {
	status := Status{
		ID: r.node.ID(), Cluster: r.node.Cluster(), Host: r.host, Role: r.node.Role(),
		Term: r.node.Term(), Leader: r.node.Leader(),
		CommitIndex: r.node.CommitIndex(), AppliedIndex: r.node.AppliedIndex(), LastIndex: r.node.LastIndex(), LastTerm: r.node.log.lastTerm(),
		SnapshotIndex: r.node.SnapshotIndex(), StorageError: r.storageError,
		PossibleVoters: r.node.log.possibleVoters(),
	}
	for _, m := range r.node.Members() {
		status.Members = append(status.Members, MemberStatus{
			Member: m, MatchIndex: r.node.MatchIndex(m.ID), LastContact: r.lastContact[m.ID],
		})
	}
	r.mu.Lock()
	r.published.status = status
	r.mu.Unlock()
}

func (r *Replica) signalChange() {
	select {
	case r.changeSignal <- struct{}{}:
	default:
	}
}

// runNotifier calls onChange outside the replica's goroutine, so that the
// callback may call the replica.
func (r *Replica) runNotifier() {
	for {
		select {
		case <-r.done:
			r.callOnChange()
			return
		case <-r.changeSignal:
			r.callOnChange()
		}
	}
}

func (r *Replica) callOnChange() {
	r.mu.Lock()
	changes := r.published.pendingChanges
	r.published.pendingChanges = nil
	r.mu.Unlock()
	if r.onChange == nil {
		return
	}
	for _, leadership := range changes {
		r.onChange(leadership)
	}
}
