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

// keepBehind polls a hub for a host that has the present view and never gets a change, until the
// test ends.
func (c *cluster) keepBehind(hub int) {
	revision := c.hubs[hub].replica.Machine.View().Revision
	polling, stop := context.WithCancel(context.Background())
	polled := make(chan struct{})
	c.t.Cleanup(func() {
		stop()
		<-polled
	})
	node := peer.NewNode(peer.Config{Host: "e-1", Clock: clockwork.NewRealClock()}, nil)
	go func() {
		defer close(polled)
		defer node.Close()
		for polling.Err() == nil {
			_, _ = node.Call(polling, c.addresses[hub], peer.WatchRequest{Host: "e-1", Revision: revision, PendingRevision: math.MaxUint64, MaxWait: 100 * time.Millisecond})
		}
	}()
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
