package quorum

import "github.com/cespare/xxhash/v2"

// maxSnapshotBytes bounds what a follower collects of one snapshot.
const maxSnapshotBytes = 1 << 30

// incomingSnapshot is a snapshot of which a follower has the first bytes.
type incomingSnapshot struct {
	index    uint64
	term     uint64
	total    uint64
	checksum uint64
	data     []byte
}

// checksum is the hash that tells two snapshots of one index apart.
func checksum(data []byte) uint64 { return xxhash.Sum64(data) }

// sendChunk sends the chunk at the acknowledged offset, one at a time. An
// unanswered chunk is sent again with the next heartbeat.
func (n *Node) sendChunk(to string, p *progress) {
	if p.waiting {
		return
	}
	p.waiting = true
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

// handleChunkAnswer moves on to where the follower is.
func (n *Node) handleChunkAnswer(p *progress, c *Chunk) {
	known := p.state == installing && c.Index == p.snapshot.Index && c.Checksum == p.checksum
	if !known || c.Offset > uint64(len(p.snapshot.Data)) {
		return
	}
	if c.Offset != p.offset || !p.waiting {
		p.offset = c.Offset
		p.waiting = false
	}
}

// handleChunk collects a snapshot and installs it when it is whole.
func (n *Node) handleChunk(m *Message) {
	n.hearLeader(m.From)
	c := m.Chunk
	if c.Index <= n.log.committed || n.log.matches(c.Index, c.Term) {
		n.incoming = nil
		n.log.committed = max(n.log.committed, c.Index)
		n.answerInstalled(m)
		return
	}
	in := n.collect(c)
	if uint64(len(in.data)) < in.total {
		n.send(Message{
			Kind: MessageSnapshotResponse, To: m.From, ToAddress: m.FromAddress, Round: m.Round,
			Chunk: &Chunk{Index: c.Index, Checksum: c.Checksum, Offset: uint64(len(in.data))},
		})
		return
	}
	n.incoming = nil
	if checksum(in.data) != in.checksum {
		n.send(Message{
			Kind: MessageSnapshotResponse, To: m.From, ToAddress: m.FromAddress, Round: m.Round,
			Chunk: &Chunk{Index: c.Index, Checksum: c.Checksum},
		})
		return
	}
	snapshot := Snapshot{Index: in.index, Term: in.term, Members: c.Members, Data: in.data}
	n.log.restore(snapshot)
	n.install = &snapshot
	n.answerInstalled(m)
}

// answerInstalled says that everything up to the snapshot's index is held.
func (n *Node) answerInstalled(m *Message) {
	n.send(Message{
		Kind: MessageAppendResponse, To: m.From, ToAddress: m.FromAddress, Round: m.Round, Index: m.Chunk.Index,
	})
}

// collect adds a chunk to the snapshot that it belongs to, starting over for
// another one.
func (n *Node) collect(c *Chunk) *incomingSnapshot {
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
