package quorum

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// confirmedLeaders returns the number of confirmed leaders. With more than one,
// two lease tables would be valid at the same time.
func confirmedLeaders(all []*Replica) int {
	count := 0
	for _, r := range all {
		if lead := r.Leadership(); lead.IsLeader && lead.Confirmed {
			count++
		}
	}
	return count
}

// When all replicas are killed and restart at nearly the same time, no
// leadership can still be confirmed, so they must elect a leader without
// waiting for an election timeout.
func TestSimultaneousRestartElectsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, Config{Node: NodeConfig{Seed: 1}})
		all := c.bootstrap(5)
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, confirmedLeaders(all))
		c.stopAll()
		all = all[:0]
		for _, host := range []string{"h1", "h2", "h3", "h4", "h5"} {
			all = append(all, c.start(host))
			time.Sleep(5 * time.Millisecond)
		}
		defer c.stopAll()
		started := time.Now()
		for confirmedLeaders(all) == 0 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(started), DefaultElectionTicks*DefaultTickInterval, "no leader was elected within an election timeout")
		}
	})
}

// When the followers restart while the leader is isolated from them, its
// leadership stays confirmed for a while. They must not elect another confirmed
// leader during that time.
func TestRestartedFollowersWaitForIsolatedLeader(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t, Config{Node: NodeConfig{Seed: uint64(seed)*1000 + 1}})
			all := c.bootstrap(3)
			defer c.stopAll()
			time.Sleep(3*time.Second + time.Duration(seed)*7*time.Millisecond)
			leader := confirmedLeader(all)
			require.NotNil(t, leader)
			c.isolate(leader.Status().ID, true)
			running := []*Replica{leader}
			for _, r := range all {
				if r == leader {
					continue
				}
				host := r.Status().Host
				r.Stop()
				running = append(running, c.start(host))
			}
			for range 300 {
				time.Sleep(10 * time.Millisecond)
				require.LessOrEqual(t, confirmedLeaders(running), 1)
			}
			next := confirmedLeader(running)
			require.NotNil(t, next)
			require.NotEqual(t, leader, next)
		})
	}
}
