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

// leaseCheck is a lease that the tests switch.
type leaseCheck struct{ lapsed bool }

func (l *leaseCheck) Check() error {
	if l.lapsed {
		return session.ErrNoLease
	}
	return nil
}

// ownedService is an owner of one service with two warm targets.
type ownedService struct {
	*owned
	t     *testing.T
	clock *clockwork.FakeClock
	lease *leaseCheck
}

func newOwnedService(t *testing.T, adopting ...uint64) *ownedService {
	t.Helper()
	log, err := logs.New(io.Discard, "info", "text")
	require.NoError(t, err)
	clock := clockwork.NewFakeClock()
	lease := &leaseCheck{}
	o := newOwners(&Host{Dependencies: Dependencies{
		Settings: &settings.Settings{Host: "host-1"}, Clock: clock, Log: log, Scope: tally.NoopScope,
	}})
	o.authority = lease
	sessions := map[uint64]bool{}
	for _, number := range adopting {
		sessions[number] = true
	}
	config := admission.Config{
		Service: fleet.Service{
			Name: "Chats", Kind: "Model",
			Limits: fleet.Limits{InFlightPerTarget: 1, LoadFactor: 2, Queue: 10, QueueWait: time.Minute},
			WarmUp: fleet.WarmUp{ColdLimit: 1, RampRequests: 1},
		},
		Workspaces: []fleet.Workspace{{Name: "One", Share: 1}},
	}
	s := &ownedService{
		owned: newOwned(o, "Chats", registry.Owner{Host: "host-1", Session: 1, Fence: 5}, config, sessions),
		t:     t, clock: clock, lease: lease,
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		s.take(peer.TargetUpdate{Service: "Chats", Announcement: &target.Announcement{
			Name: name, Stamp: target.Stamp{Incarnation: 1, Sequence: 1},
			Address: "127.0.0.1:1", FailureDomain: "East", Kind: target.KindModel, Service: "Chats",
		}})
	}
	return s
}

// ask asks for a permit and returns where its answer will be.
func (s *ownedService) ask(id string) chan peer.Message {
	answers := make(chan peer.Message, 2)
	s.acquire(admission.Request{
		ID: id, Host: holder("host-2", 2), Service: "Chats", Workspace: "One",
		Deadline: s.clock.Now().Add(time.Minute),
	}, func(m peer.Message) { answers <- m })
	return answers
}

// granted returns the permit that was answered, or nil for no answer yet.
func granted(t *testing.T, answers chan peer.Message) *admission.Permit {
	t.Helper()
	select {
	case m := <-answers:
		permit, ok := m.(peer.Permit)
		require.True(t, ok, "%+v", m)
		return &permit.Permit
	default:
		return nil
	}
}

func refused(t *testing.T, answers chan peer.Message) admission.RefusalCode {
	t.Helper()
	select {
	case m := <-answers:
		refusal, ok := m.(peer.Refusal)
		require.True(t, ok, "%+v", m)
		return refusal.Refusal.Code
	default:
		return ""
	}
}

func TestNewOwnerGrantsOnlyOnceEveryHostHasTold(t *testing.T) {
	s := newOwnedService(t, 1, 2, 3)
	answers := s.ask("r1")
	s.owned.adopt(1, nil)
	s.owned.adopt(2, []admission.Permit{{
		RequestID: "old", Host: holder("host-2", 2), Service: "Chats", Workspace: "One",
		Target: "engine-1", Incarnation: 1,
	}})
	s.tick()
	require.Nil(t, granted(t, answers), "host 3 has not told its permits")

	s.sessionClosed("host-3", 3)
	permit := granted(t, answers)
	require.NotNil(t, permit)
	require.Equal(t, "engine-2", permit.Target, "engine-1 is full with an adopted permit")
	require.Equal(t, uint64(5), permit.Fence)
}

func TestOwnerWithoutALeaseGrantsNothing(t *testing.T) {
	s := newOwnedService(t)
	s.tick()
	s.lease.lapsed = true
	first, second := s.ask("r1"), s.ask("r2")
	require.Equal(t, admission.RefusedNotOwner, refused(t, first))
	require.Equal(t, admission.RefusedNotOwner, refused(t, second))
	s.tick()

	s.lease.lapsed = false
	s.tick()
	for _, id := range []string{"r3", "r4"} {
		require.NotNil(t, granted(t, s.ask(id)), "a withdrawn grant still counts")
	}
}

func TestHandedOverServiceGrantsNothingMore(t *testing.T) {
	s := newOwnedService(t)
	s.tick()
	require.NotNil(t, granted(t, s.ask("r1")))
	require.NotNil(t, granted(t, s.ask("r2")))
	waiting := s.ask("r3")
	copied := s.stop()
	require.Len(t, copied.Targets, 2)
	require.Equal(t, admission.RefusedNotOwner, refused(t, waiting), "what waits is asked again at the next owner")
	s.owned.release(admission.Release{RequestID: "r1", Service: "Chats", Outcome: admission.OutcomeDone})
	s.tick()
	require.Equal(t, admission.RefusedNotOwner, refused(t, s.ask("r4")))

	s.resume()
	require.NotNil(t, granted(t, s.ask("r5")), "the place of r1 is free")
	require.Nil(t, granted(t, s.ask("r6")), "r2 still runs")
}

func TestLostAnswerIsWithdrawnByItsHost(t *testing.T) {
	s := newOwnedService(t)
	s.tick()
	require.NotNil(t, granted(t, s.ask("r1")))
	require.NotNil(t, granted(t, s.ask("r2")))
	waiting := s.ask("r3")
	// The host never saw the permit of r1, so it does not know its target.
	s.owned.release(admission.Release{RequestID: "r1", Service: "Chats", Outcome: admission.OutcomeUnsent})
	require.NotNil(t, granted(t, waiting))
}

func TestClosedSessionLosesItsPermitsButNotThoseOfTheNext(t *testing.T) {
	s := newOwnedService(t)
	s.tick()
	first := granted(t, s.ask("r1"))
	require.NotNil(t, first)
	other := map[string]string{"engine-1": "engine-2", "engine-2": "engine-1"}[first.Target]
	s.owned.adopt(9, []admission.Permit{{
		RequestID: "r9", Host: holder("host-2", 9), Service: "Chats", Workspace: "One",
		Target: other, Incarnation: 1,
	}})
	s.sessionClosed("host-2", 2)
	second := granted(t, s.ask("r2"))
	require.NotNil(t, second)
	require.Equal(t, first.Target, second.Target, "the place of the closed session is free")
	require.Nil(t, granted(t, s.ask("r3")), "the host's next session still holds r9")
}
