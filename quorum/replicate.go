package quorum

// queueReplication queues the leader's messages to its followers.
func (n *Node) queueReplication() {
	if n.role != Leader {
		return
	}
	if n.heartbeatRequested {
		n.heartbeatRequested = false
		n.round++
		n.confirmReads()
	}
	for _, m := range n.log.members() {
		if p := n.progress[m.ID]; p != nil {
			n.replicate(m.ID, p)
		}
	}
	n.sendTimeoutNow()
}

// replicate queues the messages that one follower needs.
func (n *Node) replicate(to string, p *progress) {
	switch p.state {
	case probing:
		if !p.responsePending || p.sentRound < n.round {
			p.responsePending = true
			n.sendAppend(to, p)
		}
	case streaming:
		n.streamEntries(to, p)
	case sendingSnapshot:
		if p.sentRound < n.round {
			n.sendEmptyAppend(to, p)
		}
		n.sendChunk(to, p)
	}
}

// streamEntries sends entries as long as the limit of bytes in flight allows.
// It sends an empty append if only a commit index or a heartbeat is due.
func (n *Node) streamEntries(to string, p *progress) {
	for p.state == streaming && p.next <= n.log.lastIndex() && p.inFlightBytes < n.config.MaxInflightBytes {
		n.sendAppend(to, p)
	}
	if p.state == streaming && (p.sentRound < n.round || p.sentCommit < min(n.log.committed, p.next-1)) {
		n.sendEmptyAppend(to, p)
	}
}

// sendAppend sends the entries from next on, or starts a snapshot if the log no
// longer holds them.
func (n *Node) sendAppend(to string, p *progress) {
	prevIndex := p.next - 1
	term, ok := n.log.term(prevIndex)
	if !ok {
		snapshot := n.log.snapshot
		p.startSnapshot(&snapshot, checksum(snapshot.Data))
		n.replicate(to, p)
		return
	}
	if p.state == probing && len(p.inFlight) > 0 {
		// A repeated probe carries no second copy of the entries, which may take longer
		// than a heartbeat interval on a slow link.
		n.sendEntries(to, p, prevIndex, term, nil)
		return
	}
	entries := n.log.entriesBetween(prevIndex, n.log.lastIndex(), n.config.MaxAppendBytes)
	n.sendEntries(to, p, prevIndex, term, entries)
	p.recordSent(entries)
}

// sendEmptyAppend sends an append without entries. It serves as a heartbeat,
// carries the commit index and checks that the follower holds the entries sent
// so far.
func (n *Node) sendEmptyAppend(to string, p *progress) {
	prevIndex := p.next - 1
	if p.state == sendingSnapshot {
		prevIndex = p.match
	}
	term, _ := n.log.term(prevIndex)
	n.sendEntries(to, p, prevIndex, term, nil)
}

func (n *Node) sendEntries(to string, p *progress, prevIndex, term uint64, entries []Entry) {
	m := Message{
		Kind: MessageAppend, To: to, Index: prevIndex, LogTerm: term, Entries: entries,
		Commit: n.log.committed, Round: n.round,
	}
	if p.match == 0 || p.match < n.log.memberSince(n.state.ID) {
		m.FromAddress = n.ownAddress()
	}
	p.sentCommit = n.log.committed
	p.sentRound = n.round
	n.send(m)
}

// ownAddress returns the node's address in the membership.
func (n *Node) ownAddress() string {
	if at := findMember(n.log.members(), n.state.ID); at >= 0 {
		return n.log.members()[at].Address
	}
	return ""
}

// TransferLeadership starts a transfer of the leadership to a voter, which
// takes over once it holds the complete log. The node rejects proposals in the
// meantime. If the voter has not taken over within an election timeout, the
// node steps down if it has already sent MessageTimeoutNow to the voter, and
// cancels the transfer otherwise.
func (n *Node) TransferLeadership(to string) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.state.ID || !isVoter(n.log.members(), to) {
		return ErrUnknownMember
	}
	if n.transferTarget == "" {
		n.transferTarget = to
		n.elapsedTicks = 0
	}
	return nil
}

// TransferInProgress reports whether a leadership transfer is in progress.
func (n *Node) TransferInProgress() bool { return n.transferTarget != "" }

// sendTimeoutNow requests that the transfer target campaigns, once it holds the
// complete log. From then on the leadership is not confirmed, because votes may
// be granted to another replica.
func (n *Node) sendTimeoutNow() {
	p := n.progress[n.transferTarget]
	if n.transferTarget == "" || n.timeoutNowSent || p == nil || p.match < n.log.lastIndex() {
		return
	}
	n.timeoutNowSent = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.transferTarget})
}
