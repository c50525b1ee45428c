package quorum

// Ready is what a driver has to do, in the order of the fields.
type Ready struct {
	// Messages may be sent at once.
	Messages []Message
	// HardState is written, with Install and Entries, if MustSave is set.
	HardState HardState
	MustSave  bool
	// InstallSnapshot is a snapshot from the leader, to be saved and restored; it
	// replaces the log.
	InstallSnapshot *Snapshot
	Entries         []Entry
	// MessagesAfterSave may be sent once the write is durable.
	MessagesAfterSave []Message
	// CommittedEntries entries are applied after the write.
	CommittedEntries []Entry
	// ReadStates are confirmed read barriers.
	ReadStates []ReadState
}

// ReadState is a confirmed read barrier: a read is current once everything up
// to Index is applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// send queues a message. A leader's own kinds may leave before the write.
func (n *Node) send(m Message) {
	m = n.stamp(m)
	if m.Kind.fromLeader() {
		n.early = append(n.early, m)
		return
	}
	n.afterSave = append(n.afterSave, m)
}

// stamp fills in the sender, the term and the way to the receiver.
func (n *Node) stamp(m Message) Message {
	m.Cluster = n.state.Cluster
	m.From = n.state.ID
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	if at := findMember(n.log.members(), m.To); at >= 0 {
		m.ToAddress = n.log.members()[at].Address
	}
	return m
}

// HasReady tells whether Ready would give anything to do.
func (n *Node) HasReady() bool {
	n.flush()
	return len(n.early) > 0 || len(n.afterSave) > 0 || len(n.confirmed) > 0 || n.install != nil ||
		n.log.stable < n.log.lastIndex() || n.log.applied < n.log.committed || n.state.mustSave(n.saved)
}

// Ready returns what is to be done. The driver calls Advance when it is, and no
// other Ready before. Messages and ticks may come in between; Urgent returns
// what they call for at once.
func (n *Node) Ready() Ready {
	n.flush()
	n.state.Commit = n.log.committed
	r := Ready{
		Messages:          n.early,
		HardState:         n.state,
		InstallSnapshot:   n.install,
		Entries:           n.log.between(n.log.stable, n.log.lastIndex(), maxInt),
		MessagesAfterSave: n.afterSave,
		CommittedEntries:  n.log.between(n.log.applied, n.log.committed, maxInt),
		ReadStates:        n.confirmed,
	}
	newState := n.state.mustSave(n.saved)
	r.MustSave = newState || n.install != nil || len(r.Entries) > 0
	if newState {
		r.MessagesAfterSave = append(r.Messages, r.MessagesAfterSave...)
		r.Messages = nil
	}
	n.early, n.afterSave, n.confirmed = nil, nil, nil
	n.handedOut = r
	return r
}

// UrgentMessages returns messages that may be sent at once, before the write of the last
// Ready is durable: what only a leader sends, and signs of life to the leader.
// It returns none while a term or a vote is not durable.
func (n *Node) UrgentMessages() []Message {
	n.flush()
	if n.state.mustSave(n.saved) {
		return nil
	}
	urgent := n.early
	n.early = nil
	return urgent
}

// Advance says that everything of the last Ready is done.
func (n *Node) Advance() {
	r := n.handedOut
	n.handedOut = Ready{}
	if r.MustSave {
		n.saved = r.HardState
	}
	if r.InstallSnapshot != nil {
		n.applied = r.InstallSnapshot.Index
	}
	if r.InstallSnapshot == n.install {
		n.install = nil
	}
	n.log.saved(r.Entries)
	if count := len(r.CommittedEntries); count > 0 {
		n.applied = r.CommittedEntries[count-1].Index
		n.log.applied = max(n.log.applied, n.applied)
	}
	switch n.role {
	case Candidate:
		n.countVotes()
	case Leader:
		n.maybeCommit()
	}
}

// InstallingSnapshot tells whether a leader's snapshot has replaced the log and the
// machine does not hold it yet. No snapshot may be made then.
func (n *Node) InstallingSnapshot() bool { return n.install != nil }

// MakeSnapshot returns the snapshot whose data is the machine's state with
// everything applied. It is saved before Compact is called.
func (n *Node) MakeSnapshot(data []byte) Snapshot {
	term, _ := n.log.term(n.applied)
	return Snapshot{
		Index:   n.applied,
		Term:    term,
		Members: sortedMembers(n.log.membersAt(n.applied)),
		Data:    data,
	}
}

// Compact drops the entries that the snapshot covers, but for the last keep of
// them, which serve followers that are a little behind.
func (n *Node) Compact(snapshot Snapshot, keep uint64) {
	n.log.compact(snapshot, keep)
}

// SnapshotIndex is the index of the last snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

const maxInt = int(^uint(0) >> 1)
