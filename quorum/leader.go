package quorum

import (
	"slices"

	"github.com/go-faster/errors"
)

// becomeLeader takes the leadership and appends an entry of the new term,
// because entries of older terms can be committed only through an entry of the
// current term.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.state.ID
	n.noLeaderSinceStart = false
	n.votes = nil
	n.elapsedTicks = 0
	n.ticksSinceHeartbeat = 0
	n.reads = nil
	n.progress = map[string]*progress{}
	if n.recovery != nil {
		n.appendOwnEntry(EntryMembers, EncodeMembers(n.recovery.members(n.log.members())))
	} else {
		n.appendOwnEntry(EntryNoop, nil)
	}
	n.syncProgress()
	n.round++
}

// syncProgress updates the tracked followers to the latest membership.
func (n *Node) syncProgress() {
	members := n.log.members()
	for id := range n.progress {
		if findMember(members, id) < 0 {
			delete(n.progress, id)
		}
	}
	for _, m := range members {
		if m.ID == n.state.ID || n.progress[m.ID] != nil {
			continue
		}
		p := &progress{recentlyActive: true}
		p.startProbing(n.log.lastIndex() + 1)
		n.progress[m.ID] = p
	}
}

// appendOwnEntry appends an entry of the current term to the log and returns
// its index.
func (n *Node) appendOwnEntry(kind EntryKind, data []byte) uint64 {
	index := n.log.lastIndex() + 1
	n.log.appendEntry(Entry{Index: index, Term: n.state.Term, Kind: kind, Data: data})
	return index
}

// Propose appends a command to the leader's log and returns its index and term.
// It returns ErrNotLeader, without an effect, on any other node and during a
// leadership transfer.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferTarget != "" {
		return 0, 0, ErrNotLeader
	}
	return n.appendOwnEntry(EntryCommand, command), n.state.Term, nil
}

// ProposeMembers proposes a membership that differs from the current one in one
// replica. It returns an error, without an effect, while another change is
// uncommitted, before the leader has committed an entry of its own term, and if
// it gives a vote to a replica that lacks committed entries.
func (n *Node) ProposeMembers(members []Member) (index, term uint64, err error) {
	if n.role != Leader || n.transferTarget != "" {
		return 0, 0, ErrNotLeader
	}
	if n.log.membershipChangePending() {
		return 0, 0, ErrMembershipChangePending
	}
	if !n.committedInTerm() {
		return 0, 0, ErrNoCommitInTerm
	}
	if err := validateMembershipChange(n.log.members(), members); err != nil {
		return 0, 0, errors.Wrap(err, "propose members")
	}
	if n.promotesLaggingLearner(members) {
		return 0, 0, ErrNotCaughtUp
	}
	index = n.appendOwnEntry(EntryMembers, EncodeMembers(sortedMembers(members)))
	n.syncProgress()
	return index, n.state.Term, nil
}

// committedInTerm reports whether the node knows of a committed entry of the
// current term. On a leader the commit index is current only then.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.log.committed)
	return term == n.state.Term
}

// tickLeader starts heartbeat rounds. At each election timeout it steps down if
// a majority has not answered or if the transfer target has not taken over after
// MessageTimeoutNow was sent to it; any other transfer is canceled.
func (n *Node) tickLeader() {
	n.ticksSinceHeartbeat++
	if n.ticksSinceHeartbeat >= n.config.HeartbeatTicks {
		n.ticksSinceHeartbeat = 0
		n.round++
		for _, p := range n.progress {
			p.responsePending = false
		}
	}
	if n.elapsedTicks < n.config.ElectionTicks {
		return
	}
	n.elapsedTicks = 0
	if n.timeoutNowSent || !n.quorumActive() {
		n.becomeFollower(n.state.Term, "")
		return
	}
	n.transferTarget = ""
}

// quorumActive reports whether a majority has answered since the last check.
func (n *Node) quorumActive() bool {
	active := 0
	for _, m := range n.log.members() {
		p := n.progress[m.ID]
		if m.Voter && (m.ID == n.state.ID || p != nil && p.recentlyActive) {
			active++
		}
	}
	for _, p := range n.progress {
		p.recentlyActive = false
	}
	return active >= majority(n.log.members())
}

// ConfirmedRound returns the latest heartbeat round that a majority has
// answered; 0 if this node is not the leader or has sent MessageTimeoutNow to a
// transfer target.
func (n *Node) ConfirmedRound() uint64 {
	if n.role != Leader || n.timeoutNowSent {
		return 0
	}
	return n.majorityValue(n.round, func(p *progress) uint64 { return p.ackedRound })
}

// HeartbeatRound returns the latest heartbeat round that was started.
func (n *Node) HeartbeatRound() uint64 { return n.round }

// majorityValue returns the highest value that a majority of the voters has
// reached.
func (n *Node) majorityValue(ownValue uint64, valueOf func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range n.log.members() {
		switch p := n.progress[m.ID]; {
		case !m.Voter:
		case m.ID == n.state.ID:
			values = append(values, ownValue)
		case p != nil:
			values = append(values, valueOf(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-majority(n.log.members())]
}

// maybeCommit commits the entries that a majority holds durably, if the last of
// them is of the current term. A leader that is no longer a voter steps down
// once the change is committed.
func (n *Node) maybeCommit() {
	index := n.majorityValue(n.log.durable, func(p *progress) uint64 { return p.match })
	if index <= n.log.committed {
		return
	}
	if term, _ := n.log.term(index); term != n.state.Term {
		return
	}
	n.log.committed = index
	if !n.log.membershipChangePending() && !isVoter(n.log.members(), n.state.ID) {
		n.queueReplication()
		n.becomeFollower(n.state.Term, "")
	}
}

// handleFollowerResponse handles a follower's response to an append or a
// snapshot chunk.
func (n *Node) handleFollowerResponse(m *Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.recentlyActive = true
	p.ackedRound = max(p.ackedRound, m.Round)
	switch {
	case m.Kind == MessageSnapshotResponse:
		n.handleChunkResponse(p, m.Chunk)
	case m.Reject:
		n.handleAppendRejected(p, m)
	default:
		n.handleAppendAccepted(p, m.Index)
	}
	n.confirmReads()
}

// handleAppendAccepted records that a follower's log matches up to the index.
func (n *Node) handleAppendAccepted(p *progress, index uint64) {
	if index > n.log.lastIndex() {
		return
	}
	p.acknowledge(index)
	switch {
	case p.state == sendingSnapshot && p.match >= p.snapshot.Index:
		p.startProbing(p.match + 1)
	case p.state == probing && index+1 >= p.next:
		p.startStreaming()
	}
	n.maybeCommit()
}

// handleAppendRejected searches backwards for the last index where the logs
// agree.
func (n *Node) handleAppendRejected(p *progress, m *Message) {
	stale := m.Index <= p.match || p.state == probing && m.Index != p.next-1
	if stale || p.state == sendingSnapshot {
		return
	}
	next := min(m.Hint, m.Index)
	if m.HintTerm > 0 {
		if last, ok := n.log.lastIndexOfTerm(m.HintTerm, m.Index); ok {
			next = min(last+1, m.Index)
		}
	}
	p.startProbing(next)
}
