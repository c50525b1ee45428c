package hub

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
)

// quarantineUpdateInterval is the interval at which suspects are put in quarantine.
const quarantineUpdateInterval = 100 * time.Millisecond

// recordCrashReport records what an entry host reports about crashes of targets and passes
// it on to the other hubs, since requests that crash targets come to hosts of all hubs.
func (h *Hub) recordCrashReport(host string, report quarantine.Report, quarantined []quarantine.Suspect) {
	if !report.IsEmpty() {
		h.gossip.broadcast(peer.RosterUpdate{Host: h.Settings.Host, CrashReport: report})
	}
	h.mergeCrashReport(host, report, quarantined)
}

// mergeCrashReport records what an entry host or another hub reports about crashes of
// targets.
func (h *Hub) mergeCrashReport(from string, report quarantine.Report, quarantined []quarantine.Suspect) {
	now := h.Clock.Now()
	h.quarantine.Record(now, report)
	h.logQuarantine(now, from, h.quarantine.Merge(now, quarantined))
}

// updateQuarantine puts suspects in quarantine until ctx ends.
func (h *Hub) updateQuarantine(ctx context.Context) {
	ticks.Every(ctx, h.Clock, quarantineUpdateInterval, func(context.Context) {
		now := h.Clock.Now()
		h.logQuarantine(now, h.Settings.Host, h.quarantine.Update(now))
	})
}

// logQuarantine logs suspects that are new in quarantine. from is the host that reported
// them, or this hub.
func (h *Hub) logQuarantine(now time.Time, from string, suspects []quarantine.Suspect) {
	for _, suspect := range suspects {
		h.log.WithFields(logrus.Fields{
			"Part": fmt.Sprintf("%x", suspect.Key), "IsRequest": suspect.IsRequest, "Crashes": suspect.Crashes, "FirstAge": now.Sub(suspect.FirstAt),
			"LastAge": now.Sub(suspect.LastAt), "Remaining": suspect.Until.Sub(now), "From": from,
		}).Warnf("A %s is put in quarantine.", suspect.Subject)
	}
}
