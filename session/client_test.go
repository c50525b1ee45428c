package session

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

const fleetText = `{
	"Name": "F", "FailureDomains": ["East"],
	"Services": [{"Name": "S", "Kind": "Plain", "Calls": [{"Name": "C"}]}],
}`

// replicas answers like state replicas over a real machine.
type replicas struct {
	clock   *clockwork.FakeClock
	machine *registry.Machine
	index   uint64
	// leader is the only address that commits and renews.
	leader string
	// late is how much time passes before a renewal is answered.
	late time.Duration
	// lost drops the answers after the effect.
	lost int
	// down are addresses that do not answer.
	down map[string]bool
}

func newReplicas() *replicas {
	return &replicas{
		clock:   clockwork.NewFakeClock(),
		machine: registry.NewMachine(),
		leader:  "a",
		down:    map[string]bool{},
	}
}

var errDown = errors.New("connection refused")

func (r *replicas) Call(_ context.Context, address string, message peer.Message) (peer.Message, error) {
	if r.down[address] {
		return nil, errDown
	}
	switch m := message.(type) {
	case peer.ProposeRequest:
		if address != r.leader {
			return peer.ProposeResponse{Code: peer.CodeNotLeader, Leader: r.leader}, nil
		}
		r.index++
		result := r.machine.Apply(r.index, 1, m.Command)
		if r.lost > 0 {
			r.lost--
			return nil, errDown
		}
		return peer.ProposeResponse{Code: peer.CodeDone, Result: result}, nil
	case peer.RenewRequest:
		return r.renew(address, m), nil
	}
	return nil, errDown
}

func (r *replicas) renew(address string, m peer.RenewRequest) peer.Message {
	if address != r.leader {
		return peer.RenewResponse{Code: peer.CodeNotLeader, Leader: r.leader}
	}
	r.clock.Advance(r.late)
	if _, open := r.machine.Session(m.Session); !open {
		return peer.RenewResponse{Code: peer.CodeNoSession}
	}
	return peer.RenewResponse{Code: peer.CodeDone, Delta: r.machine.EncodedDeltaSince(m.Revision, m.FleetVersion)}
}

func (r *replicas) commit(t *testing.T, command registry.Command) registry.Result {
	t.Helper()
	r.index++
	result, err := registry.DecodeResult(r.machine.Apply(r.index, 1, registry.EncodeCommand(command)))
	require.NoError(t, err)
	require.NoError(t, result.Err())
	return result
}

func newClient(r *replicas) *Client {
	return New(Config{
		Host: "host-1", FailureDomain: "East", PeerAddress: "127.0.0.1:1", Owns: true,
		Replicas: []string{"a", "b"}, Clock: r.clock,
		Start: 7,
	}, r)
}

// opened returns a client with a session and one renewal.
func opened(t *testing.T, r *replicas) *Client {
	t.Helper()
	c := newClient(r)
	require.NoError(t, c.open(t.Context()))
	require.NoError(t, c.renew(t.Context()))
	require.NoError(t, c.Check())
	return c
}

func TestLeaseCountsFromSendingTheRenewal(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	r.late = Lease - Margin
	require.NoError(t, c.renew(t.Context()))
	require.ErrorIs(t, c.Check(), ErrNoLease, "an answer that came a lease after the question grants nothing")

	r.late = 0
	require.NoError(t, c.renew(t.Context()))
	require.NoError(t, c.Check())
	r.clock.Advance(Lease - Margin - time.Millisecond)
	require.NoError(t, c.Check())
	r.clock.Advance(time.Millisecond)
	require.ErrorIs(t, c.Check(), ErrNoLease)
}

func TestPausedHostSeesThatItsLeaseIsOver(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	r.clock.Advance(time.Hour)
	require.ErrorIs(t, c.Check(), ErrNoLease)
}

func TestRenewalBringsTheNewsBeforeTheLease(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	view, changed := c.Watch()
	require.False(t, view.DomainsOut["East"])
	r.commit(t, registry.ApplyFleet{Operation: registry.Operation{ID: "f", Time: r.clock.Now()}, Text: []byte(fleetText)})
	r.commit(t, registry.SetOutage{
		Operation: registry.Operation{ID: "o", Time: r.clock.Now()}, FailureDomain: "East", Out: true,
	})
	require.NoError(t, c.renew(t.Context()))
	require.True(t, c.View().DomainsOut["East"])
	select {
	case <-changed:
	default:
		t.Error("the watcher is not woken")
	}
}

func TestClientFollowsTheLeader(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	r.leader = "b"
	require.ErrorIs(t, c.renew(t.Context()), ErrNoLeader)
	require.NoError(t, c.renew(t.Context()), "the next renewal goes to the leader that was named")
	r.down["b"] = true
	require.Error(t, c.renew(t.Context()))
	r.leader = "a"
	// "b" is also the next of the settings' replicas; after it comes "a".
	require.Error(t, c.renew(t.Context()))
	require.NoError(t, c.renew(t.Context()), "a leader that does not answer is left")
}

func TestClosedSessionIsLostAndOpenedAnew(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	first := c.Number()
	r.commit(t, registry.CloseSession{Session: first, Reason: registry.CloseGraceful})
	require.NoError(t, c.renew(t.Context()))
	require.Zero(t, c.Number())
	require.ErrorIs(t, c.Check(), ErrNoLease)
	require.NoError(t, c.open(t.Context()))
	require.Greater(t, c.Number(), first)
	require.ErrorIs(t, c.Check(), ErrNoLease, "a new session has no lease before its first renewal")
}

func TestCommandIsSentAgainAfterALostAnswer(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	r.lost = 1
	done := make(chan registry.Result, 1)
	go func() {
		result, err := c.Propose(context.Background(), registry.ApplyFleet{
			Operation: registry.Operation{ID: "f", Time: r.clock.Now()}, Text: []byte(fleetText),
		})
		if err != nil {
			t.Error(err)
		}
		done <- result
	}()
	// The answer was lost and another replica is asked, which names the leader.
	for {
		select {
		case result := <-done:
			require.Equal(t, registry.CodeOK, result.Code)
			require.Equal(t, uint64(1), result.Version, "the effect is there once")
			require.Equal(t, uint64(1), r.machine.View().FleetVersion)
			return
		default:
			r.clock.Advance(retryWait)
		}
	}
}

func TestProposalWithoutALeaderSaysThatItHasNoEffect(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	r.leader = "nobody"
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Propose(ctx, registry.Pin{Operation: registry.Operation{ID: "p"}, Target: "t"})
	require.ErrorIs(t, err, ErrNoLeader)

	r.down["a"], r.down["b"], r.down["nobody"] = true, true, true
	_, err = c.Propose(ctx, registry.Pin{Operation: registry.Operation{ID: "p"}, Target: "t"})
	require.ErrorIs(t, err, ErrOutcomeUnknown)
}

func TestClosedClientHasNoAuthority(t *testing.T) {
	r := newReplicas()
	c := opened(t, r)
	require.NoError(t, c.Close(t.Context()))
	require.ErrorIs(t, c.Check(), ErrNoLease)
	_, open := r.machine.Session(c.Number())
	require.False(t, open)

	c.Run(t.Context())
	require.Empty(t, r.machine.View().Hosts, "a closed client has opened a session that nobody renews")
}
