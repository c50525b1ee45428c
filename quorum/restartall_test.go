package quorum

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// confirmedLeaders counts the replicas whose lead is confirmed; more than one at
// a time would let two tables of leases count.
func confirmedLeaders(all []*Replica) int {
	count := 0
	for _, r := range all {
		if lead := r.Leadership(); lead.IsLeader && lead.Confirmed {
			count++
		}
	}
	return count
}

// All replicas are killed and start again at nearly the same time. Nobody's lead
// can still be confirmed, and none of them waits for the silence of a leader.
func TestReplicasThatAllRestartElectAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newReplicas(t, Config{Node: NodeConfig{Seed: 1}})
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
			require.Less(t, time.Since(started), DefaultElectionTicks*DefaultTickInterval, "nobody led within the time that a leader's silence takes")
		}
	})
}

// The followers restart while the leader runs on, cut off from them. Its lead is
// still confirmed for a while, and no other may be meanwhile.
func TestFollowersThatRestartWaitForALeaderThatIsCutOff(t *testing.T) {
	for seed := range 20 {
		synctest.Test(t, func(t *testing.T) {
			c := newReplicas(t, Config{Node: NodeConfig{Seed: uint64(seed)*1000 + 1}})
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
