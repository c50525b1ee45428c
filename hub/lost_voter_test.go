package hub

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
)

// reportedLost returns the voters that the hub has reported as lost, once no replica is being
// asked for its identity.
func (c *cluster) reportedLost(i int) (lost []string, settled bool) {
	m := c.hubs[i].membership
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.lostVoters {
		lost = append(lost, id)
	}
	return lost, len(m.verifying) == 0
}

// Guards against taking a voter for lost because a join request of its host's former replica
// arrives late.
func TestLostVoters_LateJoinRequestOfFormerReplicaIsNoProof(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	observer := c.leader()
	host := (observer + 1) % 3
	voter := c.hubs[host].replica.Identity()
	c.hubs[observer].membership.recordJoin(peer.JoinRequest{ID: "former", Host: voter.Host, Address: c.addresses[host]})
	c.eventually("the voter is asked for its identity", func() bool {
		_, settled := c.reportedLost(observer)
		return settled
	})
	lost, _ := c.reportedLost(observer)
	require.Empty(t, lost)
	c.wipe(host)
	c.start(host, false)
	c.eventually("the voter is known to be lost", func() bool {
		lost, _ := c.reportedLost(observer)
		return len(lost) == 1 && lost[0] == voter.ID
	})
}
