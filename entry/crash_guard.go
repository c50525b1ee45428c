package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/peer"
)

// crashGuard refuses requests that are in quarantine because they crash targets, by a part
// of their prompt or by their content, and collects what this host's requests tell of
// crashes.
type crashGuard struct {
	log      *logrus.Logger
	clock    clockwork.Clock
	sender   protocol.Sender
	observer *quarantine.Observer

	refusals tally.Counter
	crashes  tally.Counter
}

func newCrashGuard(e *Entry) *crashGuard {
	return &crashGuard{
		log: logs.ForComponent(e.Log, "Quarantine"), clock: e.Clock, sender: e.sender, observer: quarantine.NewObserver(),
		refusals: e.Scope.Counter("prompts_refused_in_quarantine"), crashes: e.Scope.Counter("target_crashes_before_response"),
	}
}

// check returns the refusal of a request in quarantine, and nil for others.
func (g *crashGuard) check(now time.Time, request *admission.Request) error {
	suspect, found := g.observer.Quarantined(now, quarantine.Content{Prompt: request.Prompt, Key: request.ContentKey})
	if !found {
		return nil
	}
	g.refusals.Inc(1)
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQuarantined, RetryAfter: suspect.Until.Sub(now),
		Message: fmt.Sprintf("%s is in quarantine: %d targets crashed in a row under requests with it", suspect.Subject, suspect.Crashes),
	}
}

// record records how a request ended.
func (g *crashGuard) record(now time.Time, release *admission.Release, address string) {
	sentAt, content := now.Add(-release.Duration), quarantine.Content{Prompt: release.Prompt, Key: release.ContentKey}
	switch {
	case release.Duration == 0:
	case release.Succeeded:
		g.observer.RecordSuccess(now, content, sentAt)
	case release.ConnectionLost:
		lost := quarantine.Lost{
			Content: content, Target: release.Target, Incarnation: release.Incarnation,
			SentAt: sentAt, FirstByte: release.FirstByte, LostAt: now,
		}
		if g.observer.RecordLost(lost) {
			go g.checkTarget(lost.Target, lost.Incarnation, address)
		}
	}
}

// checkTarget tries to connect to a target that closed a connection. A target that has
// crashed accepts none until it has started again.
func (g *crashGuard) checkTarget(target string, incarnation uint64, address string) {
	ctx, cancel := clockwork.WithTimeout(context.Background(), g.clock, probeTimeout)
	defer cancel()
	err := g.sender.Probe(ctx, address)
	g.observer.RecordCheck(g.clock.Now(), target, incarnation, err != nil)
	fields := logrus.Fields{"Target": target, "Incarnation": incarnation, "Address": address}
	if err == nil {
		g.log.WithFields(fields).Infof("Target %s accepts connections after it closed one before its response.", target)
		return
	}
	g.crashes.Inc(1)
	g.log.WithFields(fields).WithError(err).Warnf("Target %s crashed before its response.", target)
}

// apply applies the suspects that a hub listed. isOtherHub is set if the last list came
// from another hub.
func (g *crashGuard) apply(response *peer.WatchResponse, isOtherHub bool) {
	if response.SuspectsVersion == 0 || response.SuspectsVersion == g.observer.Version() && !isOtherHub {
		return
	}
	now := g.clock.Now()
	added, released := g.observer.Apply(now, response.Suspects, response.SuspectsVersion)
	for _, suspect := range added {
		g.log.WithFields(quarantineFields(now, suspect)).Warnf("A %s is in quarantine.", suspect.Subject)
	}
	for _, suspect := range released {
		g.log.WithFields(quarantineFields(now, suspect)).Infof("The hub released %s from its quarantine.", suspect.Subject)
	}
}

func quarantineFields(now time.Time, suspect quarantine.Suspect) logrus.Fields {
	return logrus.Fields{
		"Part": fmt.Sprintf("%x", suspect.Key), "IsRequest": suspect.IsRequest, "Crashes": suspect.Crashes, "FirstAge": now.Sub(suspect.FirstAt),
		"LastAge": now.Sub(suspect.LastAt), "Remaining": suspect.Until.Sub(now),
	}
}
