package entry

import (
	"context"
	"fmt"
	"maps"
	"sync"
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
	// passed counts the requests that were sent to test a quarantine.
	passed tally.Counter

	mu sync.Mutex
	// trials are those in flight, by the ID of the request's attempt.
	trials map[string]trial
}

// trial is a request that tests a quarantine.
type trial struct {
	content quarantine.Content
	sentAt  time.Time
}

// trialSoundPeriod is how long after the first byte of its response a trial has shown that its
// content is sound.
const trialSoundPeriod = time.Second

// maxTrialAge is how long a trial without an end is remembered.
const maxTrialAge = 10 * time.Minute

func newCrashGuard(e *Entry) *crashGuard {
	return &crashGuard{
		log: logs.ForComponent(e.Log, "Quarantine"), clock: e.Clock, sender: e.sender, observer: quarantine.NewObserver(),
		refusals: e.Scope.Counter("prompts_refused_in_quarantine"), crashes: e.Scope.Counter("target_crashes_before_response"),
		passed: e.Scope.Counter("quarantine_trials"), trials: map[string]trial{},
	}
}

// check returns the refusal of a request in quarantine, and nil for others and for a trial. hasSpare
// reports whether the service has more targets than the trial may cost.
func (g *crashGuard) check(now time.Time, request *admission.Request, hasSpare func() bool) error {
	content := quarantine.Content{Prompt: request.Prompt, Key: request.ContentKey}
	suspect, found := g.observer.Quarantined(now, content)
	if !found {
		return nil
	}
	if request.Attempt <= 1 && hasSpare() && g.observer.TakeTrial(now, content) {
		g.beginTrial(now, request, content)
		g.log.WithFields(quarantineFields(now, suspect)).WithField("Request", request.ID).Infof("Request %s tests the quarantine of %s.", request.ID, suspect.Subject)
		return nil
	}
	g.refusals.Inc(1)
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedQuarantined, RetryAfter: suspect.RetryAfter(now),
		Message: fmt.Sprintf("%s is in quarantine: %d targets crashed in a row under requests with it", suspect.Subject, suspect.Crashes),
	}
}

func (g *crashGuard) beginTrial(now time.Time, request *admission.Request, content quarantine.Content) {
	g.passed.Inc(1)
	g.mu.Lock()
	defer g.mu.Unlock()
	// A trial that no target admitted isn't released.
	maps.DeleteFunc(g.trials, func(_ string, t trial) bool { return now.Sub(t.sentAt) > maxTrialAge })
	g.trials[request.ID] = trial{content: content, sentAt: now}
}

// endTrial forgets a trial that has ended, and returns it.
func (g *crashGuard) endTrial(requestID string) (trial, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, found := g.trials[requestID]
	delete(g.trials, requestID)
	return t, found
}

// recordFirstByte records that the response to a request has begun. A trial that is still in flight
// trialSoundPeriod later has succeeded: responses may take minutes.
func (g *crashGuard) recordFirstByte(requestID string) {
	g.mu.Lock()
	_, isTrial := g.trials[requestID]
	g.mu.Unlock()
	if !isTrial {
		return
	}
	g.clock.AfterFunc(trialSoundPeriod, func() {
		if t, found := g.endTrial(requestID); found {
			g.observer.RecordSuccess(g.clock.Now(), t.content, t.sentAt)
		}
	})
}

// record records how a request ended.
func (g *crashGuard) record(now time.Time, release *admission.Release, address string) {
	g.endTrial(release.RequestID)
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
	g.observer.ApplyTrials(g.clock.Now(), response.Trials)
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
