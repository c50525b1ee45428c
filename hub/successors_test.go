package hub

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against leaving out hosts that know nobody: they have lost their disks, and the
// replicas in their settings are the others that have, or gone.
func TestSuccessors_HostsThatKnowOnlyLostReplicasAreFound(t *testing.T) {
	t.Run("all replicas of the settings lost their disks", func(t *testing.T) {
		c := newCluster(t, 5)
		c.awaitAllVoters()
		for i := range 5 {
			c.stop(i)
		}
		for i := range 3 {
			c.wipe(i)
		}
		for i := range 5 {
			c.start(i, false)
		}
		c.awaitOnlyVoters(0, 1, 2)
	})
	t.Run("one replica of the settings is gone and two lost their disks", func(t *testing.T) {
		c := newCluster(t, 5)
		c.awaitAllVoters()
		c.stop(2)
		successor := c.add()
		c.start(successor, false)
		c.eventually("the gone hub is replaced", func() bool { return c.leader() >= 0 && c.isVoter(successor) })
		for i := range 2 {
			c.wipe(i)
			c.start(i, false)
		}
		c.awaitOnlyVoters(0, 1)
	})
}

// awaitOnlyVoters waits until the hubs' replicas have the votes of their hosts.
func (c *cluster) awaitOnlyVoters(hubs ...int) {
	c.t.Helper()
	for _, i := range hubs {
		require.Eventually(c.t, func() bool { return c.isOnlyVoter(i) }, eventuallyTimeout, eventuallyTick, "hub %d is a voter", i)
	}
}
