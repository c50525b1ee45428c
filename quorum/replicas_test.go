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

// register is a machine whose commands are appended to a list; the result is
// the list's new length.
type register struct {
	mu       sync.Mutex
	Commands []string
}

func (m *register) Apply(_, _ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Commands = append(m.Commands, string(command))
	return fmt.Append(nil, len(m.Commands))
}

func (m *register) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.Commands)
}

func (m *register) Restore(snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Commands = nil
	return json.Unmarshal(snapshot, &m.Commands)
}

func (m *register) commands() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.Commands...)
}

// replicas are replicas in one synctest bubble, joined by a network of direct
// calls. Time in the bubble moves only when every goroutine waits.
type replicas struct {
	t      testing.TB
	config Config
	mu     sync.Mutex
	byID   map[string]*Replica
	cut    map[string]bool
	drop   func(Message) bool
	store  map[string]*MemoryStorage
	state  map[string]*register
}

func newReplicas(t testing.TB, config Config) *replicas {
	return &replicas{
		t: t, config: config, byID: map[string]*Replica{}, cut: map[string]bool{},
		store: map[string]*MemoryStorage{}, state: map[string]*register{},
	}
}

// Send implements Transport by the wire encoding and a direct call.
func (c *replicas) Send(messages []Message) {
	for _, m := range messages {
		decoded, err := DecodeMessages(EncodeMessages([]Message{m}))
		require.NoError(c.t, err)
		c.mu.Lock()
		to := c.byID[m.To]
		lost := c.cut[m.From] || c.cut[m.To] || c.drop != nil && c.drop(m)
		c.mu.Unlock()
		if to != nil && !lost {
			to.Deliver(decoded)
		}
	}
}

// isolate cuts a replica off, or joins it again.
func (c *replicas) isolate(id string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[id] = cut
}

// loseIf drops the messages that the function tells.
func (c *replicas) loseIf(drop func(Message) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drop = drop
}

// bootstrap starts a cluster of hosts named h1, h2 and so on.
func (c *replicas) bootstrap(size int) []*Replica {
	members := make([]Member, size)
	for i := range members {
		host := fmt.Sprintf("h%d", i+1)
		members[i] = Member{ID: "id-" + host, Host: host, Address: host + ":1", Voter: true}
	}
	var started []*Replica
	for _, m := range members {
		c.store[m.Host] = &MemoryStorage{}
		require.NoError(c.t, Bootstrap(c.store[m.Host], "cluster", m.Host, members))
		started = append(started, c.start(m.Host))
	}
	return started
}

// start runs a replica on the host's storage, a new one if it has none.
func (c *replicas) start(host string, options ...Option) *Replica {
	if c.store[host] == nil {
		c.store[host] = &MemoryStorage{}
	}
	c.state[host] = &register{}
	config := c.config
	config.Host = host
	if config.Node.Seed != 0 {
		// Equal seeds would let all campaign at the same ticks.
		config.Node.Seed += uint64(host[len(host)-1])
	}
	r, err := Start(config, c.store[host], c, c.state[host], options...)
	require.NoError(c.t, err)
	c.mu.Lock()
	c.byID[r.Status().ID] = r
	c.mu.Unlock()
	return r
}

// stopAll ends every replica, so that the bubble can end.
func (c *replicas) stopAll() {
	c.mu.Lock()
	all := c.byID
	c.byID = map[string]*Replica{}
	c.mu.Unlock()
	for _, r := range all {
		r.Stop()
	}
}

// leader moves the time until one of the replicas that are not cut off leads
// with a majority behind it.
func (c *replicas) leader() *Replica {
	const limit = 200
	for range limit {
		c.pass(DefaultTickInterval)
		c.mu.Lock()
		for id, r := range c.byID {
			if lead := r.Leadership(); lead.Confirmed && !c.cut[id] {
				c.mu.Unlock()
				return r
			}
		}
		c.mu.Unlock()
	}
	require.FailNow(c.t, "no leader")
	return nil
}

// pass moves the bubble's time.
func (c *replicas) pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// run runs the test in a bubble with a cluster.
func run(t *testing.T, config Config, test func(c *replicas)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newReplicas(t, config)
		defer c.stopAll()
		test(c)
	})
}

func within(d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

func TestReplicaCommits(t *testing.T) {
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			run(t, Config{}, func(c *replicas) {
				all := c.bootstrap(size)
				leader := c.leader()
				for i := range 20 {
					result, err := leader.Propose(within(time.Second), fmt.Appendf(nil, "c%d", i))
					require.NoError(t, err)
					require.Equal(t, fmt.Sprint(i+1), string(result))
				}
				for _, r := range all {
					require.NoError(t, r.Barrier(within(time.Second)))
					require.Len(t, c.state[r.Status().Host].commands(), 20)
					if r != leader {
						_, err := r.Propose(within(time.Second), []byte("x"))
						require.ErrorIs(t, err, ErrNotLeader)
					}
				}
			})
		})
	}
}

func TestReplicaRestartsFromSnapshotAndLog(t *testing.T) {
	run(t, Config{SnapshotEntries: 10, RetainedEntries: 2}, func(c *replicas) {
		c.bootstrap(1)
		leader := c.leader()
		for i := range 25 {
			_, err := leader.Propose(within(time.Second), fmt.Append(nil, i))
			require.NoError(t, err)
		}
		c.pass(DefaultTickInterval)
		require.Greater(t, leader.Status().SnapshotIndex, uint64(20))
		before, err := c.state["h1"].Snapshot()
		require.NoError(t, err)
		c.stopAll()
		leader = c.start("h1")
		require.NoError(t, leader.Barrier(within(5*time.Second)))
		after, err := c.state["h1"].Snapshot()
		require.NoError(t, err)
		require.True(t, bytes.Equal(before, after))
	})
}
