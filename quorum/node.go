package quorum

import "math/rand/v2"

// Role is the role of a node in its term.
type Role uint8

// The roles of a node.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// Defaults for zero NodeConfig fields, in ticks and bytes.
const (
	// DefaultElectionTicks is the minimum number of ticks without a leader
	// before an election. The timeout is random, below DefaultElectionTicks +
	// DefaultElectionJitterTicks.
	DefaultElectionTicks       = 15
	DefaultElectionJitterTicks = 5
	// DefaultHeartbeatTicks is the interval between two heartbeat rounds.
	DefaultHeartbeatTicks = 6
	// A campaign without a result is retried after at least retryTicks and less
	// than retryTicks + retryJitterTicks ticks.
	retryTicks       = 2
	retryJitterTicks = 5
	// DefaultMaxAppendBytes is the maximum size of the entries in one message.
	DefaultMaxAppendBytes = 256 << 10
	// DefaultMaxInflightBytes is the maximum size of unacknowledged entries per
	// follower.
	DefaultMaxInflightBytes = 1 << 20
	// DefaultSnapshotChunkBytes is the maximum size of one chunk of a snapshot.
	DefaultSnapshotChunkBytes = 64 << 10
)

// NodeConfig holds a node's timeouts and limits; zero fields take the defaults.
type NodeConfig struct {
	// ElectionTicks is the minimum election timeout. A random number of ticks
	// below ElectionJitterTicks is added to it.
	ElectionTicks       int
	ElectionJitterTicks int
	// HeartbeatTicks is the interval between two heartbeat rounds.
	HeartbeatTicks int
	// MaxAppendBytes is the maximum size of the entries in one message,
	// MaxInflightBytes that of the unacknowledged entries per follower.
	MaxAppendBytes   int
	MaxInflightBytes int
	// SnapshotChunkBytes is the maximum size of one chunk of a snapshot.
	SnapshotChunkBytes int
	// Seed initializes the random election timeouts.
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

// Node is the consensus state of one replica: a pure step function without I/O,
// goroutines or a clock. It is not safe for concurrent use. After each batch of
// calls the driver calls Ready, does the work that it returns and calls
// Advance.
type Node struct {
	config NodeConfig
	random *rand.Rand
	state  HardState
	// durableState is the last state that was made durable.
	durableState HardState
	log          *entryLog
	// applied is the last index that the state machine has applied; log.applied
	// is ahead of it while a snapshot from the leader is not durable.
	applied uint64

	role   Role
	leader string
	// leaderAddress is the address that the leader named for a node that may not know it from
	// its log; empty if it has named none.
	leaderAddress string
	// ticksSinceLeader counts the ticks since the last message from a leader,
	// or since the start.
	ticksSinceLeader int
	// noLeaderSinceStart is set from the start until the first contact with a
	// leader or until the node becomes leader; startupRound identifies the
	// campaigns of that time.
	noLeaderSinceStart bool
	startupRound       uint64
	// lostVoters are the IDs of voters that never respond again.
	lostVoters map[string]bool
	// provedLost are the voters that a recovery may do without, with their successors.
	provedLost map[string]Member
	// recovery is the present campaign's or the leader's recovery; nil for an ordinary one.
	recovery *recovery
	// elapsedTicks counts up to timeoutTicks; on a leader, up to the next check
	// of its quorum.
	elapsedTicks        int
	timeoutTicks        int
	ticksSinceHeartbeat int
	// votes are the votes of the current campaign, by replica ID; true for a
	// grant.
	votes map[string]bool

	// progress holds the leader's view of the other members, by replica ID.
	progress map[string]*progress
	// round is the latest heartbeat round that was started.
	round uint64
	reads []pendingRead
	// heartbeatRequested is set when new reads need a heartbeat round.
	heartbeatRequested bool
	// transferTarget is the replica ID of the target of a leadership transfer;
	// timeoutNowSent is set once MessageTimeoutNow was sent to it.
	transferTarget string
	timeoutNowSent bool

	incoming *incomingSnapshot
	// pendingInstall is a complete snapshot from the leader that the state
	// machine does not hold yet.
	pendingInstall *Snapshot

	urgentMessages    []Message
	messagesAfterSave []Message
	confirmedReads    []ReadState
	lastReady         Ready
}

// NewNode returns a follower in the state that was loaded from its storage.
func NewNode(config NodeConfig, state HardState, snapshot Snapshot, entries []Entry) *Node {
	config = config.withDefaults()
	if state.Term < snapshot.Term {
		state.Term, state.Vote = snapshot.Term, ""
	}
	n := &Node{
		config:       config,
		random:       rand.New(rand.NewPCG(config.Seed, config.Seed)),
		state:        state,
		durableState: state,
		log:          newEntryLog(snapshot, entries, state.Commit, state.CommitTerm),
	}
	n.updateCommitState()
	n.applied = n.log.applied
	n.noLeaderSinceStart = true
	n.resetRetryTimeout()
	return n
}

// ID returns the replica ID.
func (n *Node) ID() string { return n.state.ID }

// Cluster returns the cluster ID; empty until the first message from a leader.
func (n *Node) Cluster() string { return n.state.Cluster }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.state.Term }

// Role returns the node's role in the current term.
func (n *Node) Role() Role { return n.role }

// Leader returns the ID of the current term's leader; empty if unknown.
func (n *Node) Leader() string { return n.leader }

// Members returns the latest membership in the log, committed or not.
func (n *Node) Members() []Member { return n.log.members() }

// CommitIndex returns the last index known to be committed.
func (n *Node) CommitIndex() uint64 { return n.log.committed }

// AppliedIndex returns the last index marked as applied by Advance.
func (n *Node) AppliedIndex() uint64 { return n.applied }

// LastIndex returns the last index of the log.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Tick advances the node's timers by one tick.
func (n *Node) Tick() {
	n.ticksSinceLeader++
	n.elapsedTicks++
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.elapsedTicks < n.timeoutTicks {
		return
	}
	n.resetTimeout()
	if n.canCampaign() {
		n.campaign(PreCandidate, false)
	}
}

// resetTimeout starts a new randomized election timeout.
func (n *Node) resetTimeout() {
	n.elapsedTicks = 0
	n.timeoutTicks = n.config.ElectionTicks + n.random.IntN(n.config.ElectionJitterTicks)
}

// resetRetryTimeout starts a short randomized timeout. It is used after a
// campaign without a result and for the first campaign after the start.
func (n *Node) resetRetryTimeout() {
	n.elapsedTicks = 0
	n.timeoutTicks = retryTicks + n.random.IntN(retryJitterTicks)
}

// becomeFollower enters the term as a follower and clears the state of the
// previous role.
func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.state.Term {
		n.state.Term = term
		n.state.Vote = ""
	}
	n.role = Follower
	n.setLeader(leader)
	n.votes = nil
	n.recovery = nil
	n.progress = nil
	n.reads = nil
	n.heartbeatRequested = false
	n.transferTarget = ""
	n.timeoutNowSent = false
	n.resetTimeout()
}

// StepDown makes a leader or candidate a follower in the same term.
func (n *Node) StepDown() {
	if n.role != Follower {
		n.becomeFollower(n.state.Term, "")
	}
}

// ReportLost reports that the replica with the ID never responds again, because its disk
// is gone. A node that has not had contact with a leader since its start needs no grant
// of it to elect a leader before the election timeout.
func (n *Node) ReportLost(id string) {
	if n.lostVoters == nil {
		n.lostVoters = map[string]bool{}
	}
	n.lostVoters[id] = true
}

// Step handles a message. Messages to other replicas or from other clusters are
// dropped.
func (n *Node) Step(m Message) {
	if m.To != n.state.ID || m.From == n.state.ID || n.isProvedLost(m.From) || !n.acceptCluster(&m) {
		return
	}
	if m.Term < n.state.Term {
		n.rejectStaleTerm(&m)
		return
	}
	if m.Term > n.state.Term && !n.enterTerm(&m) {
		return
	}
	switch m.Kind {
	case MessagePreVote, MessageVote:
		n.handleVoteRequest(&m)
	case MessagePreVoteResponse, MessageVoteResponse:
		n.handleVoteResponse(&m)
	case MessageAppend:
		n.handleAppend(&m)
	case MessageSnapshot:
		n.handleChunk(&m)
	case MessageTimeoutNow:
		n.handleTimeoutNow(&m)
	case MessageAppendResponse, MessageSnapshotResponse:
		n.handleFollowerResponse(&m)
	case MessageReadIndex:
		n.handleReadIndex(&m)
	case MessageReadIndexResponse:
		n.handleReadIndexResponse(&m)
	}
}

// acceptCluster adopts the cluster ID of the first message from a leader and
// reports whether the message belongs to the node's cluster.
func (n *Node) acceptCluster(m *Message) bool {
	if n.state.Cluster == "" && m.Kind.fromLeader() && m.Cluster != "" {
		n.state.Cluster = m.Cluster
	}
	return n.state.Cluster != "" && m.Cluster == n.state.Cluster
}

// enterTerm enters a newer term if the message requires it, and reports whether
// to handle the message.
func (n *Node) enterTerm(m *Message) bool {
	switch m.Kind {
	case MessagePreVote:
		return !n.leaderLeaseActive() || n.noLeaderSinceStart && m.Round != 0
	case MessageVote:
		if !n.mayReplaceLeader(m) {
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

// leaderLeaseActive reports whether the leadership of a leader may still be
// confirmed, so that no vote may be granted to another replica. A node that was
// just started may have answered a leader before it stopped.
func (n *Node) leaderLeaseActive() bool {
	return n.role == Leader || n.ticksSinceLeader < n.config.ElectionTicks
}

// mayReplaceLeader reports whether the node may vote for the candidate: no leadership may
// still be confirmed, or the request is part of a leadership transfer or of a startup
// campaign.
func (n *Node) mayReplaceLeader(m *Message) bool {
	return !n.leaderLeaseActive() || m.Transfer || n.noLeaderSinceStart && m.Round != 0
}

// rejectStaleTerm informs a leader or candidate of an older term about the
// current one.
func (n *Node) rejectStaleTerm(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		n.send(Message{Kind: MessageAppendResponse, To: m.From, Reject: true, Index: m.Index, ToAddress: m.FromAddress})
	case MessagePreVote:
		n.send(Message{Kind: MessagePreVoteResponse, To: m.From, Reject: true, ToAddress: m.FromAddress})
	}
}
