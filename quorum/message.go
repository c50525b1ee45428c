package quorum

// Message is sent from one replica to another.
type Message struct {
	Kind MessageKind
	// Cluster is the sender's cluster ID; a receiver in another cluster drops
	// the message.
	Cluster string
	// From and To are replica IDs.
	From string
	To   string
	Term uint64

	// Index is the index before Entries in an append, the highest matching or
	// the rejected index in an append response, and the last log index in a
	// vote request.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	// Commit is the sender's commit index.
	Commit uint64
	// Entries follow Index without a gap.
	Entries []Entry
	// Round is the leader's heartbeat round; a response repeats it. In a vote
	// request it is set by a replica that has had no contact with a leader
	// since its start, and in the response by a replica in the same state.
	Round uint64

	// Reject rejects a vote request or an append.
	Reject bool
	// Hint and HintTerm show the leader where the follower's log diverges.
	Hint     uint64
	HintTerm uint64

	// Transfer marks a vote request of a leadership transfer. Voters handle it
	// although they had recent contact with the leader.
	Transfer bool
	// ReadID identifies a read barrier of the sender.
	ReadID uint64
	// Lost are the IDs of the voters that the candidate of a recovery takes for lost, in a
	// vote request; a response repeats them. Empty in any other.
	Lost  []string
	Chunk *Chunk

	// FromAddress is the sender's address, set for receivers that may not know
	// it yet.
	FromAddress string
	// ToAddress is the address that the transport sends the message to; it is
	// not encoded.
	ToAddress string
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of messages.
const (
	MessageAppend MessageKind = iota + 1
	MessageAppendResponse
	MessagePreVote
	MessagePreVoteResponse
	MessageVote
	MessageVoteResponse
	MessageSnapshot
	MessageSnapshotResponse
	MessageTimeoutNow
	MessageReadIndex
	MessageReadIndexResponse
)

// Chunk is a part of a snapshot that is sent to a follower. In a response only
// Index, Checksum and Offset are set; Offset is the number of bytes received so
// far.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members []Member
	// Total is the size of the snapshot in bytes.
	Total uint64
	// Checksum is the hash of the complete snapshot.
	Checksum uint64
	Offset   uint64
	Data     []byte
}

// fromLeader reports whether only a leader sends messages of this kind.
func (k MessageKind) fromLeader() bool {
	return k == MessageAppend || k == MessageSnapshot || k == MessageTimeoutNow
}
