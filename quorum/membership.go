package quorum

// MatchIndex is the last index that a member is known to hold durably; zero unless
// this node leads.
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

// CaughtUp tells whether a member holds everything committed.
func (n *Node) CaughtUp(id string) bool {
	if n.role != Leader || !n.committedInTerm() {
		return false
	}
	return n.MatchIndex(id) >= n.log.committed
}

// MostUpToDateVoter is the other voter that holds most of the log; empty if there is
// none.
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

// ToleratesAnyVoterLoss tells whether, whichever one voter is lost, a majority is left
// of voters that hold everything committed and answered the heartbeat round.
func (n *Node) ToleratesAnyVoterLoss(round uint64) bool {
	if n.role != Leader || !n.committedInTerm() || n.log.membersPending() {
		return false
	}
	sound := 0
	for _, m := range n.log.members() {
		if m.Voter && n.soundSince(m.ID, round) {
			sound++
		}
	}
	return sound-1 >= majority(n.log.members())
}

// soundSince tells whether a member holds everything committed and answered the
// heartbeat round.
func (n *Node) soundSince(id string, round uint64) bool {
	if id == n.state.ID {
		return n.MatchIndex(id) >= n.log.committed
	}
	p := n.progress[id]
	return p != nil && p.match >= n.log.committed && p.ackedRound >= round
}

// promotesEarly tells whether the membership gives a vote to a replica that does
// not hold everything committed.
func (n *Node) promotesEarly(members []Member) bool {
	for _, m := range members {
		if m.Voter && !isVoter(n.log.members(), m.ID) && !n.CaughtUp(m.ID) {
			return true
		}
	}
	return false
}
