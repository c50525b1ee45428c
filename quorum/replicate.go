package quorum

// flush queues what the leader has to tell its followers.
func (n *Node) flush() {
	if n.role != Leader {
		return
	}
	if n.wantRound {
		n.wantRound = false
		n.round++
		n.confirmReads()
	}
	for _, m := range n.log.members() {
		if p := n.progress[m.ID]; p != nil {
			n.replicate(m.ID, p)
		}
	}
	n.handOver()
}

// replicate queues what one follower has not been told.
func (n *Node) replicate(to string, p *progress) {
	switch p.state {
	case probing:
		if !p.waiting || p.sentRound < n.round {
			p.waiting = true
			n.sendAppend(to, p)
		}
	case streaming:
		n.stream(to, p)
	case installing:
		if p.sentRound < n.round {
			n.sendEmpty(to, p)
		}
		n.sendChunk(to, p)
	}
}

// stream sends entries while the bytes in flight allow, and an empty message if
// there is only a commit index or a heartbeat to tell.
func (n *Node) stream(to string, p *progress) {
	for p.state == streaming && p.next <= n.log.lastIndex() && p.inflightBytes < n.config.MaxInflightBytes {
		n.sendAppend(to, p)
	}
	if p.state == streaming && (p.sentRound < n.round || p.sentCommit < min(n.log.committed, p.next-1)) {
		n.sendEmpty(to, p)
	}
}

// sendAppend sends the entries from next on, or starts a snapshot if the log no
// longer holds them.
func (n *Node) sendAppend(to string, p *progress) {
	before := p.next - 1
	term, ok := n.log.term(before)
	if !ok {
		snapshot := n.log.snapshot
		p.install(&snapshot, checksum(snapshot.Data))
		n.replicate(to, p)
		return
	}
	entries := n.log.between(before, n.log.lastIndex(), n.config.MaxAppendBytes)
	n.sendEntries(to, p, before, term, entries)
	if p.state == streaming {
		p.sent(entries)
	}
}

// sendEmpty sends an append without entries: a heartbeat, a commit index and a
// check that the follower holds what was sent.
func (n *Node) sendEmpty(to string, p *progress) {
	before := p.next - 1
	if p.state == installing {
		before = p.match
	}
	term, _ := n.log.term(before)
	n.sendEntries(to, p, before, term, nil)
}

func (n *Node) sendEntries(to string, p *progress, before, term uint64, entries []Entry) {
	m := Message{
		Kind: MessageAppend, To: to, Index: before, LogTerm: term, Entries: entries,
		Commit: n.log.committed, Round: n.round,
	}
	if p.match == 0 {
		m.FromAddress = n.ownAddress()
	}
	p.sentCommit = n.log.committed
	p.sentRound = n.round
	n.send(m)
}

// ownAddress is the node's address in the membership.
func (n *Node) ownAddress() string {
	if at := findMember(n.log.members(), n.state.ID); at >= 0 {
		return n.log.members()[at].Address
	}
	return ""
}

// TransferLeadership hands the lead to a voter once it holds the whole log. The
// node refuses proposals meanwhile and steps down if the voter does not take
// over within an election timeout.
func (n *Node) TransferLeadership(to string) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if to == n.state.ID || !isVoter(n.log.members(), to) {
		return ErrUnknownMember
	}
	if n.transferee == "" {
		n.transferee = to
		n.elapsed = 0
	}
	return nil
}

// TransferInProgress tells whether the lead is being handed over.
func (n *Node) TransferInProgress() bool { return n.transferee != "" }

// handOver tells the transferee to campaign once it holds the whole log. From
// then on the lead is not confirmed, since votes may go to another.
func (n *Node) handOver() {
	p := n.progress[n.transferee]
	if n.transferee == "" || n.handed || p == nil || p.match < n.log.lastIndex() {
		return
	}
	n.handed = true
	n.send(Message{Kind: MessageTimeoutNow, To: n.transferee})
}
