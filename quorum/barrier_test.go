package quorum

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A barrier on a follower must wait until the follower has applied the
// committed entries, not only until the leader has confirmed the read index.
func TestBarrierWaitsUntilApplied(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		lagging := c.otherReplicas(leader)[0]
		c.dropIf(func(m Message) bool { return m.Kind == MessageAppend && m.To == lagging.Status().ID })
		c.mustPropose(leader, "x")
		require.ErrorIs(t, lagging.Barrier(contextWithTimeout(300*time.Millisecond)), context.DeadlineExceeded)
		c.dropIf(nil)
		require.NoError(t, lagging.Barrier(contextWithTimeout(5*time.Second)))
		require.Equal(t, []string{"x"}, c.machines[lagging.Status().Host].commands())
	})
}

// A response to a read index request from before a restart must not match a
// barrier after it.
func TestBarrierIDsDifferAfterRestart(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(1)
		first := c.waitForLeader()
		c.stopAll()
		second := c.start("h1")
		c.stopAll()
		require.NotEqual(t, first.barriers.lastID, second.barriers.lastID)
	})
}
