package quorum

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

var errDiskFull = errors.New("no space left on device")

func (c *testCluster) otherReplicas(leader *Replica) []*Replica {
	var rest []*Replica
	for _, host := range []string{"h1", "h2", "h3", "h4", "h5"} {
		if r := c.byID["id-"+host]; r != nil && r != leader {
			rest = append(rest, r)
		}
	}
	return rest
}

func (c *testCluster) mustPropose(r *Replica, command string) {
	_, err := r.Propose(contextWithTimeout(5*time.Second), []byte(command))
	require.NoError(c.t, err)
}

// memberOf returns the member that adds the replica to a cluster.
func memberOf(r *Replica) Member {
	s := r.Status()
	return Member{ID: s.ID, Host: s.Host, Address: s.Host + ":1"}
}

// stopPermanently stops a replica and removes it from the network.
func (c *testCluster) stopPermanently(r *Replica) {
	c.mu.Lock()
	delete(c.byID, r.Status().ID)
	c.mu.Unlock()
	r.Stop()
}

// A paused leader must not be confirmed when it resumes after others may have
// elected a new leader, even before it receives a message.
func TestPausedLeaderNotConfirmedAfterResume(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		old := c.waitForLeader()
		require.True(t, old.Leadership().Confirmed)
		// An isolated process receives as little as a paused one; its own
		// goroutine would step down only at its next quorum check.
		c.isolate(old.Status().ID, true)
		time.Sleep(old.config.confirmWindow() + time.Millisecond)
		require.False(t, old.Leadership().Confirmed)
		require.NotEqual(t, old, c.waitForLeader())
	})
}

// A caller that has read up to a membership change on some replica decides by
// the members in that replica's status; it can't wait for the next tick.
func TestStatusHoldsMembersOnceBarrierReturns(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		joining := c.start("h4")
		require.NoError(t, leader.AddLearner(contextWithTimeout(time.Second), memberOf(joining)))
		for _, r := range c.otherReplicas(leader) {
			require.NoError(t, r.Barrier(contextWithTimeout(time.Second)))
			require.Len(t, r.Status().Members, 4)
		}
	})
}

func TestPartitionedLeaderStepsDown(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		old := c.waitForLeader()
		c.isolate(old.Status().ID, true)
		lost := make(chan error, 1)
		go func() {
			_, err := old.Propose(contextWithTimeout(time.Minute), []byte("lost"))
			lost <- err
		}()
		successor := c.waitForLeader()
		c.mustPropose(successor, "kept")
		c.advance(2 * time.Second)
		require.False(t, old.Leadership().IsLeader)
		_, err := old.Propose(contextWithTimeout(time.Second), []byte("refused"))
		require.ErrorIs(t, err, ErrNotLeader)
		require.ErrorIs(t, old.Barrier(contextWithTimeout(time.Second)), context.DeadlineExceeded)

		c.isolate(old.Status().ID, false)
		require.NoError(t, old.Barrier(contextWithTimeout(5*time.Second)))
		require.ErrorIs(t, <-lost, ErrNotLeader)
		require.Equal(t, []string{"kept"}, c.machines[old.Status().Host].commands())
	})
}

// A command that is not acknowledged in time may still commit.
func TestUnansweredCommandHasUnknownOutcome(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		c.dropIf(func(m Message) bool { return m.Kind == MessageAppendResponse && m.Index > 2 })
		_, err := leader.Propose(contextWithTimeout(100*time.Millisecond), []byte("late"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		c.dropIf(nil)
		c.advance(time.Second)
		require.NoError(t, c.waitForLeader().Barrier(contextWithTimeout(5*time.Second)))
		require.Equal(t, []string{"late"}, c.machines["h1"].commands())
	})
}

// A leader steps down when its storage rejects writes. Acknowledged commands
// are kept, and the replica resumes once there is space.
func TestStorageErrorStepsDown(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		old := c.waitForLeader()
		c.mustPropose(old, "before")
		host := old.Status().Host
		c.storages[host].FailWrites(errDiskFull)
		_, err := old.Propose(contextWithTimeout(5*time.Second), []byte("during"))
		if err != nil {
			require.NotErrorIs(t, err, ErrStopped)
		}
		require.False(t, old.Leadership().IsLeader)
		require.ErrorIs(t, old.Status().StorageError, errDiskFull)
		_, err = old.Propose(contextWithTimeout(time.Second), []byte("refused"))
		require.ErrorIs(t, err, ErrNotLeader)
		successor := c.waitForLeader()
		require.NotEqual(t, old, successor)
		c.mustPropose(successor, "after")
		saved := c.storages[host].entries

		c.advance(time.Second)
		require.Equal(t, saved, c.storages[host].entries)
		c.storages[host].FailWrites(nil)
		require.NoError(t, old.Barrier(contextWithTimeout(5*time.Second)))
		require.NoError(t, old.Status().StorageError)
		commands := c.machines[host].commands()
		require.Equal(t, c.machines[successor.Status().Host].commands(), commands)
		require.Equal(t, "before", commands[0])
		require.Equal(t, "after", commands[len(commands)-1])
	})
}

func TestSingleReplicaWithFullDiskRejectsCommands(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(1)
		r := c.waitForLeader()
		c.storages["h1"].FailWrites(errDiskFull)
		_, err := r.Propose(contextWithTimeout(time.Second), []byte("x"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		_, err = r.Propose(contextWithTimeout(time.Second), []byte("y"))
		require.ErrorIs(t, err, ErrNotLeader)
		require.Empty(t, c.machines["h1"].commands())
		c.storages["h1"].FailWrites(nil)
		c.mustPropose(c.waitForLeader(), "z")
		require.Equal(t, []string{"x", "z"}, c.machines["h1"].commands())
	})
}

func TestStartRejectsForeignStorage(t *testing.T) {
	storage := &MemoryStorage{}
	require.NoError(t, Bootstrap(storage, "cluster", "h1", []Member{{ID: "a", Host: "h1", Voter: true}}))
	_, err := Start(Config{Host: "h2"}, storage, nil, &listMachine{})
	require.ErrorIs(t, err, ErrHostMismatch)
	_, err = Start(Config{Host: "h1", Cluster: "other"}, storage, nil, &listMachine{})
	require.ErrorIs(t, err, ErrClusterMismatch)
	require.ErrorIs(t, Bootstrap(storage, "new", "h1", []Member{{ID: "b", Host: "h1", Voter: true}}), ErrStorageNotEmpty)
	require.ErrorIs(t, Bootstrap(&MemoryStorage{}, "new", "h1", []Member{{ID: "b", Host: "h2", Voter: true}}), ErrUnknownMember)
}

func TestIncompleteBootstrapCanBeRepeated(t *testing.T) {
	ledger := newMemoryLedger()
	ledger.writesLeft = 1
	storage := NewLedgerStorage(ledger)
	members := []Member{{ID: "a", Host: "h1", Voter: true}}
	require.ErrorIs(t, Bootstrap(storage, "cluster", "h1", members), errCrash)
	ledger.writesLeft = -1
	_, err := Start(Config{Host: "h1"}, storage, nil, &listMachine{})
	require.ErrorIs(t, err, ErrCorrupt)
	require.NoError(t, Bootstrap(storage, "cluster", "h1", members))
}

// A host with a wiped disk returns with a new ID. It has no vote until it is
// added, and the cluster continues without it. After Replace the cluster
// tolerates the loss of any one replica.
func TestReplaceWipedDiskToleratesAnotherLoss(t *testing.T) {
	for _, second := range []string{"h1", "h2", "h3"} {
		t.Run(second, func(t *testing.T) {
			runCluster(t, Config{SnapshotEntries: 20, RetainedEntries: 1, Node: NodeConfig{SnapshotChunkBytes: 16}}, func(c *testCluster) {
				c.bootstrap(3)
				leader := c.waitForLeader()
				for i := range 50 {
					c.mustPropose(leader, fmt.Sprint(i))
				}
				wiped := c.otherReplicas(leader)[0]
				old := wiped.Status()
				c.stopPermanently(wiped)
				delete(c.storages, old.Host)
				fresh := c.start(old.Host)
				require.NotEqual(t, old.ID, fresh.Status().ID)
				c.advance(2 * time.Second)
				require.Empty(t, fresh.Status().Members)
				c.mustPropose(leader, "between")

				require.NoError(t, leader.Replace(contextWithTimeout(time.Minute), old.ID, memberOf(fresh)))
				require.NoError(t, leader.Replace(contextWithTimeout(time.Minute), old.ID, memberOf(fresh)), "repeated")
				for _, r := range c.byID {
					if r.Status().Host == second {
						c.stopPermanently(r)
						break
					}
				}
				c.mustPropose(c.waitForLeader(), "last")
				for _, r := range c.byID {
					require.NoError(t, r.Barrier(contextWithTimeout(5*time.Second)))
					require.Len(t, c.machines[r.Status().Host].commands(), 52)
				}
			})
		})
	}
}

// Replace must not return while a remaining replica does not respond, even
// though the old one is already removed.
func TestReplaceWaitsUntilLossIsTolerated(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		failed, silent := c.otherReplicas(leader)[0], c.otherReplicas(leader)[1]
		old := failed.Status().ID
		c.stopPermanently(failed)
		fresh := c.start("h4")
		removed := false
		c.dropIf(func(m Message) bool {
			for _, e := range m.Entries {
				members, err := DecodeMembers(e.Data)
				removed = removed || e.Kind == EntryMembers && err == nil && findMember(members, old) < 0
			}
			return removed && m.From == silent.Status().ID
		})
		require.ErrorIs(t, leader.Replace(contextWithTimeout(10*time.Second), old, memberOf(fresh)), context.DeadlineExceeded)
		require.Len(t, leader.Status().Members, 3)
		require.True(t, leader.Leadership().Confirmed)
		c.dropIf(nil)
		require.NoError(t, leader.Replace(contextWithTimeout(10*time.Second), old, memberOf(fresh)))
		c.stopPermanently(fresh)
		c.mustPropose(c.waitForLeader(), "x")
	})
}

func TestMembershipOperations(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(1)
		leader := c.waitForLeader()
		second, third := c.start("h2"), c.start("h3")
		ctx := contextWithTimeout(time.Minute)
		require.ErrorIs(t, second.AddLearner(ctx, memberOf(third)), ErrNotLeader)
		require.ErrorIs(t, leader.Promote(ctx, second.Status().ID), ErrUnknownMember)
		require.ErrorIs(t, leader.Remove(ctx, leader.Status().ID), ErrRemoveLeader)
		for _, r := range []*Replica{second, third} {
			require.NoError(t, leader.AddLearner(ctx, memberOf(r)))
			require.NoError(t, leader.AddLearner(ctx, memberOf(r)))
		}
		c.isolate(third.Status().ID, true)
		c.mustPropose(leader, "x")
		require.ErrorIs(t, leader.Promote(ctx, third.Status().ID), ErrNotCaughtUp)
		c.advance(time.Second)
		require.NoError(t, leader.Promote(ctx, second.Status().ID))
		require.ErrorIs(t, leader.Replace(ctx, "nobody", memberOf(second)), ErrTooFewVoters)
		c.isolate(third.Status().ID, false)
		require.NoError(t, leader.Replace(ctx, "nobody", memberOf(third)))
		require.NoError(t, third.Barrier(ctx))
		require.NoError(t, leader.Remove(ctx, third.Status().ID))
		c.advance(time.Second)
		require.Len(t, leader.Status().Members, 2)
	})
}

// A graceful shutdown transfers the leadership first. Leadership changes are
// reported in order.
func TestTransferReportsLeadershipChanges(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		all := c.bootstrap(3)
		leader := c.waitForLeader()
		var mu sync.Mutex
		var seen []Leadership
		host := c.otherReplicas(leader)[0].Status().Host
		c.stopPermanently(c.byID["id-"+host])
		watcher := c.start(host, WithLeadershipChange(func(l Leadership) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, l)
		}))
		c.advance(time.Second)
		begin := time.Now()
		require.NoError(t, leader.TransferLeadership(contextWithTimeout(5*time.Second), watcher.Status().ID))
		require.Less(t, time.Since(begin), 3*DefaultTickInterval)
		leader.Stop()
		require.ErrorIs(t, leader.Barrier(contextWithTimeout(time.Second)), ErrStopped)
		require.True(t, c.waitForLeader() == watcher)
		c.mustPropose(watcher, "x")
		c.advance(DefaultTickInterval)
		mu.Lock()
		defer mu.Unlock()
		last := seen[len(seen)-1]
		require.True(t, last.IsLeader)
		require.False(t, last.Since.IsZero())
		for i := 1; i < len(seen); i++ {
			require.GreaterOrEqual(t, seen[i].Term, seen[i-1].Term)
		}
		require.Len(t, all, 3)
	})
}

// The log in memory stays bounded, even while a follower is unreachable.
func TestLogIsTruncated(t *testing.T) {
	runCluster(t, Config{SnapshotEntries: 50, RetainedEntries: 10}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		unreachable := c.otherReplicas(leader)[0]
		c.isolate(unreachable.Status().ID, true)
		for i := range 500 {
			c.mustPropose(leader, fmt.Sprint(i))
		}
		c.advance(DefaultTickInterval)
		require.LessOrEqual(t, len(c.storages[leader.Status().Host].entries), 60)
		require.Greater(t, leader.Status().SnapshotIndex, uint64(450))
		leader.Stop()
		require.LessOrEqual(t, len(leader.node.log.entries), 70)
		c.isolate(unreachable.Status().ID, false)
		c.waitForLeader()
		require.NoError(t, unreachable.Barrier(contextWithTimeout(10*time.Second)))
		require.Len(t, c.machines[unreachable.Status().Host].commands(), 500)
	})
}

func TestCommandLimits(t *testing.T) {
	runCluster(t, Config{MaxCommandBytes: 10, MaxQueueBytes: 15}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		_, err := leader.Propose(contextWithTimeout(time.Second), make([]byte, 11))
		require.ErrorIs(t, err, ErrCommandTooLarge)
		c.dropIf(func(m Message) bool { return m.Kind == MessageAppendResponse })
		go func() { _, _ = leader.Propose(contextWithTimeout(5*time.Second), make([]byte, 10)) }()
		c.advance(time.Millisecond)
		_, err = leader.Propose(contextWithTimeout(time.Second), make([]byte, 10))
		require.ErrorIs(t, err, ErrQueueFull)
	})
}

// A follower acknowledges entries only after its write.
func TestFollowersWithFullDisksDoNotAcknowledge(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		c.bootstrap(3)
		leader := c.waitForLeader()
		for _, r := range c.otherReplicas(leader) {
			c.storages[r.Status().Host].FailWrites(errDiskFull)
		}
		_, err := leader.Propose(contextWithTimeout(200*time.Millisecond), []byte("x"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		require.Empty(t, c.machines[leader.Status().Host].commands())
	})
}

// A command that a new leader accepts before it has committed in its term
// completes normally.
func TestCommandBeforeFirstCommitOfTerm(t *testing.T) {
	runCluster(t, Config{}, func(c *testCluster) {
		all := c.bootstrap(3)
		c.dropIf(func(m Message) bool { return m.Kind == MessageAppendResponse })
		var leader *Replica
		for leader == nil {
			c.advance(DefaultTickInterval)
			for _, r := range all {
				if r.Leadership().IsLeader {
					leader = r
				}
			}
		}
		done := make(chan error, 1)
		go func() {
			_, err := leader.Propose(contextWithTimeout(time.Second), []byte("x"))
			done <- err
		}()
		c.advance(time.Millisecond)
		c.dropIf(nil)
		require.NoError(t, <-done)
	})
}
