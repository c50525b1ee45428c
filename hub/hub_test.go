package hub

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
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

const fleetText = `{"Name": "f", "FailureDomains": ["a", "b"], "Services": [{"Name": "s", "Kind": "Plain", "Calls": [{"Name": "Do"}]}]}`

// cluster runs several hubs in one process.
type cluster struct {
	t         *testing.T
	addresses []string
	folders   []string
	hubs      []*Hub
	stops     []func()
}

// newCluster starts size hubs; the first three are the state replicas of the
// settings.
func newCluster(t *testing.T, size int) *cluster {
	c := &cluster{t: t, hubs: make([]*Hub, size), stops: make([]func(), size)}
	for range size {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		c.addresses = append(c.addresses, listener.Addr().String())
		c.folders = append(c.folders, t.TempDir())
		require.NoError(t, listener.Close())
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

func (c *cluster) start(i int, first bool) {
	log, err := logs.New(io.Discard, "info", "json")
	require.NoError(c.t, err)
	h, err := New(Dependencies{
		Settings: &settings.Settings{
			Host: fmt.Sprintf("h-%d", i), Peers: c.addresses[i], Admin: "127.0.0.1:0", StateReplicas: c.addresses[:3],
			State: &settings.State{Folder: c.folders[i], Cluster: "test", Tolerates: len(c.addresses) / 2, First: first},
		},
		Protocol: protocol.Protocol{
			ParseFleet:        fleet.Parse,
			NewControlHandler: func(protocol.Control) fasthttp.RequestHandler { return func(*fasthttp.RequestCtx) {} },
		},
		Clock: clockwork.NewRealClock(), Log: log, Scope: tally.NoopScope,
	})
	require.NoError(c.t, err)
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
	require.NoError(c.t, os.RemoveAll(c.folders[i]))
	require.NoError(c.t, os.MkdirAll(c.folders[i], 0o755))
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
		lead := c.leader()
		return lead >= 0 && c.hubs[lead].hasAllVoters()
	})
}

// isVoter reports whether the hub's current replica is a voter according to the
// leader.
func (c *cluster) isVoter(i int) bool {
	lead := c.leader()
	if lead < 0 {
		return false
	}
	id := c.hubs[i].replica.Quorum.Status().ID
	for _, member := range c.hubs[lead].replica.Quorum.Status().Members {
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
		lead := c.leader()
		if lead < 0 {
			return false
		}
		h := c.hubs[lead]
		err := (&controlHandler{hub: h}).PutFleet(ctx, 7, []byte(fleetText))
		if err == nil {
			require.True(t, h.hasAllVoters(), "acknowledged with too few voters")
		}
		return err == nil
	})
	for _, h := range c.hubs {
		c.eventually("every hub returns the fleet configuration", func() bool {
			version, read, err := (&controlHandler{hub: h}).Fleet(ctx)
			return err == nil && version == 7 && string(read) == fleetText
		})
	}
	other := `{"Name": "g"` + fleetText[len(`{"Name": "f"`):]
	require.ErrorIs(t, (&controlHandler{hub: c.hubs[0]}).PutFleet(ctx, 7, []byte(other)), protocol.ErrVersionConflict)
	require.ErrorIs(t, (&controlHandler{hub: c.hubs[1]}).PutFleet(ctx, 9, []byte("{")), protocol.ErrInvalidConfig)
	require.NoError(t, (&controlHandler{hub: c.hubs[2]}).SetOutage(ctx, "a", true))
	c.eventually("every hub has the outage", func() bool {
		for _, h := range c.hubs {
			if !h.replica.Machine.View().DomainsOut["a"] {
				return false
			}
		}
		return true
	})
}

// A replica that lost its disk knows only the configured replicas, while
// another hub is the leader.
func TestMembership_WipedReplicaRejoinsThroughUnconfiguredLeader(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitAllVoters()
	lead := c.leader()
	if lead < 3 {
		id := c.hubs[4].replica.Quorum.Status().ID
		require.NoError(t, c.hubs[lead].replica.Quorum.TransferLeadership(context.Background(), id))
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

func TestHub_WithoutMajorityRefusesTargetsAndReads(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	calls := &controlHandler{hub: c.hubs[2]}
	entry := roster.Entry{
		Announcement: target.Announcement{Name: "t", Address: "127.0.0.1:1", Service: "s", Stamp: target.Stamp{Incarnation: 1, Sequence: 1}},
		State:        roster.Ready,
	}
	c.eventually("an announcement is accepted", func() bool { return calls.Announce(context.Background(), entry) == nil })
	c.eventually("the other hubs receive the announcement", func() bool {
		_, first := c.hubs[0].table.Get("t")
		_, second := c.hubs[1].table.Get("t")
		return first && second
	})
	c.stop(0)
	c.stop(1)
	c.eventually("the hub notices the loss of the majority", func() bool {
		return calls.Announce(context.Background(), entry) != nil
	})
	require.ErrorIs(t, calls.Leave(context.Background(), "t"), protocol.ErrUnavailable)
	replies := make(chan peer.Message, 1)
	c.hubs[2].answerWatch(peer.WatchRequest{Host: "e"}, func(m peer.Message) { replies <- m })
	answer := (<-replies).(peer.WatchResponse)
	require.False(t, answer.QuorumConfirmed)
	require.Empty(t, answer.Delta, "a hub without a majority must send no state")
	require.Empty(t, answer.Entries)
	_, _, err := calls.Fleet(context.Background())
	require.ErrorIs(t, err, protocol.ErrUnavailable)
}

// After an outage of all hosts, entry hosts poll before a leader is elected.
// They are answered as soon as there is contact with the quorum, not at their
// next attempt.
func TestQuorumContact_AwaitReturnsOnConfirmation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	contact := newQuorumContact(clock)
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
	late := startAwait(time.Second)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.False(t, <-late)
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
