package quorum

// mayCampaign tells whether the node has a vote, or had one before a change that
// is not committed: only this node may hold that change, and the others may need
// its vote to commit it.
func (n *Node) mayCampaign() bool {
	if isVoter(n.log.members(), n.state.ID) {
		return true
	}
	return n.log.membersPending() && isVoter(n.log.membersBefore(), n.state.ID)
}

// campaign asks the voters for the node's next term, first without entering it
// (PreCandidate) and then with it (Candidate).
func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{n.state.ID: true}
	n.retrySoon()
	round := n.roundOfStart(role)
	kind, term := MessagePreVote, n.state.Term+1
	if role == Candidate {
		kind = MessageVote
		n.state.Term = term
		n.state.Vote = n.state.ID
	}
	if n.countVotes() {
		return
	}
	for _, m := range n.log.members() {
		if !m.Voter || m.ID == n.state.ID {
			continue
		}
		n.send(Message{
			Kind: kind, To: m.ID, Term: term, Transfer: transfer,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Round: round,
		})
	}
}

// roundOfStart numbers a campaign of a node that may not yet take the silence of
// leaders for their end, since it may have answered one just before it was
// started. If every voter was started just now and has heard none, none is left
// whose lead could still be confirmed, and they elect one at once. The votes
// themselves then need a majority only: who hears a leader meanwhile refuses.
// It is 0 for any other campaign.
func (n *Node) roundOfStart(role Role) uint64 {
	if !n.fresh || !n.followsLeader() {
		return 0
	}
	if role == PreCandidate {
		// An answer to an earlier start must not count.
		n.freshRound = n.random.Uint64() | 1
	}
	return n.freshRound
}

// neededVotes is the number of grants that a campaign needs.
func (n *Node) neededVotes() int {
	if n.role == PreCandidate && n.fresh && n.followsLeader() {
		return voterCount(n.log.members())
	}
	return majority(n.log.members())
}

// countVotes moves on if a majority granted the campaign, and tells whether. The
// own vote counts once it is durable.
func (n *Node) countVotes() bool {
	if n.role == Candidate && n.state.mustSave(n.saved) {
		return false
	}
	granted, refused := 0, 0
	for _, m := range n.log.members() {
		vote, known := n.votes[m.ID]
		if !m.Voter || !known {
			continue
		}
		if vote {
			granted++
		} else {
			refused++
		}
	}
	needed := n.neededVotes()
	switch {
	case granted >= needed && n.role == PreCandidate:
		n.campaign(Candidate, false)
		return true
	case granted >= needed:
		n.becomeLeader()
		return true
	case refused >= majority(n.log.members()):
		n.role = Follower
		n.votes = nil
	}
	return false
}

// handleVoteRequest grants at most one vote a term, to a candidate whose log
// holds everything that this one's does.
func (n *Node) handleVoteRequest(m *Message) {
	current := m.LogTerm > n.log.lastTerm() ||
		m.LogTerm == n.log.lastTerm() && m.Index >= n.log.lastIndex()
	if m.Kind == MessagePreVote {
		// A grant carries the term asked for; a refusal carries the own term.
		grant := current && m.Term > n.state.Term
		answer := Message{Kind: MessagePreVoteResponse, To: m.From, Reject: !grant}
		if n.fresh {
			answer.Round = m.Round
		}
		if grant {
			answer.Term = m.Term
		}
		n.send(answer)
		return
	}
	free := n.state.Vote == m.From || n.state.Vote == "" && n.leader == ""
	grant := current && free
	if grant {
		n.state.Vote = m.From
		n.resetTimeout()
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: !grant})
}

// handleVote records a voter's answer to the current campaign.
func (n *Node) handleVote(m *Message) {
	switch {
	case m.Kind == MessagePreVoteResponse && n.role == PreCandidate:
		if !m.Reject && (m.Term != n.state.Term+1 || n.followsLeader() && m.Round != n.freshRound) {
			return
		}
	case m.Kind == MessageVoteResponse && n.role == Candidate:
	default:
		return
	}
	n.votes[m.From] = !m.Reject
	n.countVotes()
}

// handleTimeoutNow campaigns at once, since the leader hands over.
func (n *Node) handleTimeoutNow(m *Message) {
	if n.role == Follower && n.leader == m.From && isVoter(n.log.members(), n.state.ID) {
		n.campaign(Candidate, true)
	}
}
