package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true", "rapid.checks": "1000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func reviews() Config {
	return Config{
		Service: fleet.Service{
			Name:   "Reviews",
			Kind:   "Model",
			Limits: fleet.Limits{InFlightPerTarget: 8, LoadFactor: 1.25, Queue: 16, QueueWait: 10 * time.Second},
			WarmUp: fleet.WarmUp{ColdLimit: 2, RampRequests: 6, ColdFirstByte: 2 * time.Second},
		},
		Workspaces: []fleet.Workspace{{Name: "Rabat", Share: 1}, {Name: "Fes", Share: 1}, {Name: "Other", Services: []string{"Treasury"}}},
	}
}

func announcement(name string, incarnation, sequence uint64) target.Announcement {
	return target.Announcement{
		Name: name, Stamp: target.Stamp{Incarnation: incarnation, Sequence: sequence},
		Address: "127.0.0.1:9000", FailureDomain: "A", Service: "Reviews", CacheCapacityChats: 100,
	}
}

// warmService returns an owner of n warm targets, e0 to e(n-1).
func warmService(n int, opts ...Option) *Service {
	s := New(reviews(), 3, opts...)
	for i := range n {
		a := announcement(fmt.Sprintf("e%d", i), 1, 1)
		a.FailureDomain = string(rune('A' + i%3))
		s.Import(start, Copy{Current: true, Targets: []TargetCopy{{Announcement: a, Announced: a.Stamp, Completed: 100}}})
	}
	s.Adopted(start)
	return s
}

func request(id, chat string) Request {
	return Request{ID: id, Host: "h1", Service: "Reviews", Workspace: "Rabat", Chat: chat}
}

// onlyPermit returns the permit of the only effect.
func onlyPermit(t require.TestingT, s *Service) Permit {
	effects := s.Effects()
	require.Len(t, effects, 1)
	require.NotNil(t, effects[0].Permit, "%v", effects[0].Refusal)
	return *effects[0].Permit
}

func done(p Permit) Release {
	return Release{RequestID: p.RequestID, Service: p.Service, Target: p.Target, Outcome: OutcomeDone, FirstByte: time.Millisecond}
}

func TestReturningChatGoesToItsWarmTarget(t *testing.T) {
	s := warmService(6)
	for round := range 3 {
		for i := range 20 {
			s.Acquire(start, request(fmt.Sprintf("r%d-%d", round, i), fmt.Sprintf("c%d", i)))
			p := onlyPermit(t, s)
			require.Equal(t, round > 0, p.Warm, p.Reason)
			require.Equal(t, uint64(3), p.Fence)
			s.Release(start, done(p))
		}
	}
}

// A permit that is not sent yet when its target restarts reaches the new process,
// which takes calls at the same address and bears only its cold limit.
func TestPermitOfAnEarlierStartCountsUntilItsRelease(t *testing.T) {
	s := warmService(1)
	s.Acquire(start, request("r1", ""))
	stale := onlyPermit(t, s)
	restarted := announcement("e0", 2, 1)
	restarted.Cold = true
	s.Announce(start, restarted)

	s.Acquire(start, request("r2", ""))
	s.Acquire(start, request("r3", ""))
	second := onlyPermit(t, s)
	require.Equal(t, uint64(2), second.Incarnation)
	require.Equal(t, "r2", second.RequestID, "the cold limit is 2, and r1 may still arrive")

	s.Release(start, done(stale))
	third := onlyPermit(t, s)
	require.Equal(t, "r3", third.RequestID)
	require.Zero(t, s.Status().Targets[0].Warmed, "an answer of the earlier start warms nothing")
}
