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

// fakeReplicas answers like a group of state replicas, with a real state
// machine.
type fakeReplicas struct {
	clock   *clockwork.FakeClock
	machine *registry.Machine
	index   uint64
	// leader is the only address that commits commands and renews sessions.
	leader string
	// renewalDelay is the time until a renewal is answered.
	renewalDelay time.Duration
	// answersToDrop is the number of proposals whose answer is lost after the
	// command was applied.
	answersToDrop int
	// down holds the addresses that do not answer.
	down map[string]bool
}

func newFakeReplicas() *fakeReplicas {
	return &fakeReplicas{
		clock:   clockwork.NewFakeClock(),
		machine: registry.NewMachine(),
		leader:  "a",
		down:    map[string]bool{},
	}
}

var errDown = errors.New("connection refused")

func (r *fakeReplicas) Call(_ context.Context, address string, message peer.Message) (peer.Message, error) {
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
		if r.answersToDrop > 0 {
			r.answersToDrop--
			return nil, errDown
		}
		return peer.ProposeResponse{Code: peer.CodeDone, Result: result}, nil
	case peer.RenewRequest:
		return r.renew(address, m), nil
	}
	return nil, errDown
}

func (r *fakeReplicas) renew(address string, m peer.RenewRequest) peer.Message {
	if address != r.leader {
		return peer.RenewResponse{Code: peer.CodeNotLeader, Leader: r.leader}
	}
	r.clock.Advance(r.renewalDelay)
	if _, open := r.machine.Session(m.Session); !open {
		return peer.RenewResponse{Code: peer.CodeNoSession}
	}
	return peer.RenewResponse{Code: peer.CodeDone, Delta: r.machine.EncodedDeltaSince(m.Revision, m.FleetVersion)}
}

func (r *fakeReplicas) commit(t *testing.T, command registry.Command) registry.Result {
	t.Helper()
	r.index++
	result, err := registry.DecodeResult(r.machine.Apply(r.index, 1, registry.EncodeCommand(command)))
	require.NoError(t, err)
	require.NoError(t, result.Err())
	return result
}

func newClient(r *fakeReplicas) *Client {
	return New(Config{
		Host: "host-1", FailureDomain: "East", PeerAddress: "127.0.0.1:1", OwnsServices: true,
		Replicas: []string{"a", "b"}, Clock: r.clock,
		StartNonce: 7,
	}, r)
}

// newOpenClient returns a client with an open session that was renewed once.
func newOpenClient(t *testing.T, r *fakeReplicas) *Client {
	t.Helper()
	c := newClient(r)
	require.NoError(t, c.open(t.Context()))
	require.NoError(t, c.renew(t.Context()))
	require.NoError(t, c.Check())
	return c
}

func TestLease_StartsWhenRenewalIsSent(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	r.renewalDelay = LeaseDuration - ClockMargin
	require.NoError(t, c.renew(t.Context()))
	require.ErrorIs(t, c.Check(), ErrNoLease, "an answer later than the lease duration grants nothing")

	r.renewalDelay = 0
	require.NoError(t, c.renew(t.Context()))
	require.NoError(t, c.Check())
	r.clock.Advance(LeaseDuration - ClockMargin - time.Millisecond)
	require.NoError(t, c.Check())
	r.clock.Advance(time.Millisecond)
	require.ErrorIs(t, c.Check(), ErrNoLease)
}

func TestLease_ExpiresDuringPause(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	r.clock.Advance(time.Hour)
	require.ErrorIs(t, c.Check(), ErrNoLease)
}

func TestRenew_AppliesDelta(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	view, changed := c.Watch()
	require.False(t, view.DomainsOut["East"])
	r.commit(t, registry.ApplyFleet{Operation: registry.Operation{ID: "f", Time: r.clock.Now()}, Config: []byte(fleetText)})
	r.commit(t, registry.SetOutage{
		Operation: registry.Operation{ID: "o", Time: r.clock.Now()}, FailureDomain: "East", Out: true,
	})
	require.NoError(t, c.renew(t.Context()))
	require.True(t, c.View().DomainsOut["East"])
	select {
	case <-changed:
	default:
		t.Error("the watch channel is not closed")
	}
}

func TestRenew_FollowsLeader(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	r.leader = "b"
	require.ErrorIs(t, c.renew(t.Context()), ErrNoLeader)
	require.NoError(t, c.renew(t.Context()), "the next renewal goes to the named leader")
	r.down["b"] = true
	require.Error(t, c.renew(t.Context()))
	r.leader = "a"
	// "b" is also the next one of the configured replicas; "a" follows it.
	require.Error(t, c.renew(t.Context()))
	require.NoError(t, c.renew(t.Context()), "the client switches away from a leader that does not answer")
}

func TestRenew_ReopensClosedSession(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	first := c.Number()
	r.commit(t, registry.CloseSession{Session: first, Reason: registry.CloseGraceful})
	require.NoError(t, c.renew(t.Context()))
	require.Zero(t, c.Number())
	require.ErrorIs(t, c.Check(), ErrNoLease)
	require.NoError(t, c.open(t.Context()))
	require.Greater(t, c.Number(), first)
	require.ErrorIs(t, c.Check(), ErrNoLease, "a new session has no lease before its first renewal")
}

func TestPropose_RetriesAfterLostAnswer(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	r.answersToDrop = 1
	done := make(chan registry.Result, 1)
	go func() {
		result, err := c.Propose(context.Background(), registry.ApplyFleet{
			Operation: registry.Operation{ID: "f", Time: r.clock.Now()}, Config: []byte(fleetText),
		})
		if err != nil {
			t.Error(err)
		}
		done <- result
	}()
	// The answer was lost. The next replica names the leader.
	for {
		select {
		case result := <-done:
			require.Equal(t, registry.CodeOK, result.Code)
			require.Equal(t, uint64(1), result.Version, "the command is applied once")
			require.Equal(t, uint64(1), r.machine.View().FleetVersion)
			return
		default:
			r.clock.Advance(retryBackoff)
		}
	}
}

func TestPropose_ErrorWithoutLeader(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	r.leader = "nobody"
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Propose(ctx, registry.Pin{Operation: registry.Operation{ID: "p"}, Target: "t"})
	require.ErrorIs(t, err, ErrNoLeader)

	r.down["a"], r.down["b"], r.down["nobody"] = true, true, true
	_, err = c.Propose(ctx, registry.Pin{Operation: registry.Operation{ID: "p"}, Target: "t"})
	require.ErrorIs(t, err, ErrOutcomeUnknown)
}

func TestClose_RevokesLease(t *testing.T) {
	r := newFakeReplicas()
	c := newOpenClient(t, r)
	require.NoError(t, c.Close(t.Context()))
	require.ErrorIs(t, c.Check(), ErrNoLease)
	_, open := r.machine.Session(c.Number())
	require.False(t, open)

	c.Run(t.Context())
	require.Empty(t, r.machine.View().Hosts, "a closed client must not open a session")
}
