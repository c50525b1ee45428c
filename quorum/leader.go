package quorum

import (
	"slices"

	"github.com/go-faster/errors"
)

// becomeLeader starts the lead with an entry of the new term, since entries of
// older terms are committed only through one of its own.
func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.state.ID
	n.fresh = false
	n.votes = nil
	n.elapsed = 0
	n.heartbeat = 0
	n.reads = nil
	n.progress = map[string]*progress{}
	n.trackMembers()
	n.push(EntryNoop, nil)
	n.round++
}

// trackMembers follows the membership in force.
func (n *Node) trackMembers() {
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
		p := &progress{active: true}
		p.probe(n.log.lastIndex() + 1)
		n.progress[m.ID] = p
	}
}

// push adds an entry of the own term at the end of the log.
func (n *Node) push(kind EntryKind, data []byte) uint64 {
	index := n.log.lastIndex() + 1
	n.log.push(Entry{Index: index, Term: n.state.Term, Kind: kind, Data: data})
	return index
}

// Propose adds a command to the leader's log and returns its index and term.
// It returns ErrNotLeader, without an effect, on any other node and while the
// leadership is handed over.
func (n *Node) Propose(command []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != "" {
		return 0, 0, ErrNotLeader
	}
	return n.push(EntryCommand, command), n.state.Term, nil
}

// ProposeMembers adds a membership that differs from the one in force in one
// replica. It is refused while another change is uncommitted, before the leader
// has committed an entry of its own term, and if it gives a vote to a replica
// that does not hold everything committed.
func (n *Node) ProposeMembers(members []Member) (index, term uint64, err error) {
	if n.role != Leader || n.transferee != "" {
		return 0, 0, ErrNotLeader
	}
	if n.log.membersPending() {
		return 0, 0, ErrMembershipChangePending
	}
	if !n.committedInTerm() {
		return 0, 0, ErrNoCommitInTerm
	}
	if err := checkChange(n.log.members(), members); err != nil {
		return 0, 0, errors.Wrap(err, "propose members")
	}
	if n.promotesEarly(members) {
		return 0, 0, ErrNotCaughtUp
	}
	index = n.push(EntryMembers, EncodeMembers(sortedMembers(members)))
	n.trackMembers()
	return index, n.state.Term, nil
}

// committedInTerm tells whether the leader's commit index is current.
func (n *Node) committedInTerm() bool {
	term, _ := n.log.term(n.log.committed)
	return term == n.state.Term
}

// tickLeader sends heartbeats and steps down without a majority's answers.
func (n *Node) tickLeader() {
	n.heartbeat++
	if n.heartbeat >= n.config.HeartbeatTicks {
		n.heartbeat = 0
		n.round++
		for _, p := range n.progress {
			p.waiting = false
		}
	}
	if n.elapsed < n.config.ElectionTicks {
		return
	}
	n.elapsed = 0
	if n.handed || !n.quorumActive() {
		n.becomeFollower(n.state.Term, "")
		return
	}
	n.transferee = ""
}

// quorumActive tells whether a majority answered since the last check.
func (n *Node) quorumActive() bool {
	active := 0
	for _, m := range n.log.members() {
		p := n.progress[m.ID]
		if m.Voter && (m.ID == n.state.ID || p != nil && p.active) {
			active++
		}
	}
	for _, p := range n.progress {
		p.active = false
	}
	return active >= majority(n.log.members())
}

// ConfirmedRound is the newest heartbeat round that a majority answered; 0 if
// this node does not lead or is handing the lead over.
func (n *Node) ConfirmedRound() uint64 {
	if n.role != Leader || n.handed {
		return 0
	}
	return n.agreed(n.round, func(p *progress) uint64 { return p.ackedRound })
}

// HeartbeatRound is the newest heartbeat round that was started.
func (n *Node) HeartbeatRound() uint64 { return n.round }

// agreed returns the highest value that a majority of the voters has reached.
func (n *Node) agreed(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range n.log.members() {
		switch p := n.progress[m.ID]; {
		case !m.Voter:
		case m.ID == n.state.ID:
			values = append(values, own)
		case p != nil:
			values = append(values, of(p))
		}
	}
	slices.Sort(values)
	return values[len(values)-majority(n.log.members())]
}

// maybeCommit commits what a majority holds durably, up to an entry of the own
// term.
func (n *Node) maybeCommit() {
	index := n.agreed(n.log.stable, func(p *progress) uint64 { return p.match })
	if index <= n.log.committed {
		return
	}
	if term, _ := n.log.term(index); term != n.state.Term {
		return
	}
	n.log.committed = index
	if !n.log.membersPending() && !isVoter(n.log.members(), n.state.ID) {
		n.flush()
		n.becomeFollower(n.state.Term, "")
	}
}

// handleAnswer takes in a follower's answer to an append or a chunk.
func (n *Node) handleAnswer(m *Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.active = true
	p.ackedRound = max(p.ackedRound, m.Round)
	switch {
	case m.Kind == MessageSnapshotResponse:
		n.handleChunkAnswer(p, m.Chunk)
	case m.Reject:
		n.handleRefusal(p, m)
	default:
		n.handleMatch(p, m.Index)
	}
	n.confirmReads()
}

// handleMatch records what a follower holds.
func (n *Node) handleMatch(p *progress, index uint64) {
	if index > n.log.lastIndex() {
		return
	}
	p.acknowledge(index)
	switch {
	case p.state == installing && p.match >= p.snapshot.Index:
		p.probe(p.match + 1)
	case p.state == probing && index+1 >= p.next:
		p.state = streaming
		p.waiting = false
	}
	n.maybeCommit()
}

// handleRefusal looks for the last index where the logs agree.
func (n *Node) handleRefusal(p *progress, m *Message) {
	stale := m.Index <= p.match || p.state == probing && m.Index != p.next-1
	if stale || p.state == installing {
		return
	}
	next := min(m.Hint, m.Index)
	if m.HintTerm > 0 {
		if last, ok := n.log.lastOfTerm(m.HintTerm, m.Index); ok {
			next = min(last+1, m.Index)
		}
	}
	p.probe(next)
}
