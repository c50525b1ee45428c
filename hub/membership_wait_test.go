package hub

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/comfreytiller/integration/daemons"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
)

// catchUpTime is how long a replica may take, after it has started, to become a voter: after
// it, as many voters may be lost again as the cluster tolerates.
const catchUpTime = 4 * time.Second

// requestMembership sends the join requests of a replica that doesn't respond, until the test
// ends.
func (c *cluster) requestMembership(id, host string) {
	node := peer.NewNode(peer.Config{Host: host, Clock: clockwork.NewRealClock()}, nil)
	c.t.Cleanup(node.Close)
	request := peer.JoinRequest{ID: id, Host: host, Address: daemons.FreeAddress(c.t)}
	addresses := slices.Clone(c.addresses)
	go ticks.Every(c.t.Context(), clockwork.NewRealClock(), membershipInterval, func(context.Context) {
		for _, address := range addresses {
			node.Send(address, request)
		}
	})
}

// Guards against losing the majority of the voters: two of five hubs lose their disks, and
// one of them stops again before it has caught up. The other one must not wait for it.
func TestMembership_UnresponsiveReplicaDoesNotDelayOthers(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	leader := c.leader()
	first, second := (leader+1)%5, (leader+2)%5
	c.wipe(first)
	c.wipe(second)
	c.requestMembership("unresponsive", fmt.Sprintf("h-%d", first))
	c.eventually("the leader knows the unresponsive replica", func() bool {
		for _, member := range c.hubs[leader].replica.Quorum.Status().Members {
			if member.ID == "unresponsive" {
				return true
			}
		}
		return false
	})
	c.start(second, false)
	require.Eventually(t, func() bool { return c.isOnlyVoter(second) }, catchUpTime, eventuallyTick)
}

// isOnlyVoter reports whether the hub's replica is a voter and no other replica of its host is.
func (c *cluster) isOnlyVoter(i int) bool {
	leader := c.leader()
	if leader < 0 {
		return false
	}
	own := c.hubs[i].replica.Quorum.Status()
	isVoter := false
	for _, member := range c.hubs[leader].replica.Quorum.Status().Members {
		if member.Voter && member.Host == own.Host && member.ID != own.ID {
			return false
		}
		isVoter = isVoter || member.Voter && member.ID == own.ID
	}
	return isVoter
}

// Guards against the same loss: a host is gone for good and another one takes its place. The
// successor must have its vote by the time at which two others may be lost.
func TestMembership_SuccessorVotesOnceItHasCaughtUp(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	for _, isLeader := range []bool{false, true} {
		c.eventually("there is a leader", func() bool { return c.leader() >= 0 })
		gone := c.leader()
		for !isLeader && gone == c.leader() || c.hubs[gone] == nil {
			gone = (gone + 1) % len(c.hubs)
		}
		c.stop(gone)
		successor := c.add()
		c.start(successor, false)
		require.Eventually(t, func() bool { return c.isVoter(successor) }, catchUpTime, eventuallyTick, "the leader is gone: %t", isLeader)
	}
}

// A new replica gets its vote only once it holds all that is committed, and until then no
// change waits for it.
func TestNextStep_ReplicaVotesOnceItHasCaughtUp(t *testing.T) {
	replace := MembershipChange{Step: StepReplace, Replaced: "a"}
	learner := func(match uint64) quorum.Status {
		return quorum.Status{CommitIndex: 7, Members: []quorum.MemberStatus{{Member: quorum.Member{ID: "n"}, MatchIndex: match}}}
	}
	require.Equal(t, MembershipChange{Step: StepAddLearner}, NextStep(quorum.Status{}, replace, "n"))
	require.Equal(t, MembershipChange{Step: StepNone}, NextStep(learner(6), replace, "n"))
	require.Equal(t, replace, NextStep(learner(7), replace, "n"))
	require.Equal(t, MembershipChange{Step: StepNone}, NextStep(quorum.Status{}, MembershipChange{Step: StepNone}, "n"))
}

// A learner that lost its disk must not keep the next replica at its address out.
func TestSupersededLearner_AnotherReplicaUsesItsAddress(t *testing.T) {
	status := quorum.Status{Members: []quorum.MemberStatus{
		{Member: quorum.Member{ID: "v", Address: "1:1", Voter: true}}, {Member: quorum.Member{ID: "l", Address: "2:2"}},
	}}
	request := func(id, address string) []joinRequest {
		return []joinRequest{{JoinRequest: peer.JoinRequest{ID: id, Address: address}}}
	}
	require.Equal(t, "l", SupersededLearner(status, request("n", "2:2")))
	require.Empty(t, SupersededLearner(status, request("l", "2:2")))
	require.Empty(t, SupersededLearner(status, request("n", "1:1")), "a voter is replaced, not removed")
}

// Guards against a hub that never takes part again: it was replaced while it stood still, and
// its disk says that it still votes.
func TestMembership_ReplacedVoterReturnsAsLearner(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	gone := (c.leader() + 1) % 5
	c.stop(gone)
	successor := c.add()
	c.start(successor, false)
	c.eventually("the successor votes", func() bool { return c.isVoter(successor) })
	c.start(gone, false)
	c.eventually("the replaced hub is a learner", func() bool {
		leader := c.leader()
		if leader < 0 {
			return false
		}
		id := c.hubs[gone].replica.Quorum.Status().ID
		for _, member := range c.hubs[leader].replica.Quorum.Status().Members {
			if member.ID == id && !member.Voter {
				return true
			}
		}
		return false
	})
	c.eventually("the replaced hub is in contact with the majority", func() bool { return c.hubs[gone].hasMajorityContact() })
}

// A replica that lost its disk twice within a moment must not take turns with itself.
func TestMembership_LatestReplicaAtAnAddressCounts(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	c.eventually("there is a leader", func() bool { return c.leader() >= 0 })
	h := c.hubs[c.leader()]
	m := newMembershipManager(h)
	for _, id := range []string{"first", "second"} {
		m.recordJoin(peer.JoinRequest{ID: id, Host: "h-9", Address: "127.0.0.1:1", Forwarded: true})
	}
	requests := m.activeRequests()
	require.Len(t, requests, 1)
	require.Equal(t, "second", requests[0].ID)
}
