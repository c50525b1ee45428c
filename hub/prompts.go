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

// promptUpdateInterval is the interval at which suspected prompt parts are put in
// quarantine.
const promptUpdateInterval = 100 * time.Millisecond

// recordPromptReport records what an entry host reports about prompt parts and passes it
// on to the other hubs, since requests with a part come to hosts of all hubs.
func (h *Hub) recordPromptReport(host string, report quarantine.Report, quarantined []quarantine.Part) {
	if !report.IsEmpty() {
		h.gossip.broadcast(peer.RosterUpdate{Host: h.Settings.Host, PromptReport: report})
	}
	h.mergePromptReport(host, report, quarantined)
}

// mergePromptReport records what an entry host or another hub reports about prompt parts.
func (h *Hub) mergePromptReport(from string, report quarantine.Report, quarantined []quarantine.Part) {
	now := h.Clock.Now()
	h.prompts.Record(now, report)
	h.logQuarantine(now, from, h.prompts.Merge(now, quarantined))
}

// updatePromptParts puts suspected prompt parts in quarantine until ctx ends.
func (h *Hub) updatePromptParts(ctx context.Context) {
	ticks.Every(ctx, h.Clock, promptUpdateInterval, func(context.Context) {
		now := h.Clock.Now()
		h.logQuarantine(now, h.Settings.Host, h.prompts.Update(now))
	})
}

// logQuarantine logs parts that are new in quarantine. from is the host that reported
// them, or this hub.
func (h *Hub) logQuarantine(now time.Time, from string, parts []quarantine.Part) {
	for _, part := range parts {
		h.log.WithFields(logrus.Fields{
			"Part": fmt.Sprintf("%x", part.Key), "Crashes": part.Crashes, "FirstAge": now.Sub(part.FirstAt),
			"LastAge": now.Sub(part.LastAt), "Remaining": part.Until.Sub(now), "From": from,
		}).Warnf("Prompt part %x is put in quarantine.", part.Key)
	}
}
