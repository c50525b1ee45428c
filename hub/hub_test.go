package hub

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/comfreytiller/integration/daemons"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/ledger"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

const (
	eventuallyTimeout = 30 * time.Second
	eventuallyTick    = 5 * time.Millisecond
)

const fleetConfig = `{"Name": "f", "FailureDomains": ["a", "b"], "Services": [{"Name": "s", "Kind": "Plain", "Calls": [{"Name": "Do"}]}]}`

// cluster runs several hubs in one process.
type cluster struct {
	t         testing.TB
	addresses []string
	dataDirs  []string
	hubs      []*Hub
	stops     []func()
	// disks are the faults of the hubs' disks.
	disks []faultyDisk
	// tolerates is how many voters may be lost.
	tolerates int
	// bandwidth is the link of each hub in Mbit/s; 0 if it is not stated.
	bandwidth float64
	// wrapConn wraps the connections of hubs that are started; nil wraps none.
	wrapConn func(net.Conn) net.Conn
}

// newCluster starts size hubs; the settings list the first three as state
// replicas.
func newCluster(t testing.TB, size int) *cluster {
	c := &cluster{t: t, tolerates: size / 2}
	for range size {
		c.add()
	}
	for i := range size {
		c.start(i, true)
	}
	t.Cleanup(func() {
		for i := range c.hubs {
			c.stop(i)
		}
	})
	return c
}

// add adds a hub with an empty disk, which is not started, and returns its index.
func (c *cluster) add() int {
	c.addresses = append(c.addresses, daemons.FreeAddress(c.t))
	c.dataDirs = append(c.dataDirs, c.t.TempDir())
	c.disks = append(c.disks, faultyDisk{FileSystem: ledger.OSFileSystem(), refuses: &atomic.Pointer[error]{}})
	c.hubs, c.stops = append(c.hubs, nil), append(c.stops, nil)
	return len(c.hubs) - 1
}

func (c *cluster) start(i int, firstStart bool) {
	c.startPrepared(i, firstStart, func(*Hub) {})
}

// startPrepared starts a hub that prepare may change before it runs.
func (c *cluster) startPrepared(i int, firstStart bool, prepare func(*Hub)) {
	log, err := logs.New(io.Discard, "info", "json")
	require.NoError(c.t, err)
	h, err := New(Dependencies{
		Settings: &settings.Settings{
			Host: fmt.Sprintf("h-%d", i), Peers: c.addresses[i], Admin: "127.0.0.1:0", StateReplicas: c.addresses[:3],
			State: &settings.State{Folder: c.dataDirs[i], Cluster: "test", Tolerates: c.tolerates, First: firstStart}, Bandwidth: c.bandwidth,
		},
		Protocol: protocol.Protocol{
			ParseFleet:        fleet.Parse,
			NewControlHandler: func(protocol.Control) fasthttp.RequestHandler { return func(*fasthttp.RequestCtx) {} },
		},
		Clock: clockwork.NewRealClock(), Log: log, Scope: tally.NoopScope, WrapConn: c.wrapConn,
		LedgerOptions: []ledger.Option{ledger.WithFileSystem(fullDisk{c.disks[i]})},
	})
	require.NoError(c.t, err)
	prepare(h)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.Run(ctx)
	}()
	c.hubs[i] = h
	c.stops[i] = func() {
		cancel()
		<-done
	}
}

func (c *cluster) stop(i int) {
	if c.hubs[i] != nil {
		c.stops[i]()
		c.hubs[i] = nil
	}
}

// wipe stops a hub and deletes its data.
func (c *cluster) wipe(i int) {
	c.stop(i)
	require.NoError(c.t, os.RemoveAll(c.dataDirs[i]))
	require.NoError(c.t, os.MkdirAll(c.dataDirs[i], 0o755))
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, eventuallyTimeout, eventuallyTick, what)
}

func (c *cluster) leader() int {
	for i, h := range c.hubs {
		if h != nil && h.replica.Quorum.Leadership().Confirmed {
			return i
		}
	}
	return -1
}

func (c *cluster) awaitAllVoters() {
	c.eventually("the cluster has all its voters", func() bool {
		leader := c.leader()
		return leader >= 0 && c.hubs[leader].hasAllVoters()
	})
}

// isVoter reports whether the hub's current replica is a voter according to the
// leader.
func (c *cluster) isVoter(i int) bool {
	leader := c.leader()
	if leader < 0 {
		return false
	}
	id := c.hubs[i].replica.Quorum.Status().ID
	for _, member := range c.hubs[leader].replica.Quorum.Status().Members {
		if member.ID == id && member.Voter {
			return true
		}
	}
	return false
}

func TestCluster_AcknowledgesOnlyWithAllVoters(t *testing.T) {
	c := newCluster(t, 5)
	ctx := context.Background()
	c.eventually("a fleet configuration is acknowledged", func() bool {
		leader := c.leader()
		if leader < 0 {
			return false
		}
		h := c.hubs[leader]
		err := (&controlHandler{hub: h}).PutFleet(ctx, 7, []byte(fleetConfig))
		if err == nil {
			require.True(t, h.hasAllVoters(), "acknowledged with too few voters")
		}
		return err == nil
	})
	for _, h := range c.hubs {
		c.eventually("every hub returns the fleet configuration", func() bool {
			version, read, err := (&controlHandler{hub: h}).Fleet(ctx)
			return err == nil && version == 7 && string(read) == fleetConfig
		})
	}
	other := `{"Name": "g"` + fleetConfig[len(`{"Name": "f"`):]
	require.ErrorIs(t, (&controlHandler{hub: c.hubs[0]}).PutFleet(ctx, 7, []byte(other)), protocol.ErrVersionConflict)
	require.ErrorIs(t, (&controlHandler{hub: c.hubs[1]}).PutFleet(ctx, 9, []byte("{")), protocol.ErrInvalidConfig)
	require.NoError(t, (&controlHandler{hub: c.hubs[2]}).SetOutage(ctx, waitingCaller{}, "a", true))
	c.eventually("every hub has the outage", func() bool {
		for _, h := range c.hubs {
			if !h.replica.Machine.View().DomainsOut["a"] {
				return false
			}
		}
		return true
	})
}

// A replica that lost its disk knows only the configured replicas, and the
// leader is not one of them. It must become a voter again.
func TestMembership_WipedReplicaRejoinsThroughUnconfiguredLeader(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	leader := c.leader()
	if leader < 3 {
		id := c.hubs[4].replica.Quorum.Status().ID
		require.NoError(t, c.hubs[leader].replica.Quorum.TransferLeadership(context.Background(), id))
	}
	c.eventually("a hub that is not configured becomes leader", func() bool { return c.leader() >= 3 })
	before := c.hubs[0].replica.Quorum.Status().ID
	c.wipe(0)
	c.start(0, false)
	require.NotEqual(t, before, c.hubs[0].replica.Quorum.Status().ID, "a wiped replica must not reuse its ID")
	c.eventually("the wiped replica is a voter again", func() bool { return c.isVoter(0) })
	c.eventually("the former replica is no longer a member", func() bool {
		for _, member := range c.hubs[0].replica.Quorum.Status().Members {
			if member.ID == before {
				return false
			}
		}
		return true
	})
}

func TestHub_WithoutMajorityRejectsTargetsAndReads(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	handler := &controlHandler{hub: c.hubs[2]}
	entry := roster.Entry{
		Announcement: target.Announcement{Name: "t", Address: "127.0.0.1:1", Service: "s", Stamp: target.Stamp{Incarnation: 1, Sequence: 1}},
		State:        roster.Ready,
	}
	c.eventually("an announcement is accepted", func() bool { return handler.Announce(context.Background(), entry) == nil })
	c.eventually("the other hubs receive the announcement", func() bool {
		_, first := c.hubs[0].roster.Get("t")
		_, second := c.hubs[1].roster.Get("t")
		return first && second
	})
	c.stop(0)
	c.stop(1)
	c.eventually("the hub notices the loss of the majority", func() bool {
		return handler.Announce(context.Background(), entry) != nil
	})
	require.ErrorIs(t, handler.Leave(context.Background(), "t"), protocol.ErrUnavailable)
	replies := make(chan peer.Message, 1)
	c.hubs[2].handleWatch(peer.WatchRequest{Host: "e"}, func(m peer.Message) { replies <- m })
	response := (<-replies).(peer.WatchResponse)
	require.False(t, response.QuorumConfirmed)
	require.Empty(t, response.Delta, "a hub without contact with a majority must send no state delta")
	require.Empty(t, response.Entries)
	_, _, err := handler.Fleet(context.Background())
	require.ErrorIs(t, err, protocol.ErrUnavailable)
}

// After an outage of all hosts, entry hosts poll before a leader is elected.
// They get a reply as soon as there is contact with a majority, not at their
// next attempt.
func TestMajorityContact_AwaitReturnsOnConfirmation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	contact := newMajorityContact(clock)
	startAwait := func(wait time.Duration) <-chan bool {
		answered := make(chan bool, 1)
		go func() { answered <- contact.await(wait) }()
		return answered
	}
	require.False(t, <-startAwait(0), "a poll without a wait returns at once")

	first, second := startAwait(time.Second), startAwait(time.Second)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 2))
	contact.confirm(clock.Now())
	require.True(t, <-first)
	require.True(t, <-second)
	require.True(t, <-startAwait(0))

	clock.Advance(contactTTL)
	expired := startAwait(time.Second)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.False(t, <-expired)
}

func TestPlanMembership(t *testing.T) {
	member := func(id, host string, voter bool) quorum.MemberStatus {
		return quorum.MemberStatus{Member: quorum.Member{ID: id, Host: host, Voter: voter}}
	}
	three := []quorum.MemberStatus{member("a", "h-a", true), member("b", "h-b", true), member("c", "h-c", true)}
	for name, test := range map[string]struct {
		members []quorum.MemberStatus
		id      string
		host    string
		lost    string
		want    MembershipChange
	}{
		"an existing voter": {three, "a", "h-a", "b", MembershipChange{Step: StepNone}},
		"too few voters":    {three[:2], "n", "h-n", "", MembershipChange{Step: StepAdmit}},
		"a wiped disk":      {three, "n", "h-a", "", MembershipChange{Step: StepReplace, Replaced: "a"}},
		"a wiped disk takes precedence over a lost voter": {three, "n", "h-a", "b", MembershipChange{Step: StepReplace, Replaced: "a"}},
		"a lost voter":                                  {three, "n", "h-n", "b", MembershipChange{Step: StepReplace, Replaced: "b"}},
		"enough voters":                                 {three, "n", "h-n", "", MembershipChange{Step: StepAddLearner}},
		"a learner waits":                               {append(three[:3:3], member("n", "h-n", false)), "n", "h-n", "", MembershipChange{Step: StepNone}},
		"a learner replaces a lost voter":               {append(three[:3:3], member("n", "h-n", false)), "n", "h-n", "c", MembershipChange{Step: StepReplace, Replaced: "c"}},
		"a learner joins a cluster with too few voters": {[]quorum.MemberStatus{three[0], member("n", "h-n", false)}, "n", "h-n", "", MembershipChange{Step: StepAdmit}},
	} {
		status := quorum.Status{Members: test.members}
		got := PlanMembership(status, joinRequest{JoinRequest: peer.JoinRequest{ID: test.id, Host: test.host}}, 3, test.lost)
		require.Equal(t, test.want, got, name)
	}
}

// A replacement that was interrupted after the new replica became a voter
// leaves a voter without a disk.
func TestSurplusVoter_CompletesInterruptedReplacement(t *testing.T) {
	member := func(id, host string, lastContact int) quorum.MemberStatus {
		return quorum.MemberStatus{
			Member:      quorum.Member{ID: id, Host: host, Voter: true},
			LastContact: time.Unix(int64(lastContact), 0),
		}
	}
	status := quorum.Status{ID: "a", Members: []quorum.MemberStatus{
		member("a", "h-a", 0), member("b", "h-b", 9), member("old", "h-c", 3), member("new", "h-c", 9),
	}}
	require.Equal(t, "old", SurplusVoter(status, 3, ""))
	status.Members[2], status.Members[3] = status.Members[3], status.Members[2]
	require.Equal(t, "old", SurplusVoter(status, 3, "b"))
	status.Members = status.Members[:3]
	require.Empty(t, SurplusVoter(status, 3, ""))
	require.Empty(t, SurplusVoter(status, 3, "b"), "a lost voter stays until it is replaced")
	status.Members = append(status.Members, member("d", "h-d", 9))
	require.Equal(t, "b", SurplusVoter(status, 3, "b"))
	status.Members = []quorum.MemberStatus{member("x", "h-a", 5), member("a", "h-a", 0)}
	require.Equal(t, "x", SurplusVoter(status, 1, ""), "the leader is never removed")
}

// A join request from a voter's address under another ID proves that the voter's process
// has ended and its disk is gone. One from another address proves nothing.
func TestLostVoters_AnotherReplicaUsesTheirAddress(t *testing.T) {
	member := func(id, address string, voter bool) quorum.MemberStatus {
		return quorum.MemberStatus{Member: quorum.Member{ID: id, Host: "h-" + id, Address: address, Voter: voter}}
	}
	status := quorum.Status{Members: []quorum.MemberStatus{
		member("a", "10.0.0.1:1", true), member("b", "10.0.0.2:1", true), member("c", "10.0.0.3:1", false),
	}}
	for _, test := range []struct {
		id, address string
		want        []string
	}{
		{"n", "10.0.0.2:1", []string{"b"}},
		{"b", "10.0.0.2:1", nil},
		{"n", "10.0.0.9:1", nil},
		{"n", "10.0.0.3:1", nil},
	} {
		require.Equal(t, test.want, LostVoters(status, peer.JoinRequest{ID: test.id, Address: test.address}), test)
	}
}
