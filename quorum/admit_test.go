package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Hosts that start empty are admitted one after the other; one whose disk was
// lost is not, since its old replica is still a member.
func TestAdmitHostsButNotALostDisk(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(1)
		leader := c.leader()
		second, third := c.start("h2"), c.start("h3")
		for _, r := range []*Replica{second, third, second} {
			require.NoError(t, leader.Admit(within(time.Minute), member(r)))
		}
		c.pass(time.Second)
		require.Len(t, leader.Status().Members, 3)
		for _, m := range leader.Status().Members {
			require.True(t, m.Voter)
		}
		old := third.Status().ID
		c.forget(third)
		delete(c.store, "h3")
		fresh := c.start("h3")
		require.ErrorIs(t, leader.Admit(within(time.Minute), member(fresh)), ErrHostAlreadyMember)
		require.Empty(t, fresh.Status().Members)
		require.NoError(t, leader.Replace(within(time.Minute), old, member(fresh)))
	})
}

// A repeated command is not answered before the change is committed.
func TestRepeatedMembershipCommandWaitsForTheCommit(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		leader := c.leader()
		c.loseIf(func(m Message) bool { return m.Kind == MessageAppendResponse && !m.Reject && m.Index > 2 })
		learner := Member{ID: "new", Host: "h4"}
		require.ErrorIs(t, leader.AddLearner(within(100*time.Millisecond), learner), ErrUnknownOutcome)
		require.ErrorIs(t, leader.AddLearner(within(100*time.Millisecond), learner), ErrMembershipChangePending)
		c.loseIf(nil)
		c.pass(time.Second)
		require.NoError(t, leader.AddLearner(within(time.Second), learner))
	})
}
