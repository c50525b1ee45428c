package hub

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/quorum"
)

// settleTime is how long a cluster of quick hosts takes to get a leader and to add a learner.
const settleTime = 5 * time.Second

// runSlowCluster runs a test with five voters and a learner, all of them quick at first, once
// with each seed.
func runSlowCluster(t *testing.T, seeds int, test func(t *testing.T, c *slowCluster, learner *slowHost)) {
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSlowCluster(t, uint64(seed))
				defer c.stopAll()
				learner := c.add("learner")
				time.Sleep(settleTime)
				require.NotNil(t, c.leader())
				require.Len(t, c.leader().hub.replica.Quorum.Status().Members, slowVoters+1)
				test(t, c, learner)
			})
		})
	}
}

// follower returns a voter that doesn't lead.
func (c *slowCluster) follower() *slowHost {
	if c.hosts[0] == c.leader() {
		return c.hosts[1]
	}
	return c.hosts[0]
}

// voters returns the hosts of the voters according to the leader.
func (c *slowCluster) voters() []string {
	var hosts []string
	for _, member := range c.leader().hub.replica.Quorum.Status().Members {
		if member.Voter {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// commits reports whether the leader accepts a change by an operator.
func (c *slowCluster) commits() bool {
	leader := c.leader()
	if leader == nil || !leader.hub.hasAllVoters() {
		return false
	}
	ctx, cancel := context.WithTimeout(c.t.Context(), operatorCallTimeout)
	defer cancel()
	_, err := leader.hub.replica.Quorum.Propose(ctx, []byte("change"))
	return err == nil
}

// Guards against changes that are refused until another host comes: a voter is gone, and the
// learner that was to replace it stopped a moment later. Four of five voters are left.
func TestMembership_VoterStaysIfItsReplacementStopped(t *testing.T) {
	runSlowCluster(t, 5, func(t *testing.T, c *slowCluster, learner *slowHost) {
		c.lose(c.follower())
		time.Sleep(voterLostAfter / 2)
		c.lose(learner)
		time.Sleep(settleTime)
		require.True(t, c.commits(), "the voters are %v", c.voters())
	})
}

// Guards against a living voter that is replaced because the leader heard of nobody while it
// stood still itself.
func TestMembership_LeaderThatStoodStillReplacesNoVoter(t *testing.T) {
	runSlowCluster(t, 10, func(t *testing.T, c *slowCluster, learner *slowHost) {
		const standstill = voterLostAfter + 500*time.Millisecond
		before, leader, last := c.voters(), c.leader(), c.follower()
		for _, h := range c.hosts {
			pause := standstill + 100*time.Millisecond
			switch h {
			case leader, learner:
				pause = standstill
			case last:
				pause = standstill + 400*time.Millisecond
			}
			c.running.Go(func() { h.pause(pause) })
		}
		time.Sleep(settleTime)
		require.ElementsMatch(t, before, c.voters())
	})
}

// Guards against a gone voter that keeps its vote although its successor is there: a voter that
// stood still for a moment was replaced instead, since it came first among the members.
func TestMembership_LongestSilentVoterIsReplaced(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newSlowCluster(t, seed)
				defer c.stopAll()
				time.Sleep(settleTime)
				paused, gone := c.follower(), c.hosts[slowVoters-1]
				if gone == c.leader() {
					gone = c.hosts[slowVoters-2]
				}
				c.lose(gone)
				time.Sleep(time.Second)
				c.running.Go(func() { paused.pause(voterLostAfter + 2*time.Second) })
				time.Sleep(voterLostAfter + 200*time.Millisecond)
				c.add("successor")
				time.Sleep(time.Second)
				require.Contains(t, c.voters(), "successor")
				require.NotContains(t, c.voters(), gone.hub.Settings.Host)
				require.Contains(t, c.voters(), paused.hub.Settings.Host)
			})
		})
	}
}

// A cluster whose hosts are all slow must have its voters and a leader, and keep them, once the
// hosts are quick again.
func TestMembership_SettlesAfterAllWereSlow(t *testing.T) {
	runSlowCluster(t, 3, func(t *testing.T, c *slowCluster, _ *slowHost) {
		const slowTime = 20 * time.Second
		c.setSlowness(slowness{
			linkStall: 5, writeStall: 20, pauseInterval: 10 * time.Second, minStall: 500 * time.Millisecond, maxStall: 3 * time.Second,
		})
		time.Sleep(slowTime)
		c.setSlowness(slowness{})
		time.Sleep(2 * settleTime)
		require.True(t, c.commits())
		settled := c.voters()
		require.Len(t, settled, slowVoters)
		time.Sleep(2 * settleTime)
		require.ElementsMatch(t, settled, c.voters())
	})
}

// A learner that was heard of in the last heartbeats may replace a voter, no other member.
func TestIsResponsive(t *testing.T) {
	now := time.Unix(100, 0)
	status := quorum.Status{Members: []quorum.MemberStatus{
		{Member: quorum.Member{ID: "heard"}, LastContact: now.Add(-replacementContactWithin)},
		{Member: quorum.Member{ID: "stopped"}, LastContact: now.Add(-replacementContactWithin - 1)},
		{Member: quorum.Member{ID: "never"}},
	}}
	require.True(t, IsResponsive(status, "heard", now, replacementContactWithin))
	for _, id := range []string{"stopped", "never", "unknown"} {
		require.False(t, IsResponsive(status, id, now, replacementContactWithin), id)
	}
}

// A voter is silent only while the leader listens: not before it leads, nor while it stands still.
func TestListeningTime_Silence(t *testing.T) {
	start := time.Unix(100, 0)
	var l listeningTime
	l = l.extend(start, time.Second)
	require.Zero(t, l.silence(start.Add(-time.Hour)))
	l = l.extend(start.Add(time.Second), time.Second)
	require.Equal(t, time.Second, l.silence(time.Time{}))
	require.Equal(t, 300*time.Millisecond, l.silence(start.Add(700*time.Millisecond)))
	l = l.extend(start.Add(time.Minute), time.Second)
	require.Zero(t, l.silence(start), "the leader stood still")
	l = l.extend(start.Add(time.Minute+time.Second), time.Second)
	require.Equal(t, time.Second, l.silence(start))
}

// Of the voters that are silent, one known to be lost goes first, then the one that has been
// silent for longest, also if all were silent since before this replica led.
func TestLongestSilentVoter(t *testing.T) {
	now := time.Unix(100, 0)
	listening := listeningTime{since: now.Add(-voterLostAfter - time.Second), until: now}
	voter := func(id string, silence time.Duration) quorum.MemberStatus {
		return quorum.MemberStatus{Member: quorum.Member{ID: id, Voter: true}, LastContact: now.Add(-silence)}
	}
	learner := quorum.MemberStatus{Member: quorum.Member{ID: "learner"}}
	status := quorum.Status{ID: "leader", Members: []quorum.MemberStatus{
		learner, voter("leader", time.Hour), voter("quick", voterLostAfter), voter("slow", voterLostAfter+1),
	}}
	require.Equal(t, "slow", LongestSilentVoter(status, listening, nil, nil))
	status.Members = append(status.Members, voter("gone", time.Minute), voter("later", 30*time.Second))
	require.Equal(t, "gone", LongestSilentVoter(status, listening, nil, nil))
	require.Equal(t, "later", LongestSilentVoter(status, listening, map[string]bool{"later": true, "quick": true}, nil))
	listening.since = now.Add(-voterLostAfter)
	require.Empty(t, LongestSilentVoter(status, listening, nil, nil), "the leader has not listened for long enough")
}
