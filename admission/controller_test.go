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

func testConfig() Config {
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

func newAnnouncement(name string, incarnation, sequence uint64) target.Announcement {
	return target.Announcement{
		Name: name, Stamp: target.Stamp{Incarnation: incarnation, Sequence: sequence},
		Address: "127.0.0.1:9000", FailureDomain: "A", Service: "Reviews", CacheCapacityChats: 100,
	}
}

// newWarmController returns a controller with n warm targets, e0 to e(n-1).
func newWarmController(n int, opts ...Option) *Controller {
	c := New(testConfig(), 3, opts...)
	for i := range n {
		a := newAnnouncement(fmt.Sprintf("e%d", i), 1, 1)
		a.FailureDomain = string(rune('A' + i%3))
		c.Import(start, ExportedState{Current: true, Targets: []ExportedTarget{{Announcement: a, MembershipStamp: a.Stamp, CompletedRequests: 100}}})
	}
	c.CompleteAdoption(start)
	return c
}

func newRequest(id, chat string) Request {
	return Request{ID: id, Host: "h1", Service: "Reviews", Workspace: "Rabat", Chat: chat}
}

// onlyPermit returns the permit of the only effect.
func onlyPermit(t require.TestingT, c *Controller) Permit {
	effects := c.TakeEffects()
	require.Len(t, effects, 1)
	require.NotNil(t, effects[0].Permit, "%v", effects[0].Refusal)
	return *effects[0].Permit
}

func doneRelease(p Permit) Release {
	return Release{RequestID: p.RequestID, Service: p.Service, Target: p.Target, Outcome: OutcomeDone, FirstByte: time.Millisecond}
}

func TestAcquire_ReturningChatGetsWarmTarget(t *testing.T) {
	c := newWarmController(6)
	for round := range 3 {
		for i := range 20 {
			c.Acquire(start, newRequest(fmt.Sprintf("r%d-%d", round, i), fmt.Sprintf("c%d", i)))
			p := onlyPermit(t, c)
			require.Equal(t, round > 0, p.Warm, p.Reason)
			require.Equal(t, uint64(3), p.Fence)
			c.Release(start, doneRelease(p))
		}
	}
}

// A permit that is not sent yet when its target restarts reaches the new process,
// which listens at the same address and has only its cold limit. It must count until
// its release.
func TestRestartedTarget_EarlierPermitsCountUntilRelease(t *testing.T) {
	c := newWarmController(1)
	c.Acquire(start, newRequest("r1", ""))
	stale := onlyPermit(t, c)
	restarted := newAnnouncement("e0", 2, 1)
	restarted.Cold = true
	c.HandleAnnouncement(start, restarted)

	c.Acquire(start, newRequest("r2", ""))
	c.Acquire(start, newRequest("r3", ""))
	second := onlyPermit(t, c)
	require.Equal(t, uint64(2), second.Incarnation)
	require.Equal(t, "r2", second.RequestID, "the cold limit is 2 and r1 may still arrive")

	c.Release(start, doneRelease(stale))
	third := onlyPermit(t, c)
	require.Equal(t, "r3", third.RequestID)
	require.Zero(t, c.Status().Targets[0].WarmUpProgress, "a completion of the earlier incarnation must not count")
}
