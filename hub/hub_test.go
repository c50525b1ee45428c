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
	patience = 30 * time.Second
	glance   = 5 * time.Millisecond
)

const text = `{"Name": "f", "FailureDomains": ["a", "b"], "Services": [{"Name": "s", "Kind": "Plain", "Calls": [{"Name": "Do"}]}]}`

// cluster is a few hubs in one process.
type cluster struct {
	t         *testing.T
	addresses []string
	folders   []string
	hubs      []*Hub
	stops     []func()
}

// newCluster starts hubs of which the first three are the seeds.
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
			ReadFleet:  fleet.Parse,
			NewControl: func(protocol.Control) fasthttp.RequestHandler { return func(*fasthttp.RequestCtx) {} },
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

// wipe stops a hub and empties its disk.
func (c *cluster) wipe(i int) {
	c.stop(i)
	require.NoError(c.t, os.RemoveAll(c.folders[i]))
	require.NoError(c.t, os.MkdirAll(c.folders[i], 0o755))
}

func (c *cluster) eventually(what string, condition func() bool) {
	c.t.Helper()
	require.Eventually(c.t, condition, patience, glance, what)
}

func (c *cluster) leader() int {
	for i, h := range c.hubs {
		if h != nil && h.replica.Quorum.Leadership().Confirmed {
			return i
		}
	}
	return -1
}

func (c *cluster) awaitFormed() {
	c.eventually("the cluster forms itself", func() bool {
		lead := c.leader()
		return lead >= 0 && c.hubs[lead].formed()
	})
}

// votes reports whether the hub's present replica is a voter in the leader's eyes.
func (c *cluster) votes(i int) bool {
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

func TestAClusterFormsItselfAndAcknowledgesOnlyThen(t *testing.T) {
	c := newCluster(t, 5)
	ctx := context.Background()
	c.eventually("a text is acknowledged", func() bool {
		lead := c.leader()
		if lead < 0 {
			return false
		}
		h := c.hubs[lead]
		err := (&control{hub: h}).PutFleet(ctx, 7, []byte(text))
		if err == nil {
			require.True(t, h.formed(), "too few voters to acknowledge anything")
		}
		return err == nil
	})
	for _, h := range c.hubs {
		c.eventually("every hub tells the text", func() bool {
			version, read, err := (&control{hub: h}).Fleet(ctx)
			return err == nil && version == 7 && string(read) == text
		})
	}
	other := `{"Name": "g"` + text[len(`{"Name": "f"`):]
	require.ErrorIs(t, (&control{hub: c.hubs[0]}).PutFleet(ctx, 7, []byte(other)), protocol.ErrConflict)
	require.ErrorIs(t, (&control{hub: c.hubs[1]}).PutFleet(ctx, 9, []byte("{")), protocol.ErrInvalid)
	require.NoError(t, (&control{hub: c.hubs[2]}).SetOutage(ctx, "a", true))
	c.eventually("every hub knows the outage", func() bool {
		for _, h := range c.hubs {
			if !h.replica.Machine.View().DomainsOut["a"] {
				return false
			}
		}
		return true
	})
}

// A replica that lost its disk knows only the seeds, while another hub leads.
func TestAWipedReplicaGetsItsPlaceFromALeaderThatIsNoSeed(t *testing.T) {
	c := newCluster(t, 5)
	c.awaitFormed()
	lead := c.leader()
	if lead < 3 {
		id := c.hubs[4].replica.Quorum.Status().ID
		require.NoError(t, c.hubs[lead].replica.Quorum.TransferLeadership(context.Background(), id))
	}
	c.eventually("a hub that is no seed leads", func() bool { return c.leader() >= 3 })
	before := c.hubs[0].replica.Quorum.Status().ID
	c.wipe(0)
	c.start(0, false)
	require.NotEqual(t, before, c.hubs[0].replica.Quorum.Status().ID, "a wiped disk never votes as its old self")
	c.eventually("it votes again", func() bool { return c.votes(0) })
	c.eventually("its old self is no member", func() bool {
		for _, member := range c.hubs[0].replica.Quorum.Status().Members {
			if member.ID == before {
				return false
			}
		}
		return true
	})
}

func TestAHubWithoutAMajorityRefusesTargetsAndReads(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitFormed()
	calls := &control{hub: c.hubs[2]}
	entry := roster.Entry{
		Announcement: target.Announcement{Name: "t", Address: "127.0.0.1:1", Service: "s", Stamp: target.Stamp{Incarnation: 1, Sequence: 1}},
		State:        roster.Ready,
	}
	c.eventually("a target is taken", func() bool { return calls.Announce(context.Background(), entry) == nil })
	c.eventually("the others hear of it", func() bool {
		_, first := c.hubs[0].table.Get("t")
		_, second := c.hubs[1].table.Get("t")
		return first && second
	})
	c.stop(0)
	c.stop(1)
	c.eventually("it knows that it is alone", func() bool {
		return calls.Announce(context.Background(), entry) != nil
	})
	require.ErrorIs(t, calls.Leave(context.Background(), "t"), protocol.ErrNotNow)
	told := make(chan peer.Message, 1)
	c.hubs[2].watched(peer.WatchRequest{Host: "e"}, func(m peer.Message) { told <- m })
	answer := (<-told).(peer.WatchResponse)
	require.False(t, answer.QuorumConfirmed)
	require.Empty(t, answer.Delta, "what it knows is of no use to a host")
	require.Empty(t, answer.Entries)
	_, _, err := calls.Fleet(context.Background())
	require.ErrorIs(t, err, protocol.ErrNotNow)
}

// After a loss of all, hosts ask before a leader is elected. They are answered
// with the first touch, not with the next try.
func TestAQuestionWaitsForTouch(t *testing.T) {
	clock := clockwork.NewFakeClock()
	touch := newTouch(clock)
	ask := func(wait time.Duration) <-chan bool {
		answered := make(chan bool, 1)
		go func() { answered <- touch.await(wait) }()
		return answered
	}
	require.False(t, <-ask(0), "a host that does not wait goes on to another hub")

	first, second := ask(time.Second), ask(time.Second)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 2))
	touch.renew(clock.Now())
	require.True(t, <-first)
	require.True(t, <-second)
	require.True(t, <-ask(0))

	clock.Advance(touchLasts)
	late := ask(time.Second)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(time.Second)
	require.False(t, <-late)
}

func TestPlacesAreGivenInOrder(t *testing.T) {
	member := func(id, host string, voter bool) quorum.MemberStatus {
		return quorum.MemberStatus{Member: quorum.Member{ID: id, Host: host, Voter: voter}}
	}
	three := []quorum.MemberStatus{member("a", "h-a", true), member("b", "h-b", true), member("c", "h-c", true)}
	for name, test := range map[string]struct {
		members []quorum.MemberStatus
		id      string
		host    string
		lost    string
		want    Change
	}{
		"a member has its place":          {three, "a", "h-a", "b", Change{Step: StepNone}},
		"too few voters":                  {three[:2], "n", "h-n", "", Change{Step: StepAdmit}},
		"a wiped disk":                    {three, "n", "h-a", "", Change{Step: StepReplace, Replaced: "a"}},
		"a wiped disk before a lost one":  {three, "n", "h-a", "b", Change{Step: StepReplace, Replaced: "a"}},
		"a lost voter":                    {three, "n", "h-n", "b", Change{Step: StepReplace, Replaced: "b"}},
		"all places taken":                {three, "n", "h-n", "", Change{Step: StepLearn}},
		"a learner waits":                 {append(three[:3:3], member("n", "h-n", false)), "n", "h-n", "", Change{Step: StepNone}},
		"a learner takes a lost place":    {append(three[:3:3], member("n", "h-n", false)), "n", "h-n", "c", Change{Step: StepReplace, Replaced: "c"}},
		"a learner fills up a small club": {[]quorum.MemberStatus{three[0], member("n", "h-n", false)}, "n", "h-n", "", Change{Step: StepAdmit}},
	} {
		status := quorum.Status{Members: test.members}
		got := Plan(status, wish{JoinRequest: peer.JoinRequest{ID: test.id, Host: test.host}}, 3, test.lost)
		require.Equal(t, test.want, got, name)
	}
}

// A replacement that was cut short after the vote of the new replica leaves a
// voter whose disk is gone.
func TestAReplacementThatWasCutShortIsFinished(t *testing.T) {
	member := func(id, host string, heard int) quorum.MemberStatus {
		return quorum.MemberStatus{
			Member:      quorum.Member{ID: id, Host: host, Voter: true},
			LastContact: time.Unix(int64(heard), 0),
		}
	}
	status := quorum.Status{ID: "a", Members: []quorum.MemberStatus{
		member("a", "h-a", 0), member("b", "h-b", 9), member("old", "h-c", 3), member("new", "h-c", 9),
	}}
	require.Equal(t, "old", Surplus(status, 3, ""))
	status.Members[2], status.Members[3] = status.Members[3], status.Members[2]
	require.Equal(t, "old", Surplus(status, 3, "b"))
	status.Members = status.Members[:3]
	require.Empty(t, Surplus(status, 3, ""))
	require.Empty(t, Surplus(status, 3, "b"), "a lost voter stays until another takes its place")
	status.Members = append(status.Members, member("d", "h-d", 9))
	require.Equal(t, "b", Surplus(status, 3, "b"))
	status.Members = []quorum.MemberStatus{member("x", "h-a", 5), member("a", "h-a", 0)}
	require.Equal(t, "x", Surplus(status, 1, ""), "the leader itself stays")
}
