package quorum

// hearLeader takes the sender as the current term's leader.
func (n *Node) hearLeader(from string) {
	if n.role != Follower {
		n.becomeFollower(n.state.Term, from)
	}
	n.leader = from
	n.fresh = false
	n.sinceLeader = 0
	n.elapsed = 0
}

// handleAppend takes in a leader's entries if the log agrees with the leader's
// before them.
func (n *Node) handleAppend(m *Message) {
	n.hearLeader(m.From)
	answer := Message{Kind: MessageAppendResponse, To: m.From, ToAddress: m.FromAddress, Round: m.Round}
	if !n.log.matches(m.Index, m.LogTerm) {
		answer.Reject = true
		answer.Index = m.Index
		answer.Hint, answer.HintTerm = n.log.conflict(m.Index)
		n.send(answer)
		return
	}
	n.log.extend(m.Entries)
	answer.Index = m.Index + uint64(len(m.Entries))
	n.log.committed = max(n.log.committed, min(m.Commit, answer.Index))
	n.send(answer)
	n.signOfLife(answer)
}

// signOfLife answers a leader beside a write that is under way, with no more
// than what is durable already.
func (n *Node) signOfLife(answer Message) {
	if !n.handedOut.MustSave || n.state.mustSave(n.saved) {
		return
	}
	answer.Index = min(answer.Index, n.log.stable)
	if n.InstallingSnapshot() {
		answer.Index = 0
	}
	n.early = append(n.early, n.stamp(answer))
}
