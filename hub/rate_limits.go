package hub

import (
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/ratelimit"
	"comfreytiller.dev/target/roster"
)

// recordRateLimits records the rate limits of targets that a host reports, and passes the
// changes on to the other hubs.
func (h *Hub) recordRateLimits(host string, reports []ratelimit.Report) {
	now := h.Clock.Now()
	var changed []roster.Entry
	for _, report := range reports {
		if !h.roster.RecordRateLimit(now, report) {
			continue
		}
		if entry, found := h.roster.Get(report.Target); found {
			changed = append(changed, entry)
			h.gossip.recordChange(report.Target)
		}
		h.log.WithFields(logrus.Fields{
			"Target": report.Target, "Incarnation": report.Incarnation, "Limited": report.Limit.IsLimited,
			"PerSecond": report.Limit.PerSecond, "SaidAge": now.Sub(report.Limit.SaidAt), "From": host,
		}).Infof("Host %s reports another rate limit of target %s.", host, report.Target)
	}
	if len(changed) > 0 {
		h.gossip.broadcast(peer.RosterUpdate{Host: h.Settings.Host, Entries: changed})
	}
}
