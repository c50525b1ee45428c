package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// recoveryNode returns node a of five voters, of which c, d and e are proved to be lost, with
// the entries after the first snapshot, at the end of an election timeout.
func recoveryNode(entries ...Entry) *Node {
	var members []Member
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		members = append(members, Member{ID: id, Host: "h-" + id, Address: id, Voter: true})
	}
	state := HardState{Cluster: "cluster", ID: "a", Host: "h-a", Term: 2, Commit: 1, CommitTerm: 1}
	n := NewNode(NodeConfig{}, state, Snapshot{Index: 1, Term: 1, Members: members}, entries)
	for range DefaultElectionTicks {
		n.Tick()
	}
	return n
}

func lostVoters(ids ...string) []LostVoter {
	var lost []LostVoter
	for _, id := range ids {
		lost = append(lost, LostVoter{ID: id, Successor: Member{ID: "new-" + id, Host: "h-" + id, Address: id}})
	}
	return lost
}

// campaignMessages lets the node campaign and returns the messages of its next write.
func campaignMessages(n *Node) []Message {
	n.takeMessages()
	n.campaign(PreCandidate, false)
	return n.takeMessages()
}

// takeMessages does the node's pending work and returns its messages.
func (n *Node) takeMessages() []Message {
	var messages []Message
	for n.HasReady() {
		ready := n.Ready()
		messages = append(append(messages, ready.Messages...), ready.MessagesAfterSave...)
		n.Advance()
	}
	return messages
}

// A voter must not elect a leader without others of whose loss it has no proof.
func TestRecovery_VoterWithoutProofRejects(t *testing.T) {
	request := Message{
		Kind: MessagePreVote, Cluster: "cluster", From: "b", To: "a", Term: 3 + recoveryTermStep,
		Index: 1, LogTerm: 1, Lost: []string{"c", "d", "e"},
	}
	for _, proved := range [][]LostVoter{nil, lostVoters("c", "d"), lostVoters("c", "d", "e")} {
		n := recoveryNode()
		n.takeMessages()
		n.AllowRecovery(proved)
		n.Step(request)
		messages := n.takeMessages()
		require.Len(t, messages, 1)
		require.Equal(t, len(proved) < 3, messages[0].Reject)
	}
}

// A grant that doesn't name the lost voters is that of a replica that knows no recoveries.
func TestRecovery_CountsOnlyGrantsThatAgree(t *testing.T) {
	n := recoveryNode()
	n.AllowRecovery(lostVoters("c", "d", "e"))
	messages := campaignMessages(n)
	require.Len(t, messages, 1)
	require.Equal(t, "b", messages[0].To)
	require.Equal(t, []string{"c", "d", "e"}, messages[0].Lost)
	grant := Message{Kind: MessagePreVoteResponse, Cluster: "cluster", From: "b", To: "a", Term: messages[0].Term, Round: messages[0].Round}
	n.Step(grant)
	require.Equal(t, PreCandidate, n.Role())
	grant.Lost = messages[0].Lost
	n.Step(grant)
	require.Equal(t, Candidate, n.Role())
	require.Greater(t, n.Term(), uint64(2+recoveryTermStep-1))
}

// A voter whose removal may not be committed must agree as well.
func TestRecovery_VoterOfPendingRemovalMustAgree(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "c", Voter: true}, {ID: "d", Voter: true}, {ID: "e", Voter: true}}
	n := recoveryNode(Entry{Index: 2, Term: 2, Kind: EntryMembers, Data: EncodeMembers(members)})
	n.AllowRecovery(lostVoters("c", "d", "e"))
	messages := campaignMessages(n)
	require.Equal(t, PreCandidate, n.Role())
	require.Len(t, messages, 1)
	require.Equal(t, "b", messages[0].To)
}

// A withdrawn proof ends the campaign: the grants were given for it.
func TestRecovery_WithdrawnProofEndsCampaign(t *testing.T) {
	n := recoveryNode()
	n.AllowRecovery(lostVoters("c", "d", "e"))
	request := campaignMessages(n)[0]
	n.AllowRecovery(nil)
	require.Equal(t, Follower, n.Role())
	n.Step(Message{Kind: MessagePreVoteResponse, Cluster: "cluster", From: "b", To: "a", Term: request.Term, Round: request.Round, Lost: request.Lost})
	require.Equal(t, Follower, n.Role())
}

// What a lost voter sent before may arrive late, and must not count.
func TestRecovery_MessagesOfLostVotersAreDropped(t *testing.T) {
	n := recoveryNode()
	n.takeMessages()
	n.AllowRecovery(lostVoters("c", "d", "e"))
	n.Step(Message{Kind: MessageAppend, Cluster: "cluster", From: "c", To: "a", Term: 7, Index: 1, LogTerm: 1})
	require.Empty(t, n.Leader())
	require.Equal(t, uint64(2), n.Term())
}

// A leader without the lost voters removes them first, and reaches their successors.
func TestRecovery_LeaderReplacesLostVotersByLearners(t *testing.T) {
	n := recoveryNode()
	n.AllowRecovery(lostVoters("b", "c", "d", "e"))
	campaignMessages(n)
	n.takeMessages()
	require.Equal(t, Leader, n.Role())
	require.Equal(t, []string{"b", "c", "d", "e"}, n.RecoveredWithout())
	require.Equal(t, 1, voterCount(n.Members()))
	require.Len(t, n.Members(), 5)
	require.Equal(t, n.LastIndex(), n.CommitIndex())
}
