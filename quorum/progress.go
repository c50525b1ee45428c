package quorum

// followerState tells how the leader sends to a follower.
type followerState uint8

const (
	// probing sends one message at a time until the logs agree.
	probing followerState = iota
	// streaming sends entries ahead of their acknowledgement.
	streaming
	// installing sends a snapshot in chunks.
	installing
)

// sentAppend is an append without an acknowledgement.
type sentAppend struct {
	last  uint64
	bytes int
}

// progress is what a leader knows of a follower.
type progress struct {
	state followerState
	// match is the last index known to agree and to be durable there.
	match uint64
	// next is the first index to send.
	next uint64
	// sentCommit and sentRound are the newest the follower was told.
	sentCommit uint64
	sentRound  uint64
	// ackedRound is the newest heartbeat round that it answered.
	ackedRound uint64
	// active is set by any answer since the leader's last quorum check.
	active bool
	// waiting is set while a probe or a chunk is unanswered.
	waiting bool

	inflight      []sentAppend
	inflightBytes int

	// snapshot is on its way while installing; offset is the follower's last
	// acknowledged length.
	snapshot *Snapshot
	checksum uint64
	offset   uint64
}

// probe goes back to one message at a time, from next on.
func (p *progress) probe(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.waiting = false
	p.inflight = nil
	p.inflightBytes = 0
	p.snapshot = nil
}

// install starts to send a snapshot.
func (p *progress) install(snapshot *Snapshot, checksum uint64) {
	p.probe(p.next)
	p.state = installing
	p.snapshot = snapshot
	p.checksum = checksum
	p.offset = 0
}

// sent records an append with entries in flight.
func (p *progress) sent(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	size := 0
	for i := range entries {
		size += entrySize(&entries[i])
	}
	last := entries[len(entries)-1].Index
	p.inflight = append(p.inflight, sentAppend{last: last, bytes: size})
	p.inflightBytes += size
	p.next = last + 1
}

// acknowledge records that the follower holds everything up to the index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inflight) > 0 && p.inflight[0].last <= p.match {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}
