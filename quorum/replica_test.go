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

func (c *replicas) others(leader *Replica) []*Replica {
	var rest []*Replica
	for _, host := range []string{"h1", "h2", "h3", "h4", "h5"} {
		if r := c.byID["id-"+host]; r != nil && r != leader {
			rest = append(rest, r)
		}
	}
	return rest
}

func (c *replicas) commit(r *Replica, command string) {
	_, err := r.Propose(within(5*time.Second), []byte(command))
	require.NoError(c.t, err)
}

// member is how the replica is added to a cluster.
func member(r *Replica) Member {
	s := r.Status()
	return Member{ID: s.ID, Host: s.Host, Address: s.Host + ":1"}
}

// forget stops a replica for good.
func (c *replicas) forget(r *Replica) {
	c.mu.Lock()
	delete(c.byID, r.Status().ID)
	c.mu.Unlock()
	r.Stop()
}

// A paused process that wakes after others elected a leader is not confirmed
// before it has heard anything.
func TestPausedLeaderIsNotConfirmedOnWaking(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		old := c.leader()
		require.True(t, old.Leadership().Confirmed)
		// Cut off, the process hears no more than one that is paused; its own
		// goroutine would step down only at its next quorum check.
		c.isolate(old.Status().ID, true)
		time.Sleep(old.config.confirmWindow() + time.Millisecond)
		require.False(t, old.Leadership().Confirmed)
		require.NotEqual(t, old, c.leader())
	})
}

func TestPartitionedLeaderStepsDown(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		old := c.leader()
		c.isolate(old.Status().ID, true)
		lost := make(chan error, 1)
		go func() {
			_, err := old.Propose(within(time.Minute), []byte("lost"))
			lost <- err
		}()
		successor := c.leader()
		c.commit(successor, "kept")
		c.pass(2 * time.Second)
		require.False(t, old.Leadership().IsLeader)
		_, err := old.Propose(within(time.Second), []byte("refused"))
		require.ErrorIs(t, err, ErrNotLeader)
		require.ErrorIs(t, old.Barrier(within(time.Second)), context.DeadlineExceeded)

		c.isolate(old.Status().ID, false)
		require.NoError(t, old.Barrier(within(5*time.Second)))
		require.ErrorIs(t, <-lost, ErrNotLeader)
		require.Equal(t, []string{"kept"}, c.state[old.Status().Host].commands())
	})
}

// A command whose answer does not come in time may still commit.
func TestUnansweredCommandHasUnknownOutcome(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		leader := c.leader()
		c.loseIf(func(m Message) bool { return m.Kind == MessageAppendResponse && m.Index > 2 })
		_, err := leader.Propose(within(100*time.Millisecond), []byte("late"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		c.loseIf(nil)
		c.pass(time.Second)
		require.NoError(t, c.leader().Barrier(within(5*time.Second)))
		require.Equal(t, []string{"late"}, c.state["h1"].commands())
	})
}

// A storage that refuses writes makes the leader step down; what was
// acknowledged stays, and the replica goes on once there is space.
func TestStorageRefusalStepsDown(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		old := c.leader()
		c.commit(old, "before")
		host := old.Status().Host
		c.store[host].FailWrites(errDiskFull)
		_, err := old.Propose(within(5*time.Second), []byte("during"))
		if err != nil {
			require.NotErrorIs(t, err, ErrStopped)
		}
		require.False(t, old.Leadership().IsLeader)
		require.ErrorIs(t, old.Status().StorageError, errDiskFull)
		_, err = old.Propose(within(time.Second), []byte("refused"))
		require.ErrorIs(t, err, ErrNotLeader)
		successor := c.leader()
		require.NotEqual(t, old, successor)
		c.commit(successor, "after")
		saved := c.store[host].entries

		c.pass(time.Second)
		require.Equal(t, saved, c.store[host].entries)
		c.store[host].FailWrites(nil)
		require.NoError(t, old.Barrier(within(5*time.Second)))
		require.NoError(t, old.Status().StorageError)
		commands := c.state[host].commands()
		require.Equal(t, c.state[successor.Status().Host].commands(), commands)
		require.Equal(t, "before", commands[0])
		require.Equal(t, "after", commands[len(commands)-1])
	})
}

func TestSingleReplicaWithFullDiskRefuses(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(1)
		r := c.leader()
		c.store["h1"].FailWrites(errDiskFull)
		_, err := r.Propose(within(time.Second), []byte("x"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		_, err = r.Propose(within(time.Second), []byte("y"))
		require.ErrorIs(t, err, ErrNotLeader)
		require.Empty(t, c.state["h1"].commands())
		c.store["h1"].FailWrites(nil)
		c.commit(c.leader(), "z")
		require.Equal(t, []string{"x", "z"}, c.state["h1"].commands())
	})
}

func TestCopiedAndForeignDisksAreRefused(t *testing.T) {
	storage := &MemoryStorage{}
	require.NoError(t, Bootstrap(storage, "cluster", "h1", []Member{{ID: "a", Host: "h1", Voter: true}}))
	_, err := Start(Config{Host: "h2"}, storage, nil, &register{})
	require.ErrorIs(t, err, ErrHostMismatch)
	_, err = Start(Config{Host: "h1", Cluster: "other"}, storage, nil, &register{})
	require.ErrorIs(t, err, ErrClusterMismatch)
	require.ErrorIs(t, Bootstrap(storage, "new", "h1", []Member{{ID: "b", Host: "h1", Voter: true}}), ErrStorageNotEmpty)
	require.ErrorIs(t, Bootstrap(&MemoryStorage{}, "new", "h1", []Member{{ID: "b", Host: "h2", Voter: true}}), ErrUnknownMember)
}

func TestBootstrapCutShortIsRepeated(t *testing.T) {
	journal := newMemoryJournal()
	journal.left = 1
	storage := NewJournalStorage(journal)
	members := []Member{{ID: "a", Host: "h1", Voter: true}}
	require.ErrorIs(t, Bootstrap(storage, "cluster", "h1", members), errCrash)
	journal.left = -1
	_, err := Start(Config{Host: "h1"}, storage, nil, &register{})
	require.ErrorIs(t, err, ErrCorrupt)
	require.NoError(t, Bootstrap(storage, "cluster", "h1", members))
}

// A wiped disk comes back as a stranger: it has no vote until it is added, and
// the cluster goes on without it. Replace brings it back, after which any one
// replica may be lost.
func TestReplaceWipedDiskThenLoseAnother(t *testing.T) {
	for _, second := range []string{"h1", "h2", "h3"} {
		t.Run(second, func(t *testing.T) {
			run(t, Config{SnapshotEntries: 20, RetainedEntries: 1, Node: NodeConfig{SnapshotChunkBytes: 16}}, func(c *replicas) {
				c.bootstrap(3)
				leader := c.leader()
				for i := range 50 {
					c.commit(leader, fmt.Sprint(i))
				}
				wiped := c.others(leader)[0]
				old := wiped.Status()
				c.forget(wiped)
				delete(c.store, old.Host)
				fresh := c.start(old.Host)
				require.NotEqual(t, old.ID, fresh.Status().ID)
				c.pass(2 * time.Second)
				require.Empty(t, fresh.Status().Members)
				c.commit(leader, "between")

				require.NoError(t, leader.Replace(within(time.Minute), old.ID, member(fresh)))
				require.NoError(t, leader.Replace(within(time.Minute), old.ID, member(fresh)), "repeated")
				for _, r := range c.byID {
					if r.Status().Host == second {
						c.forget(r)
						break
					}
				}
				c.commit(c.leader(), "last")
				for _, r := range c.byID {
					require.NoError(t, r.Barrier(within(5*time.Second)))
					require.Len(t, c.state[r.Status().Host].commands(), 52)
				}
			})
		})
	}
}

// Replace does not return while a remaining replica does not answer, although
// the old one is removed by then.
func TestReplaceWaitsUntilALossIsSurvivable(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		leader := c.leader()
		dead, silent := c.others(leader)[0], c.others(leader)[1]
		old := dead.Status().ID
		c.forget(dead)
		fresh := c.start("h4")
		removed := false
		c.loseIf(func(m Message) bool {
			for _, e := range m.Entries {
				members, err := DecodeMembers(e.Data)
				removed = removed || e.Kind == EntryMembers && err == nil && findMember(members, old) < 0
			}
			return removed && m.From == silent.Status().ID
		})
		require.ErrorIs(t, leader.Replace(within(10*time.Second), old, member(fresh)), context.DeadlineExceeded)
		require.Len(t, leader.Status().Members, 3)
		require.True(t, leader.Leadership().Confirmed)
		c.loseIf(nil)
		require.NoError(t, leader.Replace(within(10*time.Second), old, member(fresh)))
		c.forget(fresh)
		c.commit(c.leader(), "x")
	})
}

func TestMembershipCommands(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(1)
		leader := c.leader()
		second, third := c.start("h2"), c.start("h3")
		ctx := within(time.Minute)
		require.ErrorIs(t, second.AddLearner(ctx, member(third)), ErrNotLeader)
		require.ErrorIs(t, leader.Promote(ctx, second.Status().ID), ErrUnknownMember)
		require.ErrorIs(t, leader.Remove(ctx, leader.Status().ID), ErrRemoveLeader)
		for _, r := range []*Replica{second, third} {
			require.NoError(t, leader.AddLearner(ctx, member(r)))
			require.NoError(t, leader.AddLearner(ctx, member(r)))
		}
		c.isolate(third.Status().ID, true)
		c.commit(leader, "x")
		require.ErrorIs(t, leader.Promote(ctx, third.Status().ID), ErrNotCaughtUp)
		c.pass(time.Second)
		require.NoError(t, leader.Promote(ctx, second.Status().ID))
		require.ErrorIs(t, leader.Replace(ctx, "nobody", member(second)), ErrTooFewVoters)
		c.isolate(third.Status().ID, false)
		require.NoError(t, leader.Replace(ctx, "nobody", member(third)))
		require.NoError(t, third.Barrier(ctx))
		require.NoError(t, leader.Remove(ctx, third.Status().ID))
		c.pass(time.Second)
		require.Len(t, leader.Status().Members, 2)
	})
}

// A graceful shutdown hands over before it stops; the change is told in order.
func TestTransferAndLeadershipChanges(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		all := c.bootstrap(3)
		leader := c.leader()
		var mu sync.Mutex
		var seen []Leadership
		host := c.others(leader)[0].Status().Host
		c.forget(c.byID["id-"+host])
		watcher := c.start(host, WithLeadershipChange(func(l Leadership) {
			mu.Lock()
			defer mu.Unlock()
			seen = append(seen, l)
		}))
		c.pass(time.Second)
		begin := time.Now()
		require.NoError(t, leader.TransferLeadership(within(5*time.Second), watcher.Status().ID))
		require.Less(t, time.Since(begin), 3*DefaultTickInterval)
		leader.Stop()
		require.ErrorIs(t, leader.Barrier(within(time.Second)), ErrStopped)
		require.True(t, c.leader() == watcher)
		c.commit(watcher, "x")
		c.pass(DefaultTickInterval)
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

// The in-memory log stays bounded, also with a follower that is away.
func TestLogIsTruncated(t *testing.T) {
	run(t, Config{SnapshotEntries: 50, RetainedEntries: 10}, func(c *replicas) {
		c.bootstrap(3)
		leader := c.leader()
		away := c.others(leader)[0]
		c.isolate(away.Status().ID, true)
		for i := range 500 {
			c.commit(leader, fmt.Sprint(i))
		}
		c.pass(DefaultTickInterval)
		require.LessOrEqual(t, len(c.store[leader.Status().Host].entries), 60)
		require.Greater(t, leader.Status().SnapshotIndex, uint64(450))
		leader.Stop()
		require.LessOrEqual(t, len(leader.node.log.entries), 70)
		c.isolate(away.Status().ID, false)
		c.leader()
		require.NoError(t, away.Barrier(within(10*time.Second)))
		require.Len(t, c.state[away.Status().Host].commands(), 500)
	})
}

func TestLimitsOnCommands(t *testing.T) {
	run(t, Config{MaxCommandBytes: 10, MaxQueueBytes: 15}, func(c *replicas) {
		c.bootstrap(3)
		leader := c.leader()
		_, err := leader.Propose(within(time.Second), make([]byte, 11))
		require.ErrorIs(t, err, ErrCommandTooLarge)
		c.loseIf(func(m Message) bool { return m.Kind == MessageAppendResponse })
		go func() { _, _ = leader.Propose(within(5*time.Second), make([]byte, 10)) }()
		c.pass(time.Millisecond)
		_, err = leader.Propose(within(time.Second), make([]byte, 10))
		require.ErrorIs(t, err, ErrQueueFull)
	})
}

// A follower answers a leader only after its write.
func TestFollowersWithFullDisksAcknowledgeNothing(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		c.bootstrap(3)
		leader := c.leader()
		for _, r := range c.others(leader) {
			c.store[r.Status().Host].FailWrites(errDiskFull)
		}
		_, err := leader.Propose(within(200*time.Millisecond), []byte("x"))
		require.ErrorIs(t, err, ErrUnknownOutcome)
		require.Empty(t, c.state[leader.Status().Host].commands())
	})
}

// A command that a new leader takes before it has committed in its term is
// answered like any other.
func TestCommandBeforeTheFirstCommitOfATerm(t *testing.T) {
	run(t, Config{}, func(c *replicas) {
		all := c.bootstrap(3)
		c.loseIf(func(m Message) bool { return m.Kind == MessageAppendResponse })
		var leader *Replica
		for leader == nil {
			c.pass(DefaultTickInterval)
			for _, r := range all {
				if r.Leadership().IsLeader {
					leader = r
				}
			}
		}
		done := make(chan error, 1)
		go func() {
			_, err := leader.Propose(within(time.Second), []byte("x"))
			done <- err
		}()
		c.pass(time.Millisecond)
		c.loseIf(nil)
		require.NoError(t, <-done)
	})
}
