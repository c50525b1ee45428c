package quorum

import (
	"slices"
	"time"
)

// Status is a replica's own view, at most a tick old.
type Status struct {
	ID      string
	Cluster string
	Host    string
	Role    Role
	Term    uint64
	Leader  string
	// CommitIndex, Applied, Last and Snapshot are indexes of the log.
	CommitIndex   uint64
	AppliedIndex  uint64
	LastIndex     uint64
	SnapshotIndex uint64
	// Members is the membership in force, committed or not.
	Members []MemberStatus
	// StorageError is why the storage refuses writes; nil if it does not.
	StorageError error
}

// MemberStatus is a member as this replica sees it.
type MemberStatus struct {
	Member
	// MatchIndex is the last index known to be held there; zero unless this replica
	// leads.
	MatchIndex uint64
	// LastContact is when its last message arrived; zero for never.
	LastContact time.Time
}

// published is what callers read without the replica's goroutine.
type published struct {
	status Status
	lead   Leadership
	// confirmedAt is when the newest round that a majority answered was sent.
	confirmedAt time.Time
	// notices are the changes not yet given to onChange.
	notices []Leadership
}

// Leadership implements Log. Confirmed is decided by the clock at the call, so
// that a process that was paused sees its lead as not confirmed.
func (r *Replica) Leadership() Leadership {
	r.mu.Lock()
	defer r.mu.Unlock()
	lead := r.published.lead
	at := r.published.confirmedAt
	lead.Confirmed = lead.IsLeader && !at.IsZero() && r.clock.Now().Sub(at) < r.config.confirmWindow()
	return lead
}

// Status returns the replica's own view.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := r.published.status
	status.Members = slices.Clone(status.Members)
	return status
}

// publishLead makes the lead visible to callers, and the whole status if it
// changed.
func (r *Replica) publishLead() {
	self := r.node.Role() == Leader && r.failure == nil
	var confirmedAt time.Time
	if self {
		confirmedAt = r.rounds.time(r.node.ConfirmedRound())
	}
	r.mu.Lock()
	p := &r.published
	old := p.lead
	p.confirmedAt = confirmedAt
	p.lead = Leadership{Term: r.node.Term(), Leader: r.node.Leader(), IsLeader: self, Since: old.Since}
	if p.lead.IsLeader && (!old.IsLeader || old.Term != p.lead.Term) {
		p.lead.Since = r.clock.Now()
	}
	if !p.lead.IsLeader {
		p.lead.Since = time.Time{}
	}
	changed := p.lead != old
	if changed {
		p.notices = append(p.notices, p.lead)
	}
	lead := p.lead
	r.mu.Unlock()
	if changed {
		r.logger.Infof("Term %d, leader %q, leading here: %t.", lead.Term, lead.Leader, lead.IsLeader)
		r.publishStatus()
		r.signalNotice()
	}
}

// publish makes the lead and the status visible to callers.
func (r *Replica) publish() {
	r.publishLead()
	r.publishStatus()
}

func (r *Replica) publishStatus() {
	status := Status{
		ID: r.node.ID(), Cluster: r.node.Cluster(), Host: r.host, Role: r.node.Role(),
		Term: r.node.Term(), Leader: r.node.Leader(),
		CommitIndex: r.node.CommitIndex(), AppliedIndex: r.node.AppliedIndex(), LastIndex: r.node.LastIndex(),
		SnapshotIndex: r.node.SnapshotIndex(), StorageError: r.failure,
	}
	for _, m := range r.node.Members() {
		status.Members = append(status.Members, MemberStatus{
			Member: m, MatchIndex: r.node.MatchIndex(m.ID), LastContact: r.contacts[m.ID],
		})
	}
	r.mu.Lock()
	r.published.status = status
	r.mu.Unlock()
}

func (r *Replica) signalNotice() {
	select {
	case r.notices <- struct{}{}:
	default:
	}
}

// notify calls onChange outside the replica's goroutine, so that it may use the
// replica.
func (r *Replica) notify() {
	for {
		select {
		case <-r.done:
			r.callOnChange()
			return
		case <-r.notices:
			r.callOnChange()
		}
	}
}

func (r *Replica) callOnChange() {
	r.mu.Lock()
	notices := r.published.notices
	r.published.notices = nil
	r.mu.Unlock()
	if r.onChange == nil {
		return
	}
	for _, lead := range notices {
		r.onChange(lead)
	}
}
