package hub

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// newTarget returns an announcement of a ready target.
func newTarget(i int, sequence uint64) roster.Entry {
	return roster.Entry{
		Announcement: target.Announcement{Name: fmt.Sprint("t-", i), Address: fmt.Sprint("10.0.0.1:", i+1), Service: "s", Stamp: target.Stamp{Incarnation: 1, Sequence: sequence}},
		State:        roster.Ready,
	}
}

// Guards against a hub that lost its memory and never learns of targets that announce themselves
// at another one, or takes them for silent: renewals name what it doesn't have.
func TestRenewals_RestartedHubGetsTheEntries(t *testing.T) {
	const targets = 40
	c := newCluster(t, 3)
	c.awaitAllVoters()
	control := &controlHandler{hub: c.hubs[0]}
	var sequence uint64
	announce := func() {
		sequence++
		for i := range targets {
			_ = control.Announce(context.Background(), newTarget(i, sequence))
		}
	}
	ready := func(hub int) int {
		ready := 0
		for i := range targets {
			if entry, found := c.hubs[hub].roster.Get(fmt.Sprint("t-", i)); found && entry.State == roster.Ready && !entry.Silent {
				ready++
			}
		}
		return ready
	}
	c.eventually("both other hubs know all targets and understand renewals", func() bool {
		announce()
		return ready(1) == targets && ready(2) == targets && c.hubs[0].gossip.understandsRenewals("h-1") && c.hubs[0].gossip.understandsRenewals("h-2")
	})
	c.stop(1)
	c.start(1, false)
	c.eventually("the restarted hub knows all targets", func() bool {
		announce()
		return ready(1) == targets
	})
	latest := sequence
	c.eventually("renewals carry the sequence numbers", func() bool {
		announce()
		entry, _ := c.hubs[2].roster.Get("t-7")
		return entry.Sequence > latest
	})
}

// A hub of an earlier release ignores renewals, and would take all targets for silent.
func TestRenewals_OnlyForHubsThatUnderstandThem(t *testing.T) {
	h := &Hub{Dependencies: Dependencies{Clock: clockwork.NewFakeClock(), Settings: &settings.Settings{}}, roster: roster.NewTable()}
	g := newGossip(h)
	require.False(t, g.understandsRenewals("h-1"))
	g.mergeRenewals(peer.RosterUpdate{Host: "h-1", Replica: "r", ReadsRenewals: true})
	require.True(t, g.understandsRenewals("h-1"))
	g.mergeRenewals(peer.RosterUpdate{Host: "h-1"})
	require.True(t, g.understandsRenewals("h-1"), "a message without a report says nothing")
	g.mergeRenewals(peer.RosterUpdate{Host: "h-1", Replica: "r"})
	require.False(t, g.understandsRenewals("h-1"), "it was replaced by an earlier release")
}

// After a start each host got thousands of targets in tens of replies a second. Guards as well
// against a change that takes requests from a target and waits with those that joined.
func TestCoalesceChanges_JoiningTargetsAreToldTogether(t *testing.T) {
	for name, test := range map[string]struct {
		joined    int
		isLeaving bool
		wait      time.Duration
	}{
		"few":                     {joined: 3, wait: coalesceDelay},
		"many":                    {joined: 300, wait: loadInterval},
		"many, and one that left": {joined: 300, isLeaving: true, wait: coalesceDelay},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				h := &Hub{Dependencies: Dependencies{Clock: clock}, roster: roster.NewTable(), watchers: newWatchers(clock), loads: newLoadTracker(clock)}
				for i := range test.joined {
					h.roster.Merge(clock.Now(), newTarget(i, 1))
				}
				if test.isLeaving {
					h.roster.MarkGone(clock.Now(), "t-1")
				}
				begun := clock.Now()
				h.coalesceChanges(0, clock.NewTimer(time.Minute))
				require.Equal(t, test.wait, clock.Since(begun))
			})
		})
	}
}

// After a start each hub passed on the changes of all 3,000 targets twice, 290 KB a second to the
// others. Guards as well against a change that is never passed on, and one of a target that leaves
// that waits for those.
func TestTakePending_RelaysAreSpreadOverRefreshes(t *testing.T) {
	const targets = 3000
	clock := clockwork.NewFakeClock()
	h := &Hub{Dependencies: Dependencies{Clock: clock, Settings: &settings.Settings{}}, roster: roster.NewTable()}
	g := newGossip(h)
	for i := range targets {
		h.roster.Merge(clock.Now(), newTarget(i, 1))
		g.recordRelay(fmt.Sprint("t-", i))
	}
	h.roster.MarkGone(clock.Now(), "t-7")
	sent := map[string]int{}
	for refresh := range 2 * relayedRefreshes * targets / maxRelayedRenewals {
		pending := g.takePending()
		require.LessOrEqual(t, len(pending), maxRelayedRenewals+1)
		require.Equal(t, refresh < relayedRefreshes, pending["t-7"])
		for name := range pending {
			sent[name]++
		}
		clock.Advance(refreshInterval)
	}
	require.Len(t, sent, targets)
	for name, refreshes := range sent {
		require.Equal(t, relayedRefreshes, refreshes, name)
	}
	require.Empty(t, g.takePending())
}
