package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a replica with an empty disk that never catches up: the leader joined after
// entries that fill more than one message, so that the replica has acknowledged entries before it
// knows the leader's address from the log, and could not respond any more.
func TestLearner_CatchesUpWithALeaderThatJoinedLater(t *testing.T) {
	config := Config{Node: NodeConfig{MaxAppendBytes: 256, MaxInflightBytes: 1024}}
	runCluster(t, config, func(c *testCluster) {
		c.bootstrap(3)
		first := c.waitForLeader()
		for i := range 40 {
			c.mustPropose(first, fmt.Sprintf("a command of some length, number %d", i))
		}
		join := func(leader *Replica, host string) *Replica {
			joining := c.start(host)
			require.NoError(t, leader.AddLearner(contextWithTimeout(5*time.Second), Member{ID: joining.Status().ID, Host: host, Address: host + ":1"}))
			for range 100 {
				if status := joining.Status(); status.AppliedIndex >= leader.Status().CommitIndex {
					return joining
				}
				c.advance(DefaultTickInterval)
			}
			require.Failf(t, "not caught up", "%s has applied %d of %d entries", host, joining.Status().AppliedIndex, leader.Status().CommitIndex)
			return nil
		}
		second := join(first, "h4")
		require.NoError(t, first.Admit(contextWithTimeout(5*time.Second), Member{ID: second.Status().ID, Host: "h4", Address: "h4:1"}))
		require.NoError(t, first.TransferLeadership(contextWithTimeout(5*time.Second), second.Status().ID))
		require.Equal(t, second.Status().ID, c.waitForLeader().Status().ID)
		c.mustPropose(second, "one more")
		join(second, "h5")
	})
}

// Guards against a cluster that stays without a leader: the only candidate with all entries joined
// after the last entry of a voter, which grants its vote and had no address to send it to.
func TestElection_VoterBehindTheCandidatesAdmissionVotes(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		first := c.waitForLeader()
		others := c.otherReplicas(first)
		behind, middle := others[0], others[1]
		c.mustPropose(first, "x")
		c.isolate(behind.Status().ID, true)
		joined := c.start("h4")
		member := Member{ID: joined.Status().ID, Host: "h4", Address: "h4:1"}
		require.NoError(t, first.AddLearner(contextWithTimeout(5*time.Second), member))
		c.advance(time.Second)
		require.NoError(t, first.Admit(contextWithTimeout(5*time.Second), member))
		c.dropIf(func(m Message) bool { return m.To == middle.Status().ID && len(m.Entries) > 0 })
		_, err := first.Propose(contextWithTimeout(300*time.Millisecond), []byte("only on the new replica"))
		require.Error(t, err)
		require.Equal(t, first.Status().LastIndex, joined.Status().LastIndex)
		require.Less(t, middle.Status().LastIndex, joined.Status().LastIndex)
		c.isolate(first.Status().ID, true)
		c.isolate(behind.Status().ID, false)
		c.dropIf(nil)
		require.Equal(t, joined.Status().ID, c.waitForLeader().Status().ID)
	})
}

// A leader of an earlier release names its address only until the first acknowledgement.
func TestFollower_RemembersTheAddressThatItsLeaderNamed(t *testing.T) {
	n := recoveryNode()
	n.takeMessages()
	respond := func(address string) string {
		n.Step(Message{Kind: MessageAppend, Cluster: "cluster", From: "later", To: "a", Term: 3, Index: 1, LogTerm: 1, FromAddress: address})
		messages := n.takeMessages()
		require.NotEmpty(t, messages)
		return messages[len(messages)-1].ToAddress
	}
	require.Empty(t, respond(""))
	require.Equal(t, "later:1", respond("later:1"))
	require.Equal(t, "later:1", respond(""))
	n.Step(Message{Kind: MessageAppend, Cluster: "cluster", From: "another", To: "a", Term: 4, Index: 1, LogTerm: 1})
	messages := n.takeMessages()
	require.Empty(t, messages[len(messages)-1].ToAddress, "the address is that of the former leader")
}
