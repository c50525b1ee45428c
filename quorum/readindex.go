package quorum

// pendingRead is a read index request that waits for a heartbeat round.
type pendingRead struct {
	id    uint64
	from  string
	index uint64
	round uint64
}

// RequestReadIndex requests the current commit index. Ready returns it under
// the ID once a majority has confirmed the leader. RequestReadIndex returns
// false, without an effect, if no leader is known or the leader has not
// committed an entry in its term yet. A request to another replica or its
// response may be lost; the driver then repeats the request.
func (n *Node) RequestReadIndex(id uint64) bool {
	if n.role == Leader {
		return n.addPendingRead(pendingRead{id: id})
	}
	if n.leader == "" {
		return false
	}
	n.send(Message{Kind: MessageReadIndex, To: n.leader, ReadID: id})
	return true
}

// addPendingRead adds a read that waits for the next heartbeat round.
func (n *Node) addPendingRead(r pendingRead) bool {
	if !n.committedInTerm() {
		return false
	}
	r.index = n.log.committed
	r.round = n.round + 1
	n.reads = append(n.reads, r)
	n.heartbeatRequested = true
	return true
}

// handleReadIndex handles a follower's read index request.
func (n *Node) handleReadIndex(m *Message) {
	if n.role == Leader {
		n.addPendingRead(pendingRead{id: m.ReadID, from: m.From})
	}
}

// handleReadIndexResponse records the leader's response to a read index request
// of this node.
func (n *Node) handleReadIndexResponse(m *Message) {
	n.confirmedReads = append(n.confirmedReads, ReadState{ID: m.ReadID, Index: m.Index})
}

// confirmReads completes the reads whose heartbeat round a majority has
// answered.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	round := n.majorityValue(n.round, func(p *progress) uint64 { return p.ackedRound })
	for len(n.reads) > 0 && n.reads[0].round <= round {
		n.respondToRead(n.reads[0])
		n.reads = n.reads[1:]
	}
}

func (n *Node) respondToRead(r pendingRead) {
	if r.from == "" {
		n.confirmedReads = append(n.confirmedReads, ReadState{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: MessageReadIndexResponse, To: r.from, ReadID: r.id, Index: r.index})
}
