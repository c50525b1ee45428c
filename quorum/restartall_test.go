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
		if leadership := r.Leadership(); leadership.IsLeader && leadership.Confirmed {
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
			restartFollowersOfIsolatedLeader(t, uint64(seed), 3, 0)
		})
	}
}

// restartFollowersOfIsolatedLeader isolates the leader of a cluster, stops its followers
// and restarts all but the given number of them, which lose their disks. It requires
// that there are never two confirmed leaders, and another one in the end.
func restartFollowersOfIsolatedLeader(t *testing.T, seed uint64, size, lost int) {
	t.Helper()
	c := newTestCluster(t, Config{Node: NodeConfig{Seed: seed*1000 + 1}})
	all := c.bootstrap(size)
	defer c.stopAll()
	time.Sleep(3*time.Second + time.Duration(seed)*7*time.Millisecond)
	leader := confirmedLeader(all)
	require.NotNil(t, leader)
	c.isolate(leader.Status().ID, true)
	running, lostIDs := []*Replica{leader}, []string{}
	for _, r := range all {
		if r == leader {
			continue
		}
		status := r.Status()
		r.Stop()
		if len(lostIDs) < lost {
			lostIDs = append(lostIDs, status.ID)
			continue
		}
		running = append(running, c.start(status.Host))
	}
	for _, r := range running[1:] {
		for _, id := range lostIDs {
			r.ReportLost(id)
		}
	}
	for range 300 {
		time.Sleep(10 * time.Millisecond)
		require.LessOrEqual(t, confirmedLeaders(running), 1)
	}
	next := confirmedLeader(running)
	require.NotNil(t, next)
	require.NotEqual(t, leader, next)
}

// All replicas are killed at once and two of five lose their disks. Once the others know
// that these never respond again, they must elect a leader without waiting for an
// election timeout; before that, one of them might be a leader on the far side of a
// partition.
func TestSimultaneousRestartWithLostDisksElectsImmediately(t *testing.T) {
	for _, reported := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t, Config{Node: NodeConfig{Seed: 1}})
			all := c.bootstrap(5)
			time.Sleep(3 * time.Second)
			lost := []string{all[3].Status().ID, all[4].Status().ID}
			c.stopAll()
			all = all[:0]
			for _, host := range []string{"h1", "h2", "h3"} {
				all = append(all, c.start(host))
				time.Sleep(5 * time.Millisecond)
			}
			defer c.stopAll()
			if reported {
				for _, r := range all {
					r.ReportLost(lost[0])
					r.ReportLost(lost[1])
				}
			}
			started := time.Now()
			for confirmedLeaders(all) == 0 && time.Since(started) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			require.Equal(t, 1, confirmedLeaders(all))
			if reported {
				require.Less(t, time.Since(started), DefaultElectionTicks*DefaultTickInterval/2)
			} else {
				require.GreaterOrEqual(t, time.Since(started), (DefaultElectionTicks-1)*DefaultTickInterval)
			}
		})
	}
}

// The leader of five is isolated while one follower loses its disk and the others
// restart. They know of the lost one, but the isolated leader may still be confirmed, so
// that they must wait for it.
func TestRestartedFollowersWithLostDisksWaitForIsolatedLeader(t *testing.T) {
	for seed := range 10 {
		synctest.Test(t, func(t *testing.T) {
			restartFollowersOfIsolatedLeader(t, uint64(seed), 5, 1)
		})
	}
}
