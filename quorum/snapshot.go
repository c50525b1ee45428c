package quorum

import "github.com/cespare/xxhash/v2"

// maxSnapshotBytes limits the size of a snapshot that a follower receives.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot is a partially received snapshot.
type incomingSnapshot struct {
	index    uint64
	term     uint64
	total    uint64
	checksum uint64
	data     []byte
}

// checksum returns a hash that distinguishes snapshots of the same index.
func checksum(data []byte) uint64 { return xxhash.Sum64(data) }

// sendChunk sends the chunk at the acknowledged offset, one at a time. An
// unanswered chunk is resent with the next heartbeat.
func (n *Node) sendChunk(to string, p *progress) {
	if p.responsePending {
		return
	}
	p.responsePending = true
	s := p.snapshot
	end := min(p.offset+uint64(n.config.SnapshotChunkBytes), uint64(len(s.Data)))
	n.send(Message{
		Kind: MessageSnapshot, To: to, Round: n.round, FromAddress: n.ownAddress(),
		Chunk: &Chunk{
			Index: s.Index, Term: s.Term, Members: s.Members, Total: uint64(len(s.Data)),
			Checksum: p.checksum, Offset: p.offset, Data: s.Data[p.offset:end],
		},
	})
}

// handleChunkResponse continues at the offset that the follower has received.
func (n *Node) handleChunkResponse(p *progress, c *Chunk) {
	known := p.state == sendingSnapshot && c.Index == p.snapshot.Index && c.Checksum == p.checksum
	if !known || c.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if c.Offset != p.offset || !p.responsePending {
		p.offset = c.Offset
		p.responsePending = false
	}
}

// handleChunk collects the chunks of a snapshot and installs it once it is
// complete.
func (n *Node) handleChunk(m *Message) {
	n.recordLeaderContact(m)
	c := m.Chunk
	if c.Index <= n.log.committed || n.log.matchesTerm(c.Index, c.Term) {
		n.incoming = nil
		n.log.committed = max(n.log.committed, c.Index)
		n.acknowledgeSnapshot(m)
		return
	}
	in := n.addChunk(c)
	if uint64(len(in.data)) < in.total {
		n.send(Message{
			Kind: MessageSnapshotResponse, To: m.From, Round: m.Round,
			Chunk: &Chunk{Index: c.Index, Checksum: c.Checksum, Offset: uint64(len(in.data))},
		})
		return
	}
	n.incoming = nil
	if checksum(in.data) != in.checksum {
		n.send(Message{
			Kind: MessageSnapshotResponse, To: m.From, Round: m.Round,
			Chunk: &Chunk{Index: c.Index, Checksum: c.Checksum},
		})
		return
	}
	snapshot := Snapshot{Index: in.index, Term: in.term, Members: c.Members, Data: in.data}
	n.log.restore(snapshot)
	n.pendingInstall = &snapshot
	n.acknowledgeSnapshot(m)
}

// acknowledgeSnapshot reports to the leader that this node holds everything up
// to the snapshot's index.
func (n *Node) acknowledgeSnapshot(m *Message) {
	n.send(Message{
		Kind: MessageAppendResponse, To: m.From, Round: m.Round, Index: m.Chunk.Index,
	})
}

// addChunk adds a chunk to the incoming snapshot. A chunk of another snapshot
// discards the data received so far.
func (n *Node) addChunk(c *Chunk) *incomingSnapshot {
	in := n.incoming
	if in == nil || in.index != c.Index || in.term != c.Term || in.checksum != c.Checksum || in.total != c.Total {
		in = &incomingSnapshot{index: c.Index, term: c.Term, total: c.Total, checksum: c.Checksum}
		n.incoming = in
	}
	if c.Offset == uint64(len(in.data)) && in.total <= maxSnapshotBytes {
		in.data = append(in.data, c.Data...)
	}
	return in
}
