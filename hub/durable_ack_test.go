package hub

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/ledger"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
	"comfreytiller.dev/registry"
)

const (
	// slowWrite is the duration of a write on a slow disk that still holds a change in time.
	slowWrite = 60 * time.Millisecond
	// operatorRetryAfter is when an operator's client goes on to another hub.
	operatorRetryAfter = time.Second
)

// slowDisk delays each write by a duration, and all writes while it is stalled.
type slowDisk struct {
	quorum.Storage

	delay   atomic.Int64
	mu      sync.Mutex
	stalled chan struct{}
}

// stall lets writes hang until release is called or the test ends.
func (d *slowDisk) stall(t *testing.T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stalled = make(chan struct{})
	t.Cleanup(d.release)
}

// release ends a stall.
func (d *slowDisk) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stalled != nil {
		close(d.stalled)
		d.stalled = nil
	}
}

func (d *slowDisk) Save(state quorum.HardState, entries []quorum.Entry) error {
	<-clockwork.NewRealClock().After(time.Duration(d.delay.Load()))
	d.mu.Lock()
	stalled := d.stalled
	d.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	return d.Storage.Save(state, entries)
}

// nodeTransport sends the messages of a replica over the connections of its hub.
type nodeTransport struct{ node *peer.Node }

func (t nodeTransport) Send(messages []quorum.Message) {
	for _, message := range messages {
		t.node.Send(message.ToAddress, peer.QuorumMessages{Messages: quorum.EncodeMessages([]quorum.Message{message})})
	}
}

// restartOnSlowDisk starts a hub again with its data on a disk without a delay at first.
func (c *cluster) restartOnSlowDisk(i int) *slowDisk {
	c.stop(i)
	disk := &slowDisk{}
	c.startPrepared(i, false, func(h *Hub) {
		h.replica.Close()
		opened, err := ledger.Open(c.dataDirs[i])
		require.NoError(c.t, err)
		disk.Storage = quorum.NewLedgerStorage(opened)
		h.replica.Machine = registry.NewMachine(registry.WithFleetParser(fleet.Parse))
		h.replica.Quorum, err = quorum.Start(quorum.Config{Host: h.Settings.Host}, disk, nodeTransport{h.node}, h.replica.Machine)
		require.NoError(c.t, err)
		c.t.Cleanup(func() {
			c.stop(i)
			require.NoError(c.t, opened.Close())
		})
	})
	c.awaitContact()
	return disk
}

// awaitContact waits until there is a leader that has all voters and each hub hears from the
// others.
func (c *cluster) awaitContact() {
	c.awaitAllVoters()
	for _, h := range c.hubs {
		if h != nil {
			c.eventually("the hub is in contact with a majority", h.hasMajorityContact)
		}
	}
}

// follower returns the index of a hub that doesn't lead.
func (c *cluster) follower() int {
	c.eventually("there is a leader", func() bool { return c.leader() >= 0 })
	return (c.leader() + 1) % len(c.hubs)
}

// operator sends changes to a hub, and goes on with the next version each time.
type operator struct {
	t       *testing.T
	control *controlHandler
	version int
}

// putFleet returns the version of the configuration and how long its acknowledgement took.
func (o *operator) putFleet() (uint64, time.Duration) {
	o.version++
	begun := time.Now()
	require.NoError(o.t, o.control.PutFleet(o.t.Context(), uint64(o.version), versionedConfig(o.version)))
	return uint64(o.version), time.Since(begun)
}

// fastestPutFleet returns the shortest time of some acknowledgements.
func (o *operator) fastestPutFleet() time.Duration {
	fastest := time.Duration(math.MaxInt64)
	for range 4 {
		_, took := o.putFleet()
		fastest = min(fastest, took)
	}
	return fastest
}

// changesInTime makes changes until one is acknowledged before the time for the disks is over,
// and checks that voter has it then.
func (o *operator) changesInTime(voter *Hub, change func(), holds func() bool) {
	id, hub := voter.replica.Quorum.Status().ID, o.control.hub
	for begun, took := time.Now(), durableCopiesTimeout; took >= durableCopiesTimeout; {
		require.Less(o.t, time.Since(begun), eventuallyTimeout, "no change is acknowledged in time")
		require.Eventually(o.t, func() bool {
			reports := hub.voters.current()
			at := slices.IndexFunc(reports, func(report voterReport) bool { return report.ID == id })
			return at >= 0 && reports[at].Durable.holds(hub.durableVersions())
		}, eventuallyTimeout, eventuallyTick, "the voter has caught up")
		sent := time.Now()
		change()
		held := holds()
		took = time.Since(sent)
		require.True(o.t, held || took >= durableCopiesTimeout, "acknowledged, but not on the disk of a voter in contact")
	}
}

func (h *Hub) fleetVersion() uint64 { return h.replica.Machine.View().FleetVersion }

func (h *Hub) isOut(domain string) bool { return h.replica.Machine.View().DomainsOut[domain] }

// Guards against an acknowledged change that is on three of five disks, which are lost before
// the other two voters have it.
func TestAcknowledgement_WaitsForVotersInContact(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	slow := c.follower()
	disk := c.restartOnSlowDisk(slow)
	disk.delay.Store(int64(slowWrite))
	o, voter := &operator{t: t}, c.hubs[slow]
	for _, h := range c.hubs {
		o.control = &controlHandler{hub: h}
		holdsFleet := func() bool { return voter.fleetVersion() == uint64(o.version) }
		o.changesInTime(voter, func() { o.putFleet() }, holdsFleet)
		// The first send got no response.
		o.changesInTime(voter, func() {
			o.version++
			version, config := uint64(o.version), versionedConfig(o.version)
			_, err := o.control.commit(t.Context(), registry.NumberFleet{Version: version, Config: config})
			require.NoError(t, err)
			require.NoError(t, o.control.PutFleet(t.Context(), version, config))
		}, holdsFleet)
		out := false
		setOutage := func() {
			out = !out
			require.NoError(t, o.control.SetOutage(t.Context(), waitingCaller{}, "a", out))
		}
		o.changesInTime(voter, setOutage, func() bool { return voter.isOut("a") == out })
	}
}

// A voter that is gone delays an acknowledgement for a moment, and none once it has been silent.
func TestAcknowledgement_NotDelayedBySilentVoter(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitContact()
	gone := c.follower()
	o := &operator{t: t, control: &controlHandler{hub: c.hubs[c.leader()]}}
	o.putFleet()
	id := c.hubs[gone].replica.Quorum.Status().ID
	c.stop(gone)
	_, took := o.putFleet()
	require.Less(t, took, operatorRetryAfter)
	fastest := time.Duration(math.MaxInt64)
	for _, h := range c.hubs {
		if h == nil || h == o.control.hub {
			continue
		}
		c.eventually("the voter is silent", func() bool {
			at := slices.IndexFunc(h.voters.current(), func(report voterReport) bool { return report.ID == id })
			return h.voters.current()[at].isSilent(h.Clock.Now())
		})
		at := &operator{t: t, control: &controlHandler{hub: h}, version: o.version}
		_, took := at.putFleet()
		fastest, o.version = min(fastest, took), at.version
		copies, err := h.voters.awaitCopies(t.Context(), operatorVersions{Fleet: uint64(o.version)})
		require.NoError(t, err)
		require.Equal(t, 4, copies.Count)
		require.Len(t, copies.Missing, 1)
		require.Equal(t, fmt.Sprint("h-", gone), copies.Missing[0].Host)
	}
	require.Less(t, fastest, durableCopiesTimeout, "a silent voter delays the first change at a hub")
}

// Guards against an acknowledgement without the wait, since the call has ended.
func TestAcknowledgement_NotBeforeTheDisksIfTheCallEnds(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	stalled := c.follower()
	disk := c.restartOnSlowDisk(stalled)
	h := c.hubs[c.leader()]
	o := &operator{t: t, control: &controlHandler{hub: h}}
	o.putFleet()
	disk.stall(t)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := o.control.commit(t.Context(), registry.NumberFleet{Version: 2, Config: versionedConfig(2)})
	require.NoError(t, err)
	_, err = h.voters.awaitCopies(ended, operatorVersions{Fleet: 2})
	require.ErrorIs(t, err, protocol.ErrUnavailable)
}

// A disk that hangs delays one acknowledgement for a moment, at any hub, and is waited for
// again once it has caught up.
func TestAcknowledgement_BoundedWithStalledDisk(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	stalled := c.follower()
	disk := c.restartOnSlowDisk(stalled)
	voter := c.hubs[stalled]
	leader := &controlHandler{hub: c.hubs[c.leader()]}
	o := &operator{t: t, control: leader}
	o.putFleet()
	c.eventually("the hub has the first configuration", func() bool { return voter.fleetVersion() == 1 })
	disk.stall(t)
	for _, control := range []*controlHandler{leader, {hub: voter}} {
		o.control = control
		_, took := o.putFleet()
		require.Less(t, took, operatorRetryAfter)
		require.Less(t, o.fastestPutFleet(), durableCopiesTimeout, "a voter that missed a change delays the next ones")
	}
	require.EqualValues(t, 1, voter.fleetVersion(), "a change is applied that is not on the disk")
	disk.release()
	disk.delay.Store(int64(slowWrite))
	o.control = leader
	o.changesInTime(voter, func() { o.putFleet() }, func() bool { return voter.fleetVersion() == uint64(o.version) })
}

// That the hosts have a change tells nothing about the disks: hosts get it from any hub, and
// without hosts there is nothing to wait for.
func TestAwaitPropagation_TellsNothingOfDisks(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	stalled := c.follower()
	disk := c.restartOnSlowDisk(stalled)
	voter := c.hubs[stalled]
	o := &operator{t: t, control: &controlHandler{hub: c.hubs[c.leader()]}}
	o.putFleet()
	disk.stall(t)
	_, err := o.control.commit(t.Context(), registry.NumberFleet{Version: 2, Config: versionedConfig(2)})
	require.NoError(t, err)
	require.True(t, o.control.awaitPropagation(t.Context(), operatorVersions{Fleet: 2}), "there is no host")
	voter.watchers.recordWatch("e-1", math.MaxUint64)
	require.True(t, o.control.awaitPropagation(t.Context(), operatorVersions{Fleet: 2}), "the only host has the change from another hub")
	require.Less(t, voter.fleetVersion(), uint64(2))
}

// Guards against a hub that stood still, takes all voters for silent when it goes on, and
// acknowledges a change without them.
func TestVoters_SilenceDoesNotCountWhileHubStoodStill(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitContact()
	h := c.hubs[0]
	c.eventually("the hub knows what the others have", func() bool {
		h.voters.mu.Lock()
		defer h.voters.mu.Unlock()
		return len(h.voters.reports) == len(c.hubs)-1
	})
	h.voters.mu.Lock()
	before := h.Clock.Now().Add(-time.Minute)
	h.voters.awakeSince, h.voters.refreshedAt = before, before
	for id, report := range h.voters.reports {
		report.HeardAt = before
		h.voters.reports[id] = report
	}
	h.voters.mu.Unlock()
	for _, report := range h.voters.current() {
		require.False(t, report.isSilent(h.Clock.Now()), report.Host)
	}
}
