package quorum

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A barrier on a follower waits until the follower has applied what was
// committed, not only until the leader has answered.
func TestBarrierWaitsForTheMachine(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		leader := c.leader()
		behind := c.others(leader)[0]
		c.loseIf(func(m Message) bool { return m.Kind == MessageAppend && m.To == behind.Status().ID })
		c.commit(leader, "x")
		require.ErrorIs(t, behind.Barrier(within(300*time.Millisecond)), context.DeadlineExceeded)
		c.loseIf(nil)
		require.NoError(t, behind.Barrier(within(5*time.Second)))
		require.Equal(t, []string{"x"}, c.state[behind.Status().Host].commands())
	})
}

// An answer to a barrier of an earlier run does not fit one of this run.
func TestBarrierNumbersDifferBetweenRuns(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(1)
		first := c.leader()
		c.stopAll()
		second := c.start("h1")
		c.stopAll()
		require.NotEqual(t, first.barriers.lastID, second.barriers.lastID)
	})
}
