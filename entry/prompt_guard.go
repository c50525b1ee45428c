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

// promptGuard refuses requests whose prompt has a part in quarantine, and collects what
// this host's requests tell about parts.
type promptGuard struct {
	log      *logrus.Logger
	clock    clockwork.Clock
	sender   protocol.Sender
	observer *quarantine.Observer

	refusals tally.Counter
	crashes  tally.Counter
}

func newPromptGuard(e *Entry) *promptGuard {
	return &promptGuard{
		log: logs.ForComponent(e.Log, "Quarantine"), clock: e.Clock, sender: e.sender, observer: quarantine.NewObserver(),
		refusals: e.Scope.Counter("prompts_refused_in_quarantine"), crashes: e.Scope.Counter("target_crashes_before_response"),
	}
}

// check returns the refusal of a request whose prompt has a part in quarantine, and nil
// otherwise.
func (g *promptGuard) check(now time.Time, request *admission.Request) error {
	part, found := g.observer.Quarantined(now, request.Prompt)
	if !found {
		return nil
	}
	g.refusals.Inc(1)
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQuarantined, RetryAfter: part.Until.Sub(now),
		Message: fmt.Sprintf("prompt part %x is in quarantine: %d targets crashed in a row under requests with it", part.Key, part.Crashes),
	}
}

// record records how a request ended.
func (g *promptGuard) record(now time.Time, release *admission.Release, address string) {
	sentAt := now.Add(-release.Duration)
	switch {
	case release.Prompt == nil || release.Duration == 0:
	case release.Succeeded:
		g.observer.RecordSuccess(now, release.Prompt, sentAt)
	case release.ConnectionLost:
		lost := quarantine.Lost{
			Prompt: release.Prompt, Target: release.Target, Incarnation: release.Incarnation,
			SentAt: sentAt, FirstByte: release.FirstByte, LostAt: now,
		}
		if g.observer.RecordLost(lost) {
			go g.checkTarget(lost.Target, lost.Incarnation, address)
		}
	}
}

// checkTarget tries to connect to a target that closed a connection. A target that has
// crashed accepts none until it has started again.
func (g *promptGuard) checkTarget(target string, incarnation uint64, address string) {
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

// apply applies the prompt parts that a hub listed. isOtherHub is set if the last list
// came from another hub.
func (g *promptGuard) apply(response *peer.WatchResponse, isOtherHub bool) {
	if response.PartsVersion == 0 || response.PartsVersion == g.observer.Version() && !isOtherHub {
		return
	}
	now := g.clock.Now()
	for _, part := range g.observer.Apply(now, response.PromptParts, response.PartsVersion) {
		g.log.WithFields(quarantineFields(now, part)).Warnf("Prompt part %x is in quarantine.", part.Key)
	}
}

func quarantineFields(now time.Time, part quarantine.Part) logrus.Fields {
	return logrus.Fields{
		"Part": fmt.Sprintf("%x", part.Key), "Crashes": part.Crashes, "FirstAge": now.Sub(part.FirstAt),
		"LastAge": now.Sub(part.LastAt), "Remaining": part.Until.Sub(now),
	}
}
