package quorum

import "slices"

// canCampaign reports whether the node is a voter, or was one before a
// membership change that is not committed: this node may be the only one that
// holds the change, and the others may need its vote to commit it.
func (n *Node) canCampaign() bool {
	if isVoter(n.log.members(), n.state.ID) {
		return true
	}
	return n.log.membershipChangePending() && isVoter(n.log.previousMembers(), n.state.ID)
}

// campaign requests the votes for the next term, first without entering it
// (PreCandidate) and then after entering it (Candidate).
func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = ""
	n.votes = map[string]bool{n.state.ID: true}
	n.resetRetryTimeout()
	if role == PreCandidate {
		n.recovery = n.newRecovery()
	}
	round := n.startupCampaignRound(role)
	kind, term := MessagePreVote, n.campaignTerm()
	if role == Candidate {
		kind = MessageVote
		n.state.Term = term
		n.state.Vote = n.state.ID
	}
	if n.tallyVotes() {
		return
	}
	var lost []string
	if n.recovery != nil {
		lost = n.recovery.lost
	}
	for _, m := range n.electorate() {
		if !m.Voter || m.ID == n.state.ID {
			continue
		}
		n.send(Message{
			Kind: kind, To: m.ID, Term: term, Transfer: transfer, Lost: lost, ToAddress: m.Address,
			Index: n.log.lastIndex(), LogTerm: n.log.lastTerm(), Round: round, FromAddress: n.ownAddress(),
		})
	}
}

// campaignTerm returns the term that the present campaign requests.
func (n *Node) campaignTerm() uint64 {
	if n.recovery != nil {
		return n.recovery.term
	}
	return n.state.Term + 1
}

// electorate returns the members whose votes count in the present campaign.
func (n *Node) electorate() []Member {
	if n.recovery != nil {
		return n.recovery.remaining
	}
	return n.log.members()
}

// startupCampaignRound returns the round of a campaign that a node starts
// before it may treat the absence of leader messages as the loss of the leader,
// because it may have answered a leader just before its restart. If every voter
// whose disk is not lost has just started and none has had contact with a
// leader, no leadership can still be confirmed: a leader would be one of these
// voters. They can elect a leader immediately. The votes themselves then need
// only a majority: a voter that has contact with a leader in the meantime
// ignores the request. The round is 0 for any other campaign.
func (n *Node) startupCampaignRound(role Role) uint64 {
	if !n.noLeaderSinceStart || !n.leaderLeaseActive() {
		return 0
	}
	if role == PreCandidate {
		// Responses to a campaign before the last restart must not match.
		n.startupRound = n.random.Uint64() | 1
	}
	return n.startupRound
}

// requiredGrants returns the number of grants that a campaign needs.
func (n *Node) requiredGrants() int {
	if n.recovery != nil {
		return len(n.recovery.remaining)
	}
	needed := majority(n.log.members())
	if n.role != PreCandidate || !n.noLeaderSinceStart || !n.leaderLeaseActive() {
		return needed
	}
	present := 0
	for _, m := range n.log.members() {
		if m.Voter && !n.lostVoters[m.ID] {
			present++
		}
	}
	return max(present, needed)
}

// tallyVotes starts the next phase of the campaign if enough voters granted it,
// and reports whether it did. The node's own vote counts once it is durable.
func (n *Node) tallyVotes() bool {
	if n.role == Candidate && n.state.mustSave(n.durableState) {
		return false
	}
	granted, rejected := 0, 0
	for _, m := range n.electorate() {
		vote, known := n.votes[m.ID]
		if !m.Voter || !known {
			continue
		}
		if vote {
			granted++
		} else {
			rejected++
		}
	}
	needed := n.requiredGrants()
	switch {
	case granted >= needed && n.role == PreCandidate:
		n.campaign(Candidate, false)
		return true
	case granted >= needed:
		n.becomeLeader()
		return true
	case rejected >= majority(n.log.members()):
		n.role = Follower
		n.votes = nil
		n.recovery = nil
	}
	return false
}

// handleVoteRequest grants at most one vote per term, to a candidate whose log
// is at least as up to date as the log of this node.
func (n *Node) handleVoteRequest(m *Message) {
	upToDate := m.LogTerm > n.log.lastTerm() ||
		m.LogTerm == n.log.lastTerm() && m.Index >= n.log.lastIndex()
	upToDate = upToDate && n.agreesToRecovery(m.Lost)
	if m.Kind == MessagePreVote {
		// A grant carries the requested term; a rejection carries the node's
		// own term.
		grant := upToDate && m.Term > n.state.Term
		response := Message{Kind: MessagePreVoteResponse, To: m.From, Reject: !grant, ToAddress: m.FromAddress}
		if n.noLeaderSinceStart {
			response.Round = m.Round
		}
		if grant {
			response.Term, response.Lost = m.Term, m.Lost
		}
		n.send(response)
		return
	}
	// The node may have entered the term by another message than a request for its vote.
	canVote := n.state.Vote == m.From || n.state.Vote == "" && n.leader == "" && n.mayReplaceLeader(m)
	grant := upToDate && canVote
	if grant {
		n.state.Vote = m.From
		n.resetTimeout()
	}
	n.send(Message{Kind: MessageVoteResponse, To: m.From, Reject: !grant, Lost: m.Lost, ToAddress: m.FromAddress})
}

// handleVoteResponse records a voter's response to the current campaign.
func (n *Node) handleVoteResponse(m *Message) {
	switch {
	case m.Kind == MessagePreVoteResponse && n.role == PreCandidate:
		if !m.Reject && (m.Term != n.campaignTerm() || n.leaderLeaseActive() && m.Round != n.startupRound) {
			return
		}
	case m.Kind == MessageVoteResponse && n.role == Candidate:
	default:
		return
	}
	if n.recovery != nil && !m.Reject && !slices.Equal(m.Lost, n.recovery.lost) {
		// A replica of an earlier release doesn't know what it would agree to.
		return
	}
	n.votes[m.From] = !m.Reject
	n.tallyVotes()
}

// handleTimeoutNow starts a campaign immediately, because the leader transfers
// its leadership.
func (n *Node) handleTimeoutNow(m *Message) {
	if n.role == Follower && n.leader == m.From && isVoter(n.log.members(), n.state.ID) {
		n.campaign(Candidate, true)
	}
}
