package hub

import (
	"context"
	"fmt"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/roster"
)

const (
	// narrowLink is the bandwidth of a hub in Mbit/s on which a whole roster takes most of a second.
	narrowLink = 0.2
	// narrowTargets is the number of targets of that roster, narrowHosts that of the hosts
	// that ask for it.
	narrowTargets = 600
	narrowHosts   = 8
)

// narrowTarget returns a name that doesn't compress well.
func narrowTarget(i int) string { return fmt.Sprintf("i-%016x", xxhash.Sum64String(fmt.Sprint(i))) }

// hasDigest reports whether a host was sent a digest since they were cleared.
func (w *watchers) hasDigest(host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.digestAt[host].IsZero()
}

// clearDigests makes all hosts due for a digest.
func (w *watchers) clearDigests() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.digestAt)
}

// poll sends a poll of a host and returns the reply.
func (c *cluster) poll(ctx context.Context, node *peer.Node, hub int, request peer.WatchRequest) (peer.WatchResponse, error) {
	request.PassesViews, request.ReadsPacked = true, true
	reply, err := node.Call(ctx, c.addresses[hub], request)
	if err != nil {
		return peer.WatchResponse{}, err
	}
	response, ok := reply.(peer.WatchResponse)
	require.True(c.t, ok)
	return response, nil
}

// Guards against requests that reach a target seconds after it said that it leaves (DRAIN): the
// host's poll was answered with a digest of loads, which waited for the link behind the rosters of
// other hosts, and the leave waited for the host's next poll.
func TestWatch_LeaveDoesNotWaitWithDigest(t *testing.T) {
	c := &cluster{t: t, tolerates: 0, bandwidth: narrowLink}
	c.add()
	c.addresses = append(c.addresses, c.addresses[0], c.addresses[0])
	c.start(0, true)
	t.Cleanup(func() { c.stop(0) })
	h := c.hubs[0]
	c.eventually("the hub is in contact with a majority", h.hasMajorityContact)
	for i := range narrowTargets {
		entry := newTarget(i, 1)
		entry.Name = narrowTarget(i)
		h.roster.Merge(h.Clock.Now(), entry)
	}
	newHost := func(name string) *peer.Node {
		node := peer.NewNode(peer.Config{Host: name, Clock: clockwork.NewRealClock()}, nil)
		t.Cleanup(node.Close)
		return node
	}
	loads := map[roster.Key]int{}
	for i := range narrowTargets {
		loads[roster.KeyOf(narrowTarget(i))] = 20 * (i % 7)
	}
	h.loads.recordHub("h-2", loads)
	host := newHost("e-0")
	first, err := c.poll(t.Context(), host, 0, peer.WatchRequest{Host: "e-0"})
	require.NoError(t, err)
	require.NotZero(t, first.RosterVersion)

	var rosters atomic.Int64
	for i := range narrowHosts {
		name := fmt.Sprint("e-", i+1)
		node := newHost(name)
		go func() {
			if _, err := c.poll(t.Context(), node, 0, peer.WatchRequest{Host: name}); err == nil {
				rosters.Add(1)
			}
		}()
	}
	c.eventually("rosters wait for the link", func() bool { return h.node.BulkWaiting() >= narrowHosts-1 })
	h.loads.recordHub("h-2", loads)
	h.watchers.clearDigests()
	var response peer.WatchResponse
	replied := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
		defer cancel()
		var err error
		response, err = c.poll(ctx, host, 0, peer.WatchRequest{
			Host: "e-0", RosterSource: first.RosterSource, RosterVersion: first.RosterVersion, PendingRevision: math.MaxUint64, MaxWait: time.Millisecond,
		})
		replied <- err
	}()
	c.eventually("the reply has a digest", func() bool { return h.watchers.hasDigest("e-0") })
	before := rosters.Load()
	h.roster.MarkGone(h.Clock.Now(), narrowTarget(7))
	require.NoError(t, <-replied)
	require.LessOrEqual(t, rosters.Load()-before, int64(2), "the reply waited for the rosters of other hosts")
	require.Condition(t, func() bool {
		for _, entry := range response.Entries {
			if entry.Name == narrowTarget(7) && entry.State == roster.Gone {
				return true
			}
		}
		return false
	}, "the reply tells of the leave")
	require.True(t, response.WithoutLoads)
}
