package host

import (
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target"
)

// fakeLease is a lease that tests can expire.
type fakeLease struct{ expired bool }

func (l *fakeLease) Check() error {
	if l.expired {
		return session.ErrNoLease
	}
	return nil
}

// ownerFixture is the owner of one service with two warm targets.
type ownerFixture struct {
	*serviceOwner
	t     *testing.T
	clock *clockwork.FakeClock
	lease *fakeLease
}

func newOwnerFixture(t *testing.T, unreported ...uint64) *ownerFixture {
	t.Helper()
	log, err := logs.New(io.Discard, "info", "text")
	require.NoError(t, err)
	clock := clockwork.NewFakeClock()
	lease := &fakeLease{}
	o := newOwnedServices(&Host{Dependencies: Dependencies{
		Settings: &settings.Settings{Host: "host-1"}, Clock: clock, Log: log, Scope: tally.NoopScope,
	}})
	o.authority = lease
	sessions := map[uint64]bool{}
	for _, sessionNumber := range unreported {
		sessions[sessionNumber] = true
	}
	config := admission.Config{
		Service: fleet.Service{
			Name: "Chats", Kind: "Model",
			Limits: fleet.Limits{InFlightPerTarget: 1, LoadFactor: 2, Queue: 10, QueueWait: time.Minute},
			WarmUp: fleet.WarmUp{ColdLimit: 1, RampRequests: 1},
		},
		Workspaces: []fleet.Workspace{{Name: "One", Share: 1}},
	}
	s := &ownerFixture{
		serviceOwner: newServiceOwner(o, "Chats", registry.Owner{Host: "host-1", Session: 1, Fence: 5}, config, sessions),
		t:            t, clock: clock, lease: lease,
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		s.handleTargetReport(peer.TargetUpdate{Service: "Chats", Announcement: &target.Announcement{
			Name: name, Stamp: target.Stamp{Incarnation: 1, Sequence: 1},
			Address: "127.0.0.1:1", FailureDomain: "East", Kind: target.KindModel, Service: "Chats",
		}})
	}
	return s
}

// acquirePermit requests a permit and returns the channel for the reply.
func (s *ownerFixture) acquirePermit(id string) chan peer.Message {
	replies := make(chan peer.Message, 2)
	s.acquire(admission.Request{
		ID: id, Host: permitHolder("host-2", 2), Service: "Chats", Workspace: "One",
		Deadline: s.clock.Now().Add(time.Minute),
	}, func(m peer.Message) { replies <- m })
	return replies
}

// grantedPermit returns the granted permit, or nil if there is no reply yet.
func grantedPermit(t *testing.T, replies chan peer.Message) *admission.Permit {
	t.Helper()
	select {
	case m := <-replies:
		permit, ok := m.(peer.Permit)
		require.True(t, ok, "%+v", m)
		return &permit.Permit
	default:
		return nil
	}
}

func refusalCode(t *testing.T, replies chan peer.Message) admission.RefusalCode {
	t.Helper()
	select {
	case m := <-replies:
		refusal, ok := m.(peer.Refusal)
		require.True(t, ok, "%+v", m)
		return refusal.Refusal.Code
	default:
		return ""
	}
}

func TestServiceOwner_GrantsAfterEverySessionReports(t *testing.T) {
	s := newOwnerFixture(t, 1, 2, 3)
	replies := s.acquirePermit("r1")
	s.serviceOwner.adopt(1, nil)
	s.serviceOwner.adopt(2, []admission.Permit{{
		RequestID: "old", Host: permitHolder("host-2", 2), Service: "Chats", Workspace: "One",
		Target: "engine-1", Incarnation: 1,
	}})
	s.tick()
	require.Nil(t, grantedPermit(t, replies), "host 3 has not reported its permits")

	s.sessionClosed("host-3", 3)
	permit := grantedPermit(t, replies)
	require.NotNil(t, permit)
	require.Equal(t, "engine-2", permit.Target, "engine-1 is at its limit with an adopted permit")
	require.Equal(t, uint64(5), permit.Fence)
}

func TestServiceOwner_RefusesWithoutLease(t *testing.T) {
	s := newOwnerFixture(t)
	s.tick()
	s.lease.expired = true
	first, second := s.acquirePermit("r1"), s.acquirePermit("r2")
	require.Equal(t, admission.RefusedNotOwner, refusalCode(t, first))
	require.Equal(t, admission.RefusedNotOwner, refusalCode(t, second))
	s.tick()

	s.lease.expired = false
	s.tick()
	for _, id := range []string{"r3", "r4"} {
		require.NotNil(t, grantedPermit(t, s.acquirePermit(id)), "withdrawn permits must not count")
	}
}

func TestServiceOwner_StopGrantingRefusesUntilResume(t *testing.T) {
	s := newOwnerFixture(t)
	s.tick()
	require.NotNil(t, grantedPermit(t, s.acquirePermit("r1")))
	require.NotNil(t, grantedPermit(t, s.acquirePermit("r2")))
	queued := s.acquirePermit("r3")
	copied := s.stopGranting()
	require.Len(t, copied.Targets, 2)
	require.Equal(t, admission.RefusedNotOwner, refusalCode(t, queued), "queued requests are refused so that they go to the next owner")
	s.serviceOwner.release(admission.Release{RequestID: "r1", Service: "Chats", Outcome: admission.OutcomeDone})
	s.tick()
	require.Equal(t, admission.RefusedNotOwner, refusalCode(t, s.acquirePermit("r4")))

	s.resume()
	require.NotNil(t, grantedPermit(t, s.acquirePermit("r5")), "the capacity of r1 is free")
	require.Nil(t, grantedPermit(t, s.acquirePermit("r6")), "r2 is still in flight")
}

func TestServiceOwner_UnsentReleaseFreesUnseenPermit(t *testing.T) {
	s := newOwnerFixture(t)
	s.tick()
	require.NotNil(t, grantedPermit(t, s.acquirePermit("r1")))
	require.NotNil(t, grantedPermit(t, s.acquirePermit("r2")))
	queued := s.acquirePermit("r3")
	// The host never received the permit of r1, so it does not know the target.
	s.serviceOwner.release(admission.Release{RequestID: "r1", Service: "Chats", Outcome: admission.OutcomeUnsent})
	require.NotNil(t, grantedPermit(t, queued))
}

func TestServiceOwner_SessionClosedKeepsPermitsOfNextSession(t *testing.T) {
	s := newOwnerFixture(t)
	s.tick()
	first := grantedPermit(t, s.acquirePermit("r1"))
	require.NotNil(t, first)
	other := map[string]string{"engine-1": "engine-2", "engine-2": "engine-1"}[first.Target]
	s.serviceOwner.adopt(9, []admission.Permit{{
		RequestID: "r9", Host: permitHolder("host-2", 9), Service: "Chats", Workspace: "One",
		Target: other, Incarnation: 1,
	}})
	s.sessionClosed("host-2", 2)
	second := grantedPermit(t, s.acquirePermit("r2"))
	require.NotNil(t, second)
	require.Equal(t, first.Target, second.Target, "the capacity of the closed session is free")
	require.Nil(t, grantedPermit(t, s.acquirePermit("r3")), "the host's next session still holds r9")
}
