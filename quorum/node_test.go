package quorum

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// newLockstepSim returns a simulation without faults, for tests that tick all
// hosts together.
func newLockstepSim(t *testing.T, size int) *sim {
	return newSim(t, 1, size, simFaults{})
}

// tick advances every running host by one tick and delivers all messages.
func (s *sim) tick() {
	for _, n := range s.nodes {
		if n.node != nil {
			n.node.Tick()
			s.process(n)
		}
	}
	s.deliverAll()
}

func (s *sim) deliverAll() {
	for len(s.inFlight) > 0 {
		s.deliver()
	}
}

// electLeader ticks until a host is the leader and has committed in its term.
func (s *sim) electLeader() *simNode {
	const limit = 100
	for range limit {
		s.tick()
		for _, n := range s.nodes {
			if n.node != nil && n.group == 0 && n.node.Role() == Leader && n.node.committedInTerm() {
				return n
			}
		}
	}
	require.FailNow(s.t, "no leader was elected")
	return nil
}

func (s *sim) propose(n *simNode, value string) uint64 {
	index, _, err := n.node.Propose([]byte(value))
	require.NoError(s.t, err)
	s.process(n)
	return index
}

// leaderOfThree returns the leader of term 4 in a cluster of a, b and c. It
// holds an entry of term 2 that the others lack.
func leaderOfThree(t *testing.T, moreIndexes ...uint64) *Node {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	state := HardState{Cluster: "x", ID: "a", Host: "h", Term: 3}
	n := NewNode(NodeConfig{}, state, Snapshot{Index: 1, Term: 1, Members: members}, makeEntries(2, append([]uint64{2}, moreIndexes...)...))
	n.campaign(Candidate, true)
	n.Ready()
	n.Advance()
	n.Step(Message{Kind: MessageVoteResponse, Cluster: "x", From: "b", To: "a", Term: 4})
	require.Equal(t, Leader, n.Role())
	n.Ready()
	n.Advance()
	return n
}

func TestOlderTermEntriesNotCommittedByReplicaCount(t *testing.T) {
	n := leaderOfThree(t)
	response := Message{Kind: MessageAppendResponse, Cluster: "x", From: "b", To: "a", Term: 4, Index: 2}
	n.Step(response)
	require.Equal(t, uint64(1), n.CommitIndex())
	response.Index = 3
	n.Step(response)
	require.Equal(t, uint64(3), n.CommitIndex())
}

func TestProposeMembersRejectsInvalidChanges(t *testing.T) {
	n := leaderOfThree(t)
	members := n.Members()
	learner := append(members[:3:3], Member{ID: "d"})
	_, _, err := n.ProposeMembers(learner)
	require.ErrorIs(t, err, ErrNoCommitInTerm)

	n.Step(Message{Kind: MessageAppendResponse, Cluster: "x", From: "b", To: "a", Term: 4, Index: 3})
	for _, bad := range [][]Member{
		members[:1], {}, {{ID: "a"}, {ID: "b"}, {ID: "c"}}, append(learner[:4:4], Member{ID: "e"}), append(learner[:4:4], Member{ID: "d"}),
	} {
		_, _, err = n.ProposeMembers(bad)
		require.ErrorIs(t, err, ErrInvalidMembershipChange)
	}
	_, _, err = n.ProposeMembers(append(members[:3:3], Member{ID: "d", Voter: true}))
	require.ErrorIs(t, err, ErrNotCaughtUp)
	_, _, err = n.ProposeMembers(learner)
	require.NoError(t, err)
	_, _, err = n.ProposeMembers(members)
	require.ErrorIs(t, err, ErrMembershipChangePending)
	n.StepDown()
	_, _, err = n.ProposeMembers(members)
	require.ErrorIs(t, err, ErrNotLeader)
}

func TestStepDropsForeignMessages(t *testing.T) {
	n := leaderOfThree(t)
	for _, m := range []Message{
		{Kind: MessageAppend, Cluster: "other", From: "b", To: "a", Term: 9},
		{Kind: MessageAppend, Cluster: "x", From: "b", To: "a-before-the-wipe", Term: 9},
		{Kind: MessageAppend, From: "b", To: "a", Term: 9},
	} {
		n.Step(m)
		require.Equal(t, Leader, n.Role())
		require.Equal(t, uint64(4), n.Term())
	}
}

// A leader in the minority of a partition must not confirm reads before it
// steps down.
func TestIsolatedLeaderConfirmsNoRead(t *testing.T) {
	s := newLockstepSim(t, 3)
	old := s.electLeader()
	old.group = 1
	for old.node.Role() == Leader {
		s.nextID++
		require.True(t, old.node.RequestReadIndex(s.nextID))
		for old.node.HasReady() {
			require.Empty(t, old.node.Ready().ReadStates)
			old.node.Advance()
		}
		old.node.Tick()
	}
	require.NotEqual(t, old.host, s.electLeader().host)
	old.group = 0
	for range old.node.config.HeartbeatTicks {
		s.tick()
	}
	require.Equal(t, s.electLeader().node.ID(), old.node.Leader())
}

// A host that returns from a partition must not force an election.
func TestReturningHostDoesNotDisruptLeader(t *testing.T) {
	s := newLockstepSim(t, 3)
	leader := s.electLeader()
	term := leader.node.Term()
	returning := s.nodes[0]
	if returning == leader {
		returning = s.nodes[1]
	}
	returning.group = 1
	for range 100 {
		s.tick()
	}
	returning.group = 0
	for range 30 {
		s.tick()
	}
	require.Equal(t, term, leader.node.Term())
	require.Equal(t, leader.node.ID(), returning.node.Leader())
}

// A follower that recently had contact with its leader, or that was just
// started, ignores vote requests of a newer term.
func TestVoteRequestIgnoredWithinElectionTimeout(t *testing.T) {
	s := newLockstepSim(t, 3)
	leader := s.electLeader()
	for _, n := range s.nodes {
		if n == leader {
			continue
		}
		vote := Message{
			Kind: MessageVote, Cluster: "cluster", From: leader.node.ID(), To: n.node.ID(),
			Term: leader.node.Term() + 1, Index: 100, LogTerm: leader.node.Term(),
		}
		n.node.Step(vote)
		require.Equal(t, leader.node.Term(), n.node.Term())
		s.startNode(n)
		n.node.Step(vote)
		require.Equal(t, leader.node.Term(), n.node.Term())
		for range n.node.config.ElectionTicks - 1 {
			n.node.Tick()
		}
		n.node.Step(vote)
		require.Equal(t, leader.node.Term(), n.node.Term())
		n.node.Tick()
		n.node.Step(vote)
		require.Equal(t, leader.node.Term()+1, n.node.Term())
	}
}

// After a lost chunk, the transfer resumes at the offset that the follower has
// received, not at the start.
func TestSnapshotChunksResumeAfterLoss(t *testing.T) {
	s := newLockstepSim(t, 3)
	leader := s.electLeader()
	lagging := s.nodes[0]
	if lagging == leader {
		lagging = s.nodes[1]
	}
	lagging.group = 1
	for i := range 20 {
		s.propose(leader, fmt.Sprint(i))
		s.deliverAll()
	}
	snapshot := leader.node.MakeSnapshot(make([]byte, 100))
	require.NoError(t, leader.storage.SaveSnapshot(snapshot))
	leader.node.Compact(snapshot, 0)
	lagging.group = 0
	sent, held := 0, uint64(0)
	for range 200 {
		s.tickAll()
		for at := 0; at < len(s.inFlight); at++ {
			m := s.inFlight[at]
			if m.Kind == MessageSnapshot {
				sent++
				require.GreaterOrEqual(t, m.Chunk.Offset, held)
				require.LessOrEqual(t, len(m.Chunk.Data), s.config.SnapshotChunkBytes)
			}
			if m.Kind == MessageSnapshotResponse {
				held = m.Chunk.Offset
			}
			lost := m.Kind == MessageSnapshot && sent%3 == 0
			if to := s.byID(m.To); to != nil && !lost {
				to.node.Step(m)
				s.process(to)
			}
		}
		s.inFlight = nil
	}
	require.Equal(t, leader.node.CommitIndex(), lagging.node.AppliedIndex())
	require.Equal(t, snapshot.Index, lagging.node.SnapshotIndex())
	require.Equal(t, leader.node.CommitIndex(), leader.node.MatchIndex(lagging.node.ID()))
	require.Less(t, sent, 2*100/s.config.SnapshotChunkBytes)
}

func (s *sim) tickAll() {
	for _, n := range s.nodes {
		n.node.Tick()
		s.process(n)
	}
}

// The unacknowledged bytes sent to a follower are limited.
func TestInflightBytesAreBounded(t *testing.T) {
	s := newLockstepSim(t, 3)
	leader := s.electLeader()
	s.inFlight = nil
	for range 100 {
		s.propose(leader, "0123456789")
	}
	sent := map[string]int{}
	for _, m := range s.inFlight {
		for i := range m.Entries {
			sent[m.To] += entrySize(&m.Entries[i])
		}
	}
	require.Len(t, sent, 2)
	for _, size := range sent {
		require.Less(t, size, s.config.MaxInflightBytes+s.config.MaxAppendBytes+entrySize(&Entry{Data: []byte("0123456789")}))
	}
	s.deliverAll()
	s.tick()
	require.Equal(t, leader.node.LastIndex(), leader.node.CommitIndex())
}

// A follower with a long conflicting tail needs at most one rejection per term.
func TestConflictingTailNeedsOneRejectionPerTerm(t *testing.T) {
	n := leaderOfThree(t, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	members := n.Members()
	tail := append(makeEntries(2, 2), makeEntries(3, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13)...)
	b := NewNode(NodeConfig{}, HardState{Cluster: "x", ID: "b", Host: "h", Term: 4}, Snapshot{Index: 1, Term: 1, Members: members}, tail)
	rejections := 0
	for range 10 {
		n.Tick()
		for n.HasReady() {
			for _, m := range n.Ready().Messages {
				b.Step(m)
			}
			n.Advance()
		}
		for b.HasReady() {
			for _, m := range b.Ready().MessagesAfterSave {
				if m.Reject {
					rejections++
				}
				n.Step(m)
			}
			b.Advance()
		}
	}
	require.LessOrEqual(t, rejections, 2)
	require.Equal(t, n.LastIndex(), b.LastIndex())
	require.Equal(t, n.LastIndex(), n.MatchIndex("b"))
}

// A leader rejects commands during a transfer, and is not confirmed once it has
// sent MessageTimeoutNow to the target. The target becomes leader without
// waiting for an election timeout.
func TestTransferLeadership(t *testing.T) {
	s := newLockstepSim(t, 3)
	leader := s.electLeader()
	to := leader.node.MostUpToDateVoter()
	s.propose(leader, "1")
	require.NoError(t, leader.node.TransferLeadership(to))
	_, _, err := leader.node.Propose([]byte("2"))
	require.ErrorIs(t, err, ErrNotLeader)
	s.process(leader)
	for leader.node.Role() == Leader && !leader.node.timeoutNowSent {
		require.NotZero(t, leader.node.ConfirmedRound())
		s.deliver()
	}
	require.Zero(t, leader.node.ConfirmedRound())
	s.deliverAll()
	require.Equal(t, to, leader.node.Leader())
	require.Equal(t, Leader, s.byID(to).node.Role())
}

// While a leader is confirmed, no other host may be the leader of a newer term,
// also when hosts pause or restart.
func TestConfirmedLeaderIsUnique(t *testing.T) {
	confirmed := 0
	for seed := range uint64(100) {
		confirmed += runConfirmedLeaders(t, seed)
	}
	require.Greater(t, confirmed, 10_000)
}

// A follower that answered a leader right after its restart campaigned within its
// election timeout, while its answer still confirmed the leader.
func TestRestartedFollowerAwaitsElectionTimeout(t *testing.T) {
	s := newLockstepSim(t, 3)
	leader := s.electLeader()
	for _, n := range s.nodes {
		if n == leader {
			continue
		}
		s.startNode(n)
		n.node.Step(Message{
			Kind: MessageAppend, Cluster: "cluster", From: leader.node.ID(), To: n.node.ID(), Term: leader.node.Term(),
		})
		require.Equal(t, leader.node.ID(), n.node.Leader())
		for range n.node.config.ElectionTicks - 1 {
			n.node.Tick()
			require.Equal(t, Follower, n.node.Role())
		}
	}
	runConfirmedLeaders(t, 1100)
}

// A follower that answered a leader, and then learned of a newer term from a rejection,
// voted in that term while its answer still confirmed the leader.
func TestVoteIgnoredInTermOfRejection(t *testing.T) {
	s := newLockstepSim(t, 3)
	leader := s.electLeader()
	term := leader.node.Term() + 1
	for i, n := range s.nodes {
		if n == leader {
			continue
		}
		candidate := s.nodes[3-i-slices.Index(s.nodes, leader)].node.ID()
		n.node.Step(Message{
			Kind: MessageAppend, Cluster: "cluster", From: leader.node.ID(), To: n.node.ID(), Term: leader.node.Term(),
		})
		n.node.Step(Message{
			Kind: MessagePreVoteResponse, Cluster: "cluster", From: candidate, To: n.node.ID(), Term: term, Reject: true,
		})
		vote := Message{
			Kind: MessageVote, Cluster: "cluster", From: candidate, To: n.node.ID(), Term: term, Index: 100, LogTerm: term,
		}
		for range n.node.config.ElectionTicks {
			n.node.Step(vote)
			require.Equal(t, term, n.node.Term())
			require.Empty(t, n.node.state.Vote)
			n.node.Tick()
		}
		n.node.Step(vote)
		require.Equal(t, candidate, n.node.state.Vote)
	}
	runConfirmedLeaders(t, 276)
}

// runConfirmedLeaders runs three hosts that pause and restart, and returns how often a
// leadership was confirmed.
func runConfirmedLeaders(t *testing.T, seed uint64) int {
	confirmed := 0
	s := newSim(t, seed, 3, simFaults{Drop: 100, Duplicate: 50, Transfer: 5})
	sentAt := map[leaderRound]int64{}
	paused := map[*simNode]int{}
	for s.now = 1; s.now < 600; s.now++ {
		for _, n := range s.nodes {
			s.tickUnlessPaused(n, paused)
		}
		for range 2 * len(s.inFlight) {
			if len(s.inFlight) > 0 && paused[s.byID(s.inFlight[0].To)] <= 0 {
				s.deliver()
			}
		}
		confirmed += s.checkConfirmed(sentAt)
	}
	return confirmed
}

func (s *sim) tickUnlessPaused(n *simNode, paused map[*simNode]int) {
	if paused[n]--; paused[n] > 0 {
		return
	}
	if s.chance(15) {
		paused[n] = s.random.IntN(60)
	}
	if s.chance(5) {
		s.crash(n)
		s.startNode(n)
	}
	n.node.Tick()
	s.process(n)
	s.injectFault()
}

// leaderRound identifies a heartbeat round of a leader.
type leaderRound struct {
	id    string
	term  uint64
	round uint64
}

// checkConfirmed returns the number of hosts whose leadership is confirmed, and
// checks that no other host is the leader of a newer term.
func (s *sim) checkConfirmed(sentAt map[leaderRound]int64) int {
	window := int64(Config{}.withDefaults().confirmWindow() / DefaultTickInterval)
	count := 0
	for _, n := range s.nodes {
		key := leaderRound{n.node.ID(), n.node.Term(), n.node.HeartbeatRound()}
		if _, known := sentAt[key]; !known {
			sentAt[key] = s.now
		}
		key.round = n.node.ConfirmedRound()
		at, known := sentAt[key]
		if key.round == 0 || !known || s.now-at >= window {
			continue
		}
		count++
		for _, other := range s.nodes {
			newer := other.node.Role() == Leader && other.node.Term() > n.node.Term()
			require.False(s.t, newer, "%s is leader of term %d while %s is confirmed in term %d", other.host, other.node.Term(), n.host, n.node.Term())
		}
	}
	return count
}
