package hub

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/common/rendezvous"
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

// grantTrials returns the subjects in quarantine of which a host may send one request, out of those
// that it has refused, and tells the other hubs.
func (h *Hub) grantTrials(host string, refused []quarantine.Subject) []quarantine.Subject {
	if len(refused) == 0 {
		return nil
	}
	now := h.Clock.Now()
	granted := h.quarantine.GrantTrials(now, refused, h.trialTurn)
	if len(granted) == 0 {
		return nil
	}
	h.gossip.broadcast(peer.RosterUpdate{Host: h.Settings.Host, Quarantined: granted})
	var subjects []quarantine.Subject
	for _, suspect := range granted {
		subjects = append(subjects, suspect.Subject)
		h.log.WithFields(logrus.Fields{"Part": fmt.Sprintf("%x", suspect.Key), "IsRequest": suspect.IsRequest, "FailedTrials": suspect.FailedTrials, "Host": host}).
			Infof("Host %s may test the quarantine of %s with one request.", host, suspect.Subject)
	}
	return subjects
}

// trialTurn returns the place of this hub in the order in which hubs grant the trials of a subject.
func (h *Hub) trialTurn(subject quarantine.Subject) int {
	var hosts []string
	for _, member := range h.replica.Quorum.Status().Members {
		hosts = append(hosts, member.Host)
	}
	ranked := rendezvous.Rank(subject.String(), hosts)
	if turn := slices.Index(ranked, h.Settings.Host); turn >= 0 {
		return turn
	}
	return len(ranked)
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
