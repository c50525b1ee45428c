package quorum

// Message travels between two replicas.
type Message struct {
	Kind MessageKind
	// Cluster is the sender's cluster ID; a receiver of another cluster drops
	// the message.
	Cluster string
	// From and To are replica IDs.
	From string
	To   string
	Term uint64

	// Index is the index before Entries in an append, the highest matching or
	// the refused index in its response, and the last index in a vote request.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	// CommitIndex is the sender's commit index.
	Commit uint64
	// Entries follow Index without a gap.
	Entries []Entry
	// HeartbeatRound numbers the leader's heartbeats; a response repeats it. In a vote
	// request it is set by a replica that heard no leader since its start, and in
	// the response by one for which that holds as well.
	Round uint64

	// Reject refuses a vote or an append.
	Reject bool
	// Hint and HintTerm tell the leader where the follower's log departs.
	Hint     uint64
	HintTerm uint64

	// Transfer marks a vote request that the leader asked for.
	Transfer bool
	// ReadID names a read barrier of the sender.
	ReadID uint64
	// Chunk is a part of a snapshot.
	Chunk *Chunk

	// FromAddress is the sender's address, set towards replicas that may not
	// know it yet.
	FromAddress string
	// ToAddress is where the transport sends the message; it is not encoded.
	ToAddress string
}

// MessageKind tells what a message asks or answers.
type MessageKind uint8

// The kinds of message.
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

// Chunk is a part of a snapshot on its way to a follower. In a response only
// Index, Checksum and Offset are set; Offset counts the bytes held so far.
type Chunk struct {
	Index   uint64
	Term    uint64
	Members []Member
	// Total is the snapshot's length in bytes.
	Total uint64
	// Checksum is the hash of the whole snapshot.
	Checksum uint64
	Offset   uint64
	Data     []byte
}

// fromLeader tells whether only a leader sends messages of the kind.
func (k MessageKind) fromLeader() bool {
	return k == MessageAppend || k == MessageSnapshot || k == MessageTimeoutNow
}
