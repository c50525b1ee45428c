package quorum

import "math/rand/v2"

// Role is a node's part in its term.
type Role uint8

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Timing and sizes that a zero NodeConfig field stands for.
const (
	// DefaultElectionTicks is the least number of ticks without a leader before
	// an election; the most is less than this and DefaultElectionJitterTicks.
	DefaultElectionTicks       = 15
	DefaultElectionJitterTicks = 5
	DefaultHeartbeatTicks      = 6
	// A campaign without a result is repeated after retryTicks ticks and less
	// than retrySpread more.
	retryTicks  = 2
	retrySpread = 5
	// DefaultMaxAppendBytes bounds the entries of one message.
	DefaultMaxAppendBytes = 256 << 10
	// DefaultMaxInflightBytes bounds the unacknowledged entries per follower.
	DefaultMaxInflightBytes = 1 << 20
	// DefaultSnapshotChunkBytes bounds one chunk of a snapshot.
	DefaultSnapshotChunkBytes = 64 << 10
)

// NodeConfig holds a node's limits; zero fields take the defaults.
type NodeConfig struct {
	ElectionTicks       int
	ElectionJitterTicks int
	HeartbeatTicks      int
	MaxAppendBytes      int
	MaxInflightBytes    int
	SnapshotChunkBytes  int
	// Seed starts the node's random election timeouts.
	Seed uint64
}

func (c NodeConfig) withDefaults() NodeConfig {
	orDefault(&c.ElectionTicks, DefaultElectionTicks)
	orDefault(&c.ElectionJitterTicks, DefaultElectionJitterTicks)
	orDefault(&c.HeartbeatTicks, DefaultHeartbeatTicks)
	orDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	orDefault(&c.MaxInflightBytes, DefaultMaxInflightBytes)
	orDefault(&c.SnapshotChunkBytes, DefaultSnapshotChunkBytes)
	return c
}

func orDefault(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

// Node is one replica's consensus state: a pure step function without I/O,
// goroutines or a clock. It is not safe for concurrent use. After each batch of
// calls the driver takes Ready, does what it says and calls Advance.
type Node struct {
	config NodeConfig
	random *rand.Rand
	state  HardState
	saved  HardState
	log    *entryLog
	// applied is what the machine holds; log.applied is ahead of it while a
	// leader's snapshot waits for its write.
	applied uint64

	role   Role
	leader string
	// sinceLeader counts the ticks since a leader's message, or the start.
	sinceLeader int
	// fresh is set until the node hears a leader or leads for the first time since
	// its start; freshRound numbers its campaigns of that time.
	fresh      bool
	freshRound uint64
	// elapsed counts towards timeout; on a leader, towards its quorum check.
	elapsed   int
	timeout   int
	heartbeat int
	votes     map[string]bool

	progress map[string]*progress
	round    uint64
	reads    []pendingRead
	// wantRound asks for a heartbeat round for new reads.
	wantRound bool
	// transferee is the member that is to lead next; handed is set once it was
	// told to campaign.
	transferee string
	handed     bool

	incoming *incomingSnapshot
	install  *Snapshot

	early     []Message
	afterSave []Message
	confirmed []ReadState
	handedOut Ready
}

// NewNode returns a follower with what its storage held.
func NewNode(config NodeConfig, state HardState, snapshot Snapshot, entries []Entry) *Node {
	config = config.withDefaults()
	if state.Term < snapshot.Term {
		state.Term, state.Vote = snapshot.Term, ""
	}
	n := &Node{
		config: config,
		random: rand.New(rand.NewPCG(config.Seed, config.Seed)),
		state:  state,
		saved:  state,
		log:    newEntryLog(snapshot, entries, state.Commit),
	}
	n.state.Commit = n.log.committed
	n.applied = n.log.applied
	n.fresh = true
	n.retrySoon()
	return n
}

// ID is the replica's ID.
func (n *Node) ID() string { return n.state.ID }

// Cluster is the cluster's ID; empty until a leader's first message.
func (n *Node) Cluster() string { return n.state.Cluster }

// Term is the current term.
func (n *Node) Term() uint64 { return n.state.Term }

// Role is the node's role in the current term.
func (n *Node) Role() Role { return n.role }

// Leader is the current term's leader; empty if unknown.
func (n *Node) Leader() string { return n.leader }

// Members is the membership in force, committed or not.
func (n *Node) Members() []Member { return n.log.members() }

// CommitIndex is the last index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.committed }

// AppliedIndex is the last index that an Advance marked as applied.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// LastIndex is the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// TickInterval moves the node's timers by one tick.
func (n *Node) Tick() {
	n.sinceLeader++
	n.elapsed++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsed < n.timeout {
		return
	}
	n.resetTimeout()
	if n.mayCampaign() {
		n.campaign(PreCandidate, false)
	}
}

// resetTimeout starts a new randomized election timeout.
func (n *Node) resetTimeout() {
	n.elapsed = 0
	n.timeout = n.config.ElectionTicks + n.random.IntN(n.config.ElectionJitterTicks)
}

// retrySoon starts a short randomized timeout, for a campaign without a result
// and for the first one after the start.
func (n *Node) retrySoon() {
	n.elapsed = 0
	n.timeout = retryTicks + n.random.IntN(retrySpread)
}

// becomeFollower enters the term, forgetting what belongs to an older one.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.state.Term {
		n.state.Term = term
		n.state.Vote = ""
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.reads = nil
	n.wantRound = false
	n.transferee = ""
	n.handed = false
	n.resetTimeout()
}

// StepDown makes a leader or candidate a follower of the same term.
func (n *Node) StepDown() {
	if n.role != Follower {
		n.becomeFollower(n.state.Term, "")
	}
}

// Step handles a message. Messages to another replica or from another cluster
// are dropped.
func (n *Node) Step(m Message) {
	if m.To != n.state.ID || m.From == n.state.ID || !n.acceptCluster(&m) {
		return
	}
	if m.Term < n.state.Term {
		n.answerOldTerm(&m)
		return
	}
	if m.Term > n.state.Term && !n.enterTerm(&m) {
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(&m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVote(&m)
	case MessageAppend:
		n.handleAppend(&m)
	case MessageSnapshot:
		n.handleChunk(&m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(&m)
	case MessageAppendResponse, MessageSnapshotResponse:
		n.handleAnswer(&m)
	case MessageReadIndex:
		n.handleRead(&m)
	case MessageReadIndexResponse:
		n.handleReadResponse(&m)
	}
}

// acceptCluster takes the cluster of the first leader's message and refuses any
// other from then on.
func (n *Node) acceptCluster(m *Message) bool {
	if n.state.Cluster == "" && m.Kind.fromLeader() && m.Cluster != "" {
		n.state.Cluster = m.Cluster
	}
	return n.state.Cluster != "" && m.Cluster == n.state.Cluster
}

// enterTerm moves to a newer term and tells whether to handle the message.
func (n *Node) enterTerm(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return !n.followsLeader() || n.fresh && m.Round != 0
	case MessageVote:
		if n.followsLeader() && !m.Transfer && !(n.fresh && m.Round != 0) {
			return false
		}
	case MessagePreVoteResponse:
		if !m.Reject {
			return true
		}
	}
	leader := ""
	if m.Kind.fromLeader() {
		leader = m.From
	}
	n.becomeFollower(m.Term, leader)
	return true
}

// followsLeader tells whether a leader's lead may still be confirmed, so that
// no vote may go to another. A node that was just started may have answered a
// leader before it stopped.
func (n *Node) followsLeader() bool {
	return n.role == Leader || n.sinceLeader < n.config.ElectionTicks
}

// answerOldTerm tells a leader or candidate of an older term the current one.
func (n *Node) answerOldTerm(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		n.send(Message{Kind: MessageAppendResponse, To: m.From, Reject: true, Index: m.Index, ToAddress: m.FromAddress})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true})
	}
}
