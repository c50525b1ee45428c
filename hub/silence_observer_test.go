package hub

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/quorum"
)

// Guards against an acknowledged configuration that is lost for good: voters that are gone for
// good kept their votes beside their successors, since their silence was counted anew after a
// standstill of another hub. Two lost disks then took the majority.
func TestMembership_SilenceOutlivesStandstill(t *testing.T) {
	const (
		successorDelay = time.Second
		// replacedWithin is the time after the start of its successor in which a host no longer
		// counts as lost, and a second more.
		replacedWithin = 5 * time.Second
	)
	for _, pausedRole := range []quorum.Role{quorum.Leader, quorum.Follower} {
		for _, pause := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
			for seed := range uint64(10) {
				t.Run(fmt.Sprintf("role %d paused for %s, seed %d", pausedRole, pause, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c := newSlowCluster(t, seed)
						defer c.stopAll()
						time.Sleep(settleTime)
						leader := c.leader()
						var followers []*slowHost
						for _, h := range c.hosts {
							if h != leader {
								followers = append(followers, h)
							}
						}
						paused, gone := leader, followers[2:]
						if pausedRole == quorum.Follower {
							paused = followers[0]
						}
						for _, h := range gone {
							c.lose(h)
						}
						time.Sleep(successorDelay)
						c.add("successor-0")
						c.add("successor-1")
						const beforePause = 200 * time.Millisecond
						time.Sleep(beforePause)
						c.running.Go(func() { paused.pause(pause) })
						time.Sleep(replacedWithin - beforePause)
						require.NotNil(t, c.leader())
						expected := []string{leader.hub.Settings.Host, followers[0].hub.Settings.Host, followers[1].hub.Settings.Host, "successor-0", "successor-1"}
						require.ElementsMatch(t, expected, c.voters())
					})
				})
			}
		}
	}
}

// A voter that is reported as silent is replaced earlier unless this leader has heard of it.
func TestLongestSilentVoter_Reported(t *testing.T) {
	now := time.Unix(100, 0)
	listening := listeningTime{since: now.Add(-time.Second), until: now}
	status := quorum.Status{ID: "leader", Members: []quorum.MemberStatus{
		{Member: quorum.Member{ID: "leader", Voter: true}, LastContact: now},
		{Member: quorum.Member{ID: "gone", Voter: true}, LastContact: now.Add(-time.Minute)},
		{Member: quorum.Member{ID: "slow", Voter: true}, LastContact: now.Add(-time.Second / 2)},
	}}
	require.Empty(t, LongestSilentVoter(status, listening, nil, nil))
	require.Empty(t, LongestSilentVoter(status, listening, nil, map[string]bool{"slow": true}), "the leader has heard of it")
	require.Equal(t, "gone", LongestSilentVoter(status, listening, nil, map[string]bool{"slow": true, "gone": true}))
	listening.since = now.Add(-confirmedSilence)
	require.Empty(t, LongestSilentVoter(status, listening, nil, map[string]bool{"gone": true}), "the voter has had no time to respond")
}
