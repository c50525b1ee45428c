package hub

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/peer"
)

// laggingWrite is the duration of a write on the disk of a hub that applies changes after the
// others have committed them.
const laggingWrite = 200 * time.Millisecond

// keepPolling polls a hub for a host that has a revision and never gets a change, until the test
// ends.
func (c *cluster) keepPolling(host string, hub int, revision uint64) {
	polling, stop := context.WithCancel(context.Background())
	polled := make(chan struct{})
	c.t.Cleanup(func() {
		stop()
		<-polled
	})
	node := peer.NewNode(peer.Config{Host: host, Clock: clockwork.NewRealClock()}, nil)
	go func() {
		defer close(polled)
		defer node.Close()
		for polling.Err() == nil {
			_, _ = node.Call(polling, c.addresses[hub], peer.WatchRequest{Host: host, Revision: revision, PendingRevision: math.MaxUint64, MaxWait: 100 * time.Millisecond})
		}
	}()
}

// keepBehind polls a hub for a host that has the present view and never gets a change.
func (c *cluster) keepBehind(hub int) {
	c.keepPolling("e-1", hub, c.hubs[hub].replica.Machine.View().Revision)
}

// Guards against an acknowledgement by a hub whose replica has not applied the change yet: it
// looked whether the hosts had its own, older view, which they all had, so that hosts acted on an
// older configuration long after the acknowledgement.
func TestPutFleet_HubThatLagsWaitsForHosts(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	lagging := c.follower()
	disk := c.restartOnSlowDisk(lagging)
	other := (lagging + 1) % len(c.hubs)
	o := &operator{t: t, control: &controlHandler{hub: c.hubs[other]}}
	o.putFleet()
	c.keepBehind(other)
	h := c.hubs[lagging]
	c.eventually("the hub has the first configuration", func() bool { return h.fleetVersion() == 1 })
	c.eventually("the hub knows of the host", func() bool { return h.watchers.anyBehind(math.MaxUint64) })
	disk.delay.Store(int64(laggingWrite))
	control := &controlHandler{hub: h}
	require.ErrorIs(t, control.PutFleet(t.Context(), 2, versionedConfig(2)), protocol.ErrUnavailable)
}

// Guards against an acknowledgement that doesn't wait for the hosts of another hub, since a host
// that has just started and has no view yet polls that hub, too.
func TestPutFleet_HostsWithoutViewDoNotHideOthers(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	o := &operator{t: t, control: &controlHandler{hub: c.hubs[0]}}
	o.putFleet()
	c.eventually("the hub has the first configuration", func() bool { return c.hubs[1].fleetVersion() == 1 })
	c.keepPolling("e-new", 1, 0)
	c.keepBehind(1)
	c.eventually("the hub has both hosts", func() bool { return len(c.hubs[1].watchers.localHosts()) == 2 })
	told := c.hubs[0].Clock.Now()
	c.eventually("the hub has told of its hosts since", func() bool { return c.hubs[0].heardOf(c.hubs[1], told.Add(2*refreshInterval)) })
	require.ErrorIs(t, o.control.PutFleet(t.Context(), 2, versionedConfig(2)), protocol.ErrUnavailable)
}

// heardOf reports whether a hub has heard of another one after a time.
func (h *Hub) heardOf(other *Hub, after time.Time) bool {
	h.voters.mu.Lock()
	defer h.voters.mu.Unlock()
	return h.voters.reports[other.replica.Quorum.Status().ID].HeardAt.After(after)
}
