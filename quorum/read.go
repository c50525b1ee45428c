package quorum

// pendingRead is a read barrier that waits for a heartbeat round.
type pendingRead struct {
	id    uint64
	from  string
	index uint64
	round uint64
}

// RequestReadIndex asks for the commit index as of now; Ready gives it under the ID
// once a majority has confirmed the leader. It returns false, without an effect,
// if no leader is known or it has not committed in its term yet. An answer may
// be lost with its messages; the driver then asks again.
func (n *Node) RequestReadIndex(id uint64) bool {
	if n.role == Leader {
		return n.addRead(pendingRead{id: id})
	}
	if n.leader == "" {
		return false
	}
	n.send(Message{Kind: MessageReadIndex, To: n.leader, ReadID: id})
	return true
}

// addRead lets a read wait for the next heartbeat round.
func (n *Node) addRead(r pendingRead) bool {
	if !n.committedInTerm() {
		return false
	}
	r.index = n.log.committed
	r.round = n.round + 1
	n.reads = append(n.reads, r)
	n.wantRound = true
	return true
}

// handleRead serves a follower's barrier.
func (n *Node) handleRead(m *Message) {
	if n.role == Leader {
		n.addRead(pendingRead{id: m.ReadID, from: m.From})
	}
}

// handleReadResponse takes the leader's answer to the own barrier.
func (n *Node) handleReadResponse(m *Message) {
	n.confirmed = append(n.confirmed, ReadState{ID: m.ReadID, Index: m.Index})
}

// confirmReads answers the reads whose round a majority has answered.
func (n *Node) confirmReads() {
	if len(n.reads) == 0 {
		return
	}
	round := n.agreed(n.round, func(p *progress) uint64 { return p.ackedRound })
	for len(n.reads) > 0 && n.reads[0].round <= round {
		n.answerRead(n.reads[0])
		n.reads = n.reads[1:]
	}
}

func (n *Node) answerRead(r pendingRead) {
	if r.from == "" {
		n.confirmed = append(n.confirmed, ReadState{ID: r.id, Index: r.index})
		return
	}
	n.send(Message{Kind: MessageReadIndexResponse, To: r.from, ReadID: r.id, Index: r.index})
}
