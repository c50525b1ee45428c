package quorum

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// listMachine is a state machine that appends each command to a list; the
// result is the new length of the list.
type listMachine struct {
	mu       sync.Mutex
	Commands []string
}

func (m *listMachine) Apply(_, _ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Commands = append(m.Commands, string(command))
	return fmt.Append(nil, len(m.Commands))
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.Commands)
}

func (m *listMachine) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Commands = nil
	return json.Unmarshal(snapshot, &m.Commands)
}

func (m *listMachine) commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.Commands...)
}

// testCluster runs replicas in one synctest bubble, connected by direct calls.
// Time in the bubble advances only while all goroutines are blocked.
type testCluster struct {
	t        testing.TB
	config   Config
	mu       sync.Mutex
	byID     map[string]*Replica
	isolated map[string]bool
	drop     func(Message) bool
	storages map[string]*MemoryStorage
	machines map[string]*listMachine
}

func newTestCluster(t testing.TB, config Config) *testCluster {
	return &testCluster{
		t: t, config: config, byID: map[string]*Replica{}, isolated: map[string]bool{},
		storages: map[string]*MemoryStorage{}, machines: map[string]*listMachine{},
	}
}

// Send implements Transport with encoded messages and direct calls.
func (c *testCluster) Send(messages []Message) {
	for _, m := range messages {
		decoded, err := DecodeMessages(EncodeMessages([]Message{m}))
		require.NoError(c.t, err)
		c.mu.Lock()
		to := c.byID[m.To]
		// A transport knows addresses, not IDs.
		lost := m.ToAddress == "" || c.isolated[m.From] || c.isolated[m.To] || c.drop != nil && c.drop(m)
		c.mu.Unlock()
		if to != nil && !lost {
			to.Deliver(decoded)
		}
	}
}

// isolate disconnects a replica from the network or reconnects it.
func (c *testCluster) isolate(id string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[id] = isolated
}

// dropIf drops the messages for which the function returns true; nil drops
// none.
func (c *testCluster) dropIf(drop func(Message) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

// bootstrap starts a cluster of hosts named h1, h2 and so on.
func (c *testCluster) bootstrap(size int) []*Replica {
	members := make([]Member, size)
	for i := range members {
		host := fmt.Sprintf("h%d", i+1)
		members[i] = Member{ID: "id-" + host, Host: host, Address: host + ":1", Voter: true}
	}
	var started []*Replica
	for _, m := range members {
		c.storages[m.Host] = &MemoryStorage{}
		require.NoError(c.t, Bootstrap(c.storages[m.Host], "cluster", m.Host, members))
		started = append(started, c.start(m.Host))
	}
	return started
}

// start runs a replica on the host's storage, creating the storage if there is
// none.
func (c *testCluster) start(host string, options ...Option) *Replica {
	if c.storages[host] == nil {
		c.storages[host] = &MemoryStorage{}
	}
	c.machines[host] = &listMachine{}
	config := c.config
	config.Host = host
	if config.Node.Seed != 0 {
		// Equal seeds would make all replicas campaign at the same ticks.
		config.Node.Seed += uint64(host[len(host)-1])
	}
	r, err := Start(config, c.storages[host], c, c.machines[host], options...)
	require.NoError(c.t, err)
	c.mu.Lock()
	c.byID[r.Status().ID] = r
	c.mu.Unlock()
	return r
}

// stopAll stops every replica, so that the bubble can end.
func (c *testCluster) stopAll() {
	c.mu.Lock()
	all := c.byID
	c.byID = map[string]*Replica{}
	c.mu.Unlock()
	for _, r := range all {
		r.Stop()
	}
}

// waitForLeader advances the time until a replica that is not isolated is a
// confirmed leader.
func (c *testCluster) waitForLeader() *Replica {
	const limit = 200
	for range limit {
		c.advance(DefaultTickInterval)
		c.mu.Lock()
		for id, r := range c.byID {
			if leadership := r.Leadership(); leadership.Confirmed && !c.isolated[id] {
				c.mu.Unlock()
				return r
			}
		}
		c.mu.Unlock()
	}
	require.FailNow(c.t, "no leader was elected")
	return nil
}

// advance advances the time of the bubble.
func (c *testCluster) advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// runCluster runs the test with a cluster in a synctest bubble.
func runCluster(t *testing.T, config Config, test func(c *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, config)
		defer c.stopAll()
		test(c)
	})
}

func contextWithTimeout(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func TestReplicaCommits(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			runCluster(t, Config{}, func(c *testCluster) {
				all := c.bootstrap(size)
				leader := c.waitForLeader()
				for i := range 20 {
					result, err := leader.Propose(contextWithTimeout(time.Second), fmt.Appendf(nil, "c%d", i))
					require.NoError(t, err)
					require.Equal(t, fmt.Sprint(i+1), string(result))
				}
				for _, r := range all {
					require.NoError(t, r.Barrier(contextWithTimeout(time.Second)))
					require.Len(t, c.machines[r.Status().Host].commands(), 20)
					if r != leader {
						_, err := r.Propose(contextWithTimeout(time.Second), []byte("x"))
						require.ErrorIs(t, err, ErrNotLeader)
					}
				}
			})
		})
	}
}

func TestReplicaRestartsFromSnapshotAndLog(t *testing.T) {
	runCluster(t, Config{SnapshotEntries: 10, RetainedEntries: 2}, func(c *testCluster) {
		c.bootstrap(1)
		leader := c.waitForLeader()
		for i := range 25 {
			_, err := leader.Propose(contextWithTimeout(time.Second), fmt.Append(nil, i))
			require.NoError(t, err)
		}
		c.advance(DefaultTickInterval)
		require.Greater(t, leader.Status().SnapshotIndex, uint64(20))
		before, err := c.machines["h1"].Snapshot()
		require.NoError(t, err)
		c.stopAll()
		leader = c.start("h1")
		require.NoError(t, leader.Barrier(contextWithTimeout(5*time.Second)))
		after, err := c.machines["h1"].Snapshot()
		require.NoError(t, err)
		require.True(t, bytes.Equal(before, after))
	})
}
