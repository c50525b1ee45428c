package quorum

// recordLeaderContact accepts the sender of a message as the leader of the current term and
// restarts the election timeout.
func (n *Node) recordLeaderContact(m *Message) {
	if n.role != Follower {
		n.becomeFollower(n.state.Term, m.From)
	}
	n.setLeader(m.From)
	if m.FromAddress != "" {
		n.leaderAddress = m.FromAddress
	}
	n.noLeaderSinceStart = false
	n.ticksSinceLeader = 0
	n.resetTimeout()
}

// setLeader sets the leader; empty if unknown.
func (n *Node) setLeader(leader string) {
	if leader != n.leader {
		n.leaderAddress = ""
	}
	n.leader = leader
}

// handleAppend appends the leader's entries if the logs match at the preceding
// index.
func (n *Node) handleAppend(m *Message) {
	n.recordLeaderContact(m)
	response := Message{Kind: MessageAppendResponse, To: m.From, Round: m.Round}
	if !n.log.matchesTerm(m.Index, m.LogTerm) {
		response.Reject = true
		response.Index = m.Index
		response.Hint, response.HintTerm = n.log.conflictHint(m.Index)
		n.send(response)
		return
	}
	n.log.appendFromLeader(m.Entries)
	response.Index = m.Index + uint64(len(m.Entries))
	n.log.committed = max(n.log.committed, min(m.Commit, response.Index))
	n.send(response)
	n.acknowledgeDuringWrite(response)
}

// acknowledgeDuringWrite responds to the leader while a write is in progress.
// The response acknowledges only the entries that are already durable, and none
// while a snapshot that replaced the log is not durable.
func (n *Node) acknowledgeDuringWrite(response Message) {
	if !n.lastReady.MustSave || n.state.mustSave(n.durableState) {
		return
	}
	response.Index = min(response.Index, n.log.durable)
	if n.InstallingSnapshot() {
		response.Index = 0
	}
	n.urgentMessages = append(n.urgentMessages, n.fillHeader(response))
}
