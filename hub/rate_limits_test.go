package hub

import (
	"testing"
	"time"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
	"comfreytiller.dev/target/roster"
)

// A host sees few responses of a target. What one of them tells of a rate limit must be
// known to the hosts of all hubs, and to a hub that restarted.
func TestRateLimits_ReportIsKnownToAllHubs(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	announce := func(i int, sequence uint64) {
		entry := roster.Entry{
			Announcement: target.Announcement{Name: "t", Address: "x", Service: "s", Stamp: target.Stamp{Incarnation: 7, Sequence: sequence}},
			State:        roster.Ready,
		}
		c.eventually("a hub takes the announcement", func() bool {
			return (&controlHandler{hub: c.hubs[i]}).Announce(t.Context(), entry) == nil
		})
	}
	limitOf := func(i int) ratelimit.Limit {
		entry, _ := c.hubs[i].roster.Get("t")
		return entry.RateLimit
	}
	announce(0, 1)
	c.eventually("all hubs know the target", func() bool {
		_, found := c.hubs[1].roster.Get("t")
		_, alsoFound := c.hubs[2].roster.Get("t")
		return found && alsoFound
	})
	five := 5.0
	report := ratelimit.Report{Target: "t", Incarnation: 7, Limit: ratelimit.New(c.hubs[1].Clock.Now(), &five)}
	c.watch(1, peer.WatchRequest{Host: "e", RateLimits: []ratelimit.Report{report}})
	for i := range c.hubs {
		c.eventually("the hub knows the limit", func() bool { return limitOf(i).IsLimited })
	}
	c.eventually("a host of another hub gets the limit", func() bool {
		entries := c.watch(2, peer.WatchRequest{Host: "f"}).Entries
		return len(entries) == 1 && entries[0].RateLimit.PerSecond == five
	})

	c.stop(2)
	c.start(2, false)
	c.awaitAllVoters()
	announce(0, 2)
	c.eventually("a restarted hub learns it with the target", func() bool { return limitOf(2).IsLimited })

	report.Limit = ratelimit.New(c.hubs[2].Clock.Now().Add(time.Second), nil)
	c.watch(2, peer.WatchRequest{Host: "f", RateLimits: []ratelimit.Report{report}})
	for i := range c.hubs {
		c.eventually("the hub knows that the limit has ended", func() bool { return !limitOf(i).IsLimited && !limitOf(i).SaidAt.IsZero() })
	}
}
