package quorum

// MatchIndex returns the last index that a member is known to hold durably;
// zero unless this node is the leader.
func (n *Node) MatchIndex(id string) uint64 {
	if n.role != Leader {
		return 0
	}
	if id == n.state.ID {
		return n.log.stable
	}
	if p := n.progress[id]; p != nil {
		return p.match
	}
	return 0
}

// CaughtUp reports whether a member holds all committed entries. It is false
// unless this node is the leader and has committed an entry in its term.
func (n *Node) CaughtUp(id string) bool {
	if n.role != Leader || !n.committedInTerm() {
		return false
	}
	return n.MatchIndex(id) >= n.log.committed
}

// MostUpToDateVoter returns the ID of the other voter with the highest match
// index; empty if there is none.
func (n *Node) MostUpToDateVoter() string {
	best := ""
	for _, m := range n.log.members() {
		if !m.Voter || m.ID == n.state.ID {
			continue
		}
		if best == "" || n.MatchIndex(m.ID) > n.MatchIndex(best) {
			best = m.ID
		}
	}
	return best
}

// ToleratesAnyVoterLoss reports whether the cluster tolerates the loss of any
// one voter: after it, a majority remains of voters that hold all committed
// entries and have answered the heartbeat round.
func (n *Node) ToleratesAnyVoterLoss(round uint64) bool {
	if n.role != Leader || !n.committedInTerm() || n.log.membershipChangePending() {
		return false
	}
	upToDate := 0
	for _, m := range n.log.members() {
		if m.Voter && n.isUpToDateSince(m.ID, round) {
			upToDate++
		}
	}
	return upToDate-1 >= majority(n.log.members())
}

// isUpToDateSince reports whether a member holds all committed entries and has
// answered the heartbeat round.
func (n *Node) isUpToDateSince(id string, round uint64) bool {
	if id == n.state.ID {
		return n.MatchIndex(id) >= n.log.committed
	}
	p := n.progress[id]
	return p != nil && p.match >= n.log.committed && p.ackedRound >= round
}

// promotesLaggingLearner reports whether the membership gives a vote to a
// replica that lacks committed entries.
func (n *Node) promotesLaggingLearner(members []Member) bool {
	for _, m := range members {
		if m.Voter && !isVoter(n.log.members(), m.ID) && !n.CaughtUp(m.ID) {
			return true
		}
	}
	return false
}
