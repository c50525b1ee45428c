package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Hosts with empty storage are admitted one after the other. A host whose disk
// was lost is rejected, because its old replica is still a member; it has to be
// replaced.
func TestAdmitRejectsHostWithLostDisk(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(1)
		leader := c.waitForLeader()
		second, third := c.start("h2"), c.start("h3")
		for _, r := range []*Replica{second, third, second} {
			require.NoError(t, leader.Admit(contextWithTimeout(time.Minute), memberOf(r)))
		}
		c.advance(time.Second)
		require.Len(t, leader.Status().Members, 3)
		for _, m := range leader.Status().Members {
			require.True(t, m.Voter)
		}
		old := third.Status().ID
		c.stopPermanently(third)
		delete(c.storages, "h3")
		fresh := c.start("h3")
		require.ErrorIs(t, leader.Admit(contextWithTimeout(time.Minute), memberOf(fresh)), ErrHostAlreadyMember)
		require.Empty(t, fresh.Status().Members)
		require.NoError(t, leader.Replace(contextWithTimeout(time.Minute), old, memberOf(fresh)))
	})
}

// A repeated membership change must not succeed before the first one is
// committed.
func TestRepeatedMembershipChangeWaitsForCommit(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		c.dropIf(func(m Message) bool { return m.Kind == MessageAppendResponse && !m.Reject && m.Index > 2 })
		learner := Member{ID: "new", Host: "h4"}
		require.ErrorIs(t, leader.AddLearner(contextWithTimeout(100*time.Millisecond), learner), ErrUnknownOutcome)
		require.ErrorIs(t, leader.AddLearner(contextWithTimeout(100*time.Millisecond), learner), ErrMembershipChangePending)
		c.dropIf(nil)
		c.advance(time.Second)
		require.NoError(t, leader.AddLearner(contextWithTimeout(time.Second), learner))
	})
}
