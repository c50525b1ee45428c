package hub

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission/rollout"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/settings"
)

// newRolloutCluster starts three hubs that take orders of rollouts, with a configuration.
func newRolloutCluster(t *testing.T) *cluster {
	c := &cluster{t: t, tolerates: 1}
	for range 3 {
		c.add()
	}
	for i := range c.hubs {
		c.startWithRollouts(i, true)
	}
	t.Cleanup(func() {
		for i := range c.hubs {
			c.stop(i)
		}
	})
	c.awaitAllVoters()
	c.eventually("the configuration is in force", func() bool {
		return (&controlHandler{hub: c.hubs[0]}).PutFleet(t.Context(), 1, []byte(fleetConfig)) == nil
	})
	return c
}

func (c *cluster) startWithRollouts(i int, first bool) {
	c.startPrepared(i, first, func(h *Hub) {
		h.Settings.Rollouts = &settings.Rollouts{ExposedShare: 0.1, ExposedExtra: 50, RevertWithin: 5 * time.Second}
		h.rollouts = newRolloutManager(h)
	})
}

func (c *cluster) orders(i int) protocol.RolloutControl {
	return c.hubs[i].newControl().(protocol.RolloutControl)
}

// order orders a rollout at any hub until it is acknowledged.
func (c *cluster) order(version string, duration time.Duration) {
	c.t.Helper()
	c.eventually("the order is acknowledged", func() bool {
		for i := range c.hubs {
			if c.hubs[i] != nil && c.orders(i).StartRollout(c.t.Context(), waitingCaller{}, "s", version, duration) == nil {
				return true
			}
		}
		return false
	})
}

// rolloutAt returns the rollout as a hub reads it back.
func (c *cluster) rolloutAt(i int) registry.Rollout {
	c.t.Helper()
	return c.awaitRollout(i, "is read back", func(registry.Rollout) bool { return true })
}

// awaitRollout waits until a hub reads back a rollout that a condition holds for.
func (c *cluster) awaitRollout(i int, what string, condition func(registry.Rollout) bool) registry.Rollout {
	c.t.Helper()
	orders := c.orders(i)
	found := make(chan registry.Rollout, 1)
	c.eventually("the rollout "+what, func() bool {
		current, err := orders.Rollout(context.Background(), "s")
		if err != nil || !condition(current) {
			return false
		}
		select {
		case found <- current:
		default:
		}
		return true
	})
	return <-found
}

// reportOf returns a report on requests of which a part went to the new version and failed.
func reportOf(number, requests, exposed, failures uint64) rollout.Report {
	return rollout.Report{Services: []rollout.ServiceReport{{
		Service: "s", Number: number, Requests: requests, Exposed: exposed,
		Routes: []rollout.RouteReport{{
			Route: "r", New: rollout.Side{Responses: exposed, Failures: failures}, Others: rollout.Side{Responses: requests - exposed},
		}},
	}}}
}

// Guards against orders that are not acknowledged when they are repeated, or are when they must
// be rejected; without the setting a hub takes none.
func TestStartRollout_IsIdempotent(t *testing.T) {
	c := newRolloutCluster(t)
	_, err := c.orders(0).Rollout(t.Context(), "s")
	require.ErrorIs(t, err, protocol.ErrNoRollout)
	require.ErrorIs(t, c.orders(0).StartRollout(t.Context(), absentCaller{}, "s", "v2", time.Hour), protocol.ErrUnavailable)
	c.order("v2", time.Hour)
	first := c.rolloutAt(1)
	c.order("v2", time.Hour)
	require.Equal(t, first.Number, c.rolloutAt(2).Number)
	require.Equal(t, registry.RolloutServing, first.State)
	require.InDelta(t, 0.05, first.Share, 1e-9)
	c.eventually("another order is rejected", func() bool {
		err = c.orders(1).StartRollout(t.Context(), waitingCaller{}, "s", "v3", time.Hour)
		return errors.Is(err, protocol.ErrRolloutConflict)
	})
	c.eventually("an unknown service is rejected", func() bool {
		return errors.Is(c.orders(1).StartRollout(t.Context(), waitingCaller{}, "nobody", "v3", time.Hour), protocol.ErrInvalidRollout)
	})
	off := *c.hubs[0].Settings
	off.Rollouts = nil
	_, takesOrders := (&Hub{Dependencies: Dependencies{Settings: &off}}).newControl().(protocol.RolloutControl)
	require.False(t, takesOrders)
}

// Guards against a bad version that only the hosts of another hub than the leader see, and
// against counts that are lost with a hub.
func TestRollout_ReportsOfAllHubsCount(t *testing.T) {
	c := newRolloutCluster(t)
	c.order("v2", time.Hour)
	number := c.rolloutAt(0).Number
	for i := range c.hubs {
		c.watch(i, peer.WatchRequest{Host: "e", Rollout: reportOf(number, 40, 2, 0)})
	}
	for i := range c.hubs {
		c.eventually("each hub knows the sums", func() bool {
			total := c.hubs[i].rollouts.total("s", number)
			return total.Requests == 120 && total.Exposed == 6
		})
	}
	follower := (c.leader() + 1) % 3
	c.stop(follower)
	c.startWithRollouts(follower, false)
	c.watch(follower, peer.WatchRequest{Host: "e", Rollout: reportOf(number, 100, 6, 6)})
	current := c.awaitRollout(follower, "is reverted", func(r registry.Rollout) bool { return r.State == registry.RolloutReverted })
	require.Equal(t, uint64(220), current.Counts.Requests, "the counts of the restarted hub are kept by the others")
	require.Equal(t, uint64(12), current.Counts.Exposed)
}

// Guards against a new leader that begins anew: the elapsed time and the counts go on, and it
// ends by the deadline.
func TestRollout_NewLeaderContinues(t *testing.T) {
	c := newRolloutCluster(t)
	const duration = 12 * time.Second
	c.order("v2", duration)
	orderedAt := time.Now()
	number := c.rolloutAt(0).Number
	c.watch(0, peer.WatchRequest{Host: "e", Rollout: reportOf(number, 1000, 40, 0)})
	c.awaitRollout(0, "has committed counts", func(r registry.Rollout) bool { return r.Counts.Requests == 1000 })
	first := -1
	c.eventually("there is a leader", func() bool { first = c.leader(); return first >= 0 })
	c.stop(first)
	other := (first + 1) % 3
	c.eventually("another hub leads", func() bool { leader := c.leader(); return leader >= 0 && leader != first })
	c.startWithRollouts(first, false)
	current := c.awaitRollout(other, "ends", func(r registry.Rollout) bool { return r.State != registry.RolloutServing })
	require.Greater(t, time.Since(orderedAt), duration/2, "it has its time")
	require.GreaterOrEqual(t, current.Elapsed, duration/2, "the time of the first leader counts")
	require.GreaterOrEqual(t, current.Counts.Requests, uint64(1000))
}

// Guards against a rollout that ends, or is lost, because its service has left the configuration
// for a while.
func TestRollout_ServiceOutOfTheConfigurationWaits(t *testing.T) {
	c := newRolloutCluster(t)
	c.order("v2", 6*time.Second)
	orderedAt := time.Now()
	put := func(version uint64, config string) {
		c.eventually("the configuration is in force", func() bool {
			return (&controlHandler{hub: c.hubs[0]}).PutFleet(context.Background(), version, []byte(config)) == nil
		})
	}
	put(2, strings.Replace(fleetConfig, `"Name": "s"`, `"Name": "t"`, 1))
	before := c.rolloutAt(0)
	require.Equal(t, registry.RolloutServing, before.State)
	c.eventually("the deadline has passed", func() bool { return time.Since(orderedAt) > 7*time.Second })
	require.Equal(t, before, c.rolloutAt(0), "without its service the rollout has no steps")
	put(3, fleetConfig)
	c.awaitRollout(0, "ends with its deadline", func(r registry.Rollout) bool { return r.State == registry.RolloutReverted })
}

// Guards against a deadline that moves with the leader: each hub measures the time since the
// order, and one that has started continues from the last step.
func TestMeasureElapsed_GoesOnWithoutALeader(t *testing.T) {
	clock := clockwork.NewFakeClock()
	h := &Hub{Dependencies: Dependencies{Clock: clock}}
	elapsed := func(m *rolloutManager, current registry.Rollout) time.Duration {
		m.measureElapsed(map[string]registry.Rollout{"s": current})
		return clock.Since(m.orderedAt["s"].at)
	}
	m := &rolloutManager{hub: h, orderedAt: map[string]orderTime{}}
	require.Zero(t, elapsed(m, registry.Rollout{Number: 3}))
	clock.Advance(4 * time.Second)
	require.Equal(t, 4*time.Second, elapsed(m, registry.Rollout{Number: 3, Step: 1, Elapsed: time.Second}), "the step is old")
	require.Equal(t, 6*time.Second, elapsed(m, registry.Rollout{Number: 3, Step: 2, Elapsed: 6 * time.Second}), "another hub knew of the order earlier")
	restarted := &rolloutManager{hub: h, orderedAt: map[string]orderTime{}}
	require.Equal(t, 6*time.Second, elapsed(restarted, registry.Rollout{Number: 3, Step: 2, Elapsed: 6 * time.Second}))
	require.Zero(t, elapsed(m, registry.Rollout{Number: 9}), "another rollout begins anew")
}

// Guards against sums that are counted twice, or lost with a message or the process that had
// them.
func TestRolloutSums_RepeatedAndLostMessages(t *testing.T) {
	m := &rolloutManager{hub: &Hub{rosterSource: 1}, sums: map[uint64]serviceSums{}}
	m.record(reportOf(7, 100, 5, 1))
	other := &rolloutManager{hub: &Hub{rosterSource: 2}, sums: map[uint64]serviceSums{}}
	first := m.takeSums(false)[1]
	m.record(reportOf(7, 100, 5, 1))
	second := m.takeSums(false)[1]
	require.Empty(t, m.takeSums(false), "nothing has changed")
	for _, sums := range [][]rollout.ServiceReport{second, second, first} {
		other.merge(1, sums)
	}
	total := other.total("s", 7)
	require.Equal(t, []uint64{200, 10}, []uint64{total.Requests, total.Exposed})
	// The process 1 ends, and another one of its hub learns its sums from the second hub.
	next := &rolloutManager{hub: &Hub{rosterSource: 3}, sums: map[uint64]serviceSums{}}
	for source, sums := range other.takeSums(true) {
		next.merge(source, sums)
	}
	total = next.total("s", 7)
	require.Equal(t, uint64(200), total.Requests)
	// The counts of another rollout don't mix with it.
	m.record(reportOf(9, 30, 1, 0))
	total = m.total("s", 9)
	require.Equal(t, uint64(30), total.Requests)
	m.dropOld(map[string]registry.Rollout{"s": {Number: 9, State: registry.RolloutReverted}})
	require.Empty(t, m.takeSums(true))
}

// BenchmarkRolloutReports measures what a second of the reports of 300 hosts costs each of five
// hubs to sum up: 60 hosts of its own that poll five times a second, and the sums ten times.
// BenchmarkRolloutReport of the package peer measures the messages.
func BenchmarkRolloutReports(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	m := &rolloutManager{hub: &Hub{rosterSource: 1}, sums: map[uint64]serviceSums{}}
	observer := rollout.NewObserver()
	for range 20 {
		route := []string{"stream", "look", "pay"}[random.IntN(3)]
		observer.RecordRequest("s", 7, random.IntN(20) == 0)
		observer.RecordFirstByte("s", 7, route, random.IntN(20) == 0, time.Duration(random.IntN(200))*time.Millisecond)
	}
	report := observer.TakeReport()
	b.ReportAllocs()
	for b.Loop() {
		for range 60 * 5 {
			m.record(report)
		}
		for range 10 {
			m.total("s", 7)
		}
	}
}
