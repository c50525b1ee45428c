package quorum

// Ready is the work that a driver has to do, in the order of the fields.
type Ready struct {
	// Messages may be sent before the write.
	Messages []Message
	// HardState must be written, together with InstallSnapshot and Entries, if
	// MustSave is set.
	HardState HardState
	MustSave  bool
	// InstallSnapshot is a snapshot from the leader to save and restore; it
	// replaces the log.
	InstallSnapshot *Snapshot
	Entries         []Entry
	// MessagesAfterSave may be sent once the write is durable.
	MessagesAfterSave []Message
	// CommittedEntries are applied after the write.
	CommittedEntries []Entry
	// ReadStates are the confirmed read barriers.
	ReadStates []ReadState
}

// ReadState is a confirmed read barrier: a read is linearizable once all entries
// up to Index are applied.
type ReadState struct {
	ID    uint64
	Index uint64
}

// send queues a message. Kinds that only a leader sends may be sent before the
// write.
func (n *Node) send(m Message) {
	m = n.fillHeader(m)
	if m.Kind.fromLeader() {
		n.urgentMessages = append(n.urgentMessages, m)
		return
	}
	n.messagesAfterSave = append(n.messagesAfterSave, m)
}

// fillHeader sets the sender, the term and the receiver's address.
func (n *Node) fillHeader(m Message) Message {
	m.Cluster = n.state.Cluster
	m.From = n.state.ID
	if m.Term == 0 {
		m.Term = n.state.Term
	}
	switch at := findMember(n.log.members(), m.To); {
	case at >= 0:
		m.ToAddress = n.log.members()[at].Address
	case m.ToAddress == "" && m.To == n.leader:
		m.ToAddress = n.leaderAddress
	}
	return m
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.queueReplication()
	return len(n.urgentMessages) > 0 || len(n.messagesAfterSave) > 0 || len(n.confirmedReads) > 0 || n.pendingInstall != nil ||
		n.log.durable < n.log.lastIndex() || n.log.applied < n.log.committed || n.state.mustSave(n.durableState)
}

// Ready returns the pending work. The driver calls Advance when the work is
// done and must not call Ready again before that. Messages and ticks may be
// handled in between; UrgentMessages returns the messages that they produce and
// that need not wait.
func (n *Node) Ready() Ready {
	n.queueReplication()
	n.updateCommitState()
	r := Ready{
		Messages:          n.urgentMessages,
		HardState:         n.state,
		InstallSnapshot:   n.pendingInstall,
		Entries:           n.log.entriesBetween(n.log.durable, n.log.lastIndex(), maxInt),
		MessagesAfterSave: n.messagesAfterSave,
		CommittedEntries:  n.log.entriesBetween(n.log.applied, n.log.committed, maxInt),
		ReadStates:        n.confirmedReads,
	}
	stateChanged := n.state.mustSave(n.durableState)
	r.MustSave = stateChanged || n.pendingInstall != nil || len(r.Entries) > 0
	if stateChanged {
		r.MessagesAfterSave = append(r.Messages, r.MessagesAfterSave...)
		r.Messages = nil
	}
	n.urgentMessages, n.messagesAfterSave, n.confirmedReads = nil, nil, nil
	n.lastReady = r
	return r
}

// updateCommitState sets the commit index of the hard state and its term.
func (n *Node) updateCommitState() {
	n.state.Commit = n.log.committed
	n.state.CommitTerm, _ = n.log.term(n.log.committed)
}

// UrgentMessages returns messages that may be sent before the write of the last
// Ready is durable: the kinds that only a leader sends, and acknowledgements to
// the leader. It returns none while a term or a vote is not durable.
func (n *Node) UrgentMessages() []Message {
	n.queueReplication()
	if n.state.mustSave(n.durableState) {
		return nil
	}
	messages := n.urgentMessages
	n.urgentMessages = nil
	return messages
}

// Advance reports that the work of the last Ready is done.
func (n *Node) Advance() {
	r := n.lastReady
	n.lastReady = Ready{}
	if r.MustSave {
		n.durableState = r.HardState
	}
	if r.InstallSnapshot != nil {
		n.applied = r.InstallSnapshot.Index
	}
	if r.InstallSnapshot == n.pendingInstall {
		n.pendingInstall = nil
	}
	n.log.markDurable(r.Entries)
	if count := len(r.CommittedEntries); count > 0 {
		n.applied = r.CommittedEntries[count-1].Index
		n.log.applied = max(n.log.applied, n.applied)
	}
	switch n.role {
	case Candidate:
		n.tallyVotes()
	case Leader:
		n.maybeCommit()
	}
}

// InstallingSnapshot reports whether a snapshot from the leader has replaced
// the log but the state machine does not hold it yet. No snapshot may be
// created during that time.
func (n *Node) InstallingSnapshot() bool { return n.pendingInstall != nil }

// MakeSnapshot returns a snapshot at the applied index; data is the state of
// the state machine at that index. The caller saves it before it calls Compact.
func (n *Node) MakeSnapshot(data []byte) Snapshot {
	term, _ := n.log.term(n.applied)
	return Snapshot{
		Index:   n.applied,
		Term:    term,
		Members: sortedMembers(n.log.membersAt(n.applied)),
		Data:    data,
	}
}

// Compact drops the entries that the snapshot covers, except the last retain of
// them, which serve followers that lag slightly.
func (n *Node) Compact(snapshot Snapshot, retain uint64) {
	n.log.compact(snapshot, retain)
}

// SnapshotIndex returns the index of the last snapshot.
func (n *Node) SnapshotIndex() uint64 { return n.log.snapshot.Index }

const maxInt = int(^uint(0) >> 1)
