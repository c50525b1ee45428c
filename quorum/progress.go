package quorum

// followerState is the mode in which the leader replicates to a follower.
type followerState uint8

const (
	// probing sends one message at a time until the logs match.
	probing followerState = iota
	// streaming sends entries before earlier ones are acknowledged.
	streaming
	// sendingSnapshot sends a snapshot in chunks.
	sendingSnapshot
)

// sentAppend is an append that is not acknowledged yet.
type sentAppend struct {
	last  uint64
	bytes int
}

// progress is the leader's view of a follower.
type progress struct {
	state followerState
	// match is the last index that is known to match and to be durable on the
	// follower.
	match uint64
	// next is the index of the next entry to send.
	next uint64
	// sentCommit and sentRound are the latest commit index and heartbeat round
	// sent to the follower.
	sentCommit uint64
	sentRound  uint64
	// ackedRound is the latest heartbeat round that the follower answered.
	ackedRound uint64
	// recentlyActive is set by any response since the leader's last quorum
	// check.
	recentlyActive bool
	// responsePending is set while a probe or a chunk is unanswered.
	responsePending bool

	inFlight      []sentAppend
	inFlightBytes int

	// snapshot is the snapshot being sent; offset is the last length that the
	// follower acknowledged.
	snapshot *Snapshot
	checksum uint64
	offset   uint64
}

// startProbing switches to one message at a time, beginning with the entry at
// next.
func (p *progress) startProbing(next uint64) {
	p.state = probing
	p.next = max(next, p.match+1)
	p.responsePending = false
	p.inFlight = nil
	p.inFlightBytes = 0
	p.snapshot = nil
}

// startSnapshot switches to sending the snapshot.
func (p *progress) startSnapshot(snapshot *Snapshot, checksum uint64) {
	p.startProbing(p.next)
	p.state = sendingSnapshot
	p.snapshot = snapshot
	p.checksum = checksum
	p.offset = 0
}

// startStreaming continues behind the entries that the last probe carried. A follower that
// does not hold them, since the probe was lost, rejects the next message, which is sent at once.
func (p *progress) startStreaming() {
	p.state = streaming
	p.responsePending = false
	if len(p.inFlight) > 0 {
		p.next = max(p.next, p.inFlight[len(p.inFlight)-1].last+1)
		p.sentRound = 0
	}
}

// recordSent records entries as in flight. While probing, next stays behind them.
func (p *progress) recordSent(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	size := 0
	for i := range entries {
		size += entrySize(&entries[i])
	}
	last := entries[len(entries)-1].Index
	p.inFlight = append(p.inFlight, sentAppend{last: last, bytes: size})
	p.inFlightBytes += size
	if p.state == streaming {
		p.next = last + 1
	}
}

// acknowledge records that the follower holds all entries up to the index.
func (p *progress) acknowledge(index uint64) {
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	for len(p.inFlight) > 0 && p.inFlight[0].last <= p.match {
		p.inFlightBytes -= p.inFlight[0].bytes
		p.inFlight = p.inFlight[1:]
	}
}
