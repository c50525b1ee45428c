package quorum

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowStorage delays each write. Changing the delay during a write does not
// affect that write.
type slowStorage struct {
	MemoryStorage

	delay atomic.Int64
}

func (s *slowStorage) Save(state HardState, entries []Entry) error {
	time.Sleep(time.Duration(s.delay.Load()))
	return s.MemoryStorage.Save(state, entries)
}

// newSlowDiskCluster starts three replicas whose disks have no delay at first.
func newSlowDiskCluster(t *testing.T) (*testCluster, []*Replica, map[string]*slowStorage) {
	c := newTestCluster(t, Config{})
	members := make([]Member, 3)
	for i := range members {
		host := fmt.Sprintf("h%d", i+1)
		members[i] = Member{ID: "id-" + host, Host: host, Address: host + ":1", Voter: true}
	}
	disks := map[string]*slowStorage{}
	var started []*Replica
	for _, m := range members {
		disk := &slowStorage{}
		require.NoError(t, Bootstrap(disk, "cluster", m.Host, members))
		config := Config{Host: m.Host}
		c.machines[m.Host] = &listMachine{}
		r, err := Start(config, disk, c, c.machines[m.Host])
		require.NoError(t, err)
		c.mu.Lock()
		c.byID[m.ID] = r
		c.mu.Unlock()
		disks[m.Host] = disk
		started = append(started, r)
	}
	return c, started, disks
}

func confirmedLeader(all []*Replica) *Replica {
	for _, r := range all {
		if lead := r.Leadership(); lead.IsLeader && lead.Confirmed {
			return r
		}
	}
	return nil
}

// If other work slows down every disk, so that each write takes nearly half an
// election timeout, the leader must keep its leadership, because heartbeats do
// not wait for writes.
func TestSlowDisksKeepLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, all, disks := newSlowDiskCluster(t)
		defer c.stopAll()
		time.Sleep(3 * time.Second)
		leader := confirmedLeader(all)
		require.NotNil(t, leader)
		term := leader.Status().Term
		for _, disk := range disks {
			disk.delay.Store(int64(350 * time.Millisecond))
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var committed atomic.Int64
		for range 4 {
			go func() {
				for ctx.Err() == nil {
					if _, err := leader.Propose(ctx, []byte("work")); err == nil {
						committed.Add(1)
					} else {
						time.Sleep(10 * time.Millisecond)
					}
				}
			}()
		}
		for ctx.Err() == nil {
			time.Sleep(20 * time.Millisecond)
			require.True(t, leader.Leadership().Confirmed, "leadership must stay confirmed")
		}
		require.Equal(t, term, leader.Status().Term)
		// Each of the four proposers waits for at most two writes: that of its
		// own batch and the one before it.
		require.GreaterOrEqual(t, committed.Load(), int64(4*8))
		for _, disk := range disks {
			disk.delay.Store(0)
		}
	})
}

// If the leader's disk stops completing writes, another replica must soon
// become leader and commit. The old leader must not keep a leadership that it
// cannot use.
func TestStalledDiskTransfersLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, all, disks := newSlowDiskCluster(t)
		defer c.stopAll()
		time.Sleep(3 * time.Second)
		stalled := confirmedLeader(all)
		require.NotNil(t, stalled)
		disks[stalled.Status().Host].delay.Store(int64(time.Minute))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		go func() { _, _ = stalled.Propose(ctx, []byte("stuck")) }()

		const bound = 2 * time.Second
		started := time.Now()
		var next *Replica
		for next == nil && time.Since(started) < bound {
			time.Sleep(10 * time.Millisecond)
			if r := confirmedLeader(all); r != nil && r != stalled {
				next = r
			}
		}
		require.NotNil(t, next, "no other replica became leader within %s", bound)
		_, err := next.Propose(ctx, []byte("served"))
		require.NoError(t, err)
		term := next.Status().Term
		disks[stalled.Status().Host].delay.Store(0)
		time.Sleep(2 * time.Minute)
		require.Equal(t, term, next.Status().Term, "the recovered replica must not force an election")
		require.Equal(t, c.machines["h1"].commands(), c.machines["h2"].commands())
		require.Equal(t, c.machines["h1"].commands(), c.machines["h3"].commands())
	})
}

// A leader's snapshot that arrives while a write is in progress must be neither
// acknowledged nor applied before it is saved.
func TestSnapshotDuringWriteCountsOnceSaved(t *testing.T) {
	members := []Member{
		{ID: "a", Host: "a", Voter: true}, {ID: "b", Host: "b", Voter: true}, {ID: "c", Host: "c", Voter: true},
	}
	state := HardState{Cluster: "cluster", ID: "b", Host: "b", Term: 2, Vote: "a", Commit: firstIndex}
	first := Snapshot{Index: firstIndex, Term: firstTerm, Members: members}
	n := NewNode(NodeConfig{}, state, first, nil)
	fromLeader := func(m Message) {
		m.From, m.To, m.Cluster, m.Term = "a", "b", "cluster", 2
		n.Step(m)
	}
	fromLeader(Message{Kind: MessageAppend, Index: 1, LogTerm: 1, Entries: []Entry{{Index: 2, Term: 2, Kind: EntryNoop}}})
	write := n.Ready()
	require.True(t, write.MustSave)

	data := []byte("state")
	fromLeader(Message{Kind: MessageSnapshot, Chunk: &Chunk{
		Index: 10, Term: 2, Members: members, Total: uint64(len(data)), Checksum: checksum(data), Data: data,
	}})
	require.True(t, n.InstallingSnapshot())
	fromLeader(Message{Kind: MessageAppend, Index: 10, LogTerm: 2, Commit: 10, Round: 7})
	urgent := n.UrgentMessages()
	require.NotEmpty(t, urgent, "the follower must acknowledge the heartbeat")
	for _, m := range urgent {
		require.Equal(t, MessageAppendResponse, m.Kind)
		require.False(t, m.Reject)
		require.Equal(t, uint64(7), m.Round)
		require.LessOrEqual(t, m.Index, uint64(firstIndex), "the acknowledgement must not cover entries that are not durable")
	}
	require.Equal(t, uint64(firstIndex), n.AppliedIndex())
	n.Advance()
	require.Less(t, n.AppliedIndex(), uint64(10), "the state machine must not have applied the snapshot yet")

	install := n.Ready()
	require.NotNil(t, install.InstallSnapshot)
	n.Advance()
	require.Equal(t, uint64(10), n.AppliedIndex())
	require.False(t, n.InstallingSnapshot())
}

// pausingTransport sleeps after a Send, like a process that is not scheduled.
type pausingTransport struct {
	Transport

	nextPause atomic.Int64
}

func (h *pausingTransport) Send(messages []Message) {
	h.Transport.Send(messages)
	time.Sleep(time.Duration(h.nextPause.Swap(0)))
}

// If the leader's process pauses while its write ends, it sees the result late.
// It must not treat the write as stalled when it resumes.
func TestPausedLeaderDoesNotTreatWriteAsStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, Config{Node: NodeConfig{Seed: 1}})
		all := c.bootstrap(3)
		defer c.stopAll()
		time.Sleep(3 * time.Second)
		leader := confirmedLeader(all)
		require.NotNil(t, leader)
		host, id, term := leader.Status().Host, leader.Status().ID, leader.Status().Term
		require.NoError(t, leader.TransferLeadership(t.Context(), ""))
		leader.Stop()

		disk, transport := &slowStorage{}, &pausingTransport{Transport: c}
		state, snapshot, entries, err := c.storages[host].Load()
		require.NoError(t, err)
		require.NoError(t, disk.SaveSnapshot(snapshot))
		require.NoError(t, disk.Save(state, entries))
		restarted, err := Start(Config{Host: host, Node: NodeConfig{Seed: 9}}, disk, transport, c.machines[host])
		require.NoError(t, err)
		c.mu.Lock()
		c.byID[id] = restarted
		c.mu.Unlock()
		time.Sleep(3 * time.Second)
		for _, r := range all {
			if r != leader && r.Leadership().IsLeader {
				require.NoError(t, r.TransferLeadership(t.Context(), id))
			}
		}
		time.Sleep(time.Second)
		require.True(t, restarted.Leadership().Confirmed)
		require.Greater(t, restarted.Status().Term, term)
		term = restarted.Status().Term

		disk.delay.Store(int64(350 * time.Millisecond))
		for range 20 {
			started := time.Now()
			done := make(chan error, 1)
			go func() {
				_, err := restarted.Propose(t.Context(), []byte("work"))
				done <- err
			}()
			time.Sleep(50 * time.Millisecond)
			transport.nextPause.Store(int64(400 * time.Millisecond))
			require.NoError(t, <-done)
			require.Less(t, time.Since(started), 2*time.Second)
			require.Equal(t, term, restarted.Status().Term, "the leader must not change")
			time.Sleep(time.Second)
		}
		disk.delay.Store(0)
	})
}
