package entry

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
)

// recordResponse records what a target says of itself in a response: its load, that it
// is leaving, or that it wants a pause. It runs when the header of the response has
// arrived, which may be long before the end of a stream.
func (t *targetSelector) recordResponse(permit admission.Permit, header target.ResponseHeader) {
	now := t.clock.Now()
	news := t.notices.Record(now, permit.Target, permit.Incarnation, header)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byName[permit.Target]
	if s != nil && header.Load != nil {
		s.recordLoad(now, *header.Load)
	}
	t.recordLoadProblem(now, s, header.LoadProblem, permit)
	if s != nil && s.Incarnation == permit.Incarnation && header.Status != 0 {
		s.silentUntil = time.Time{}
	}
	fields := logrus.Fields{
		"Target": permit.Target, "Incarnation": permit.Incarnation, "Address": permit.Address, "Service": permit.Service,
		"Request": permit.RequestID, "Status": header.Status,
	}
	if s != nil {
		fields["State"], fields["HeardAge"] = s.State, now.Sub(s.LastSeen)
	}
	if header.RetryAfterProblem != "" {
		t.log.WithFields(fields).Warnf("Target %s sent an unusual Retry-After: %s.", permit.Target, header.RetryAfterProblem)
	}
	if header.RateLimitProblem != "" {
		t.log.WithFields(fields).Warnf("Target %s sent an unusual rate limit: %s.", permit.Target, header.RateLimitProblem)
	}
	if s != nil && s.Incarnation == permit.Incarnation && header.TellsRateLimit {
		t.applyRateLimit(now, s, ratelimit.New(now, header.RateLimit), permit.RequestID)
	}
	if news.Leaving {
		t.leavingNotices.Inc(1)
		t.log.WithFields(fields).Infof("Target %s says in a response that it is leaving.", permit.Target)
	}
	if !news.PausedUntil.IsZero() {
		t.pauseNotices.Inc(1)
		t.log.WithFields(fields).WithField("Pause", news.PausedUntil.Sub(now)).Infof("Target %s asks for a pause.", permit.Target)
	}
}

// recordSilence records that a request goes on waiting for a target that is silent. New
// requests would wait with it, without a failure to tell of it until a caller leaves.
func (t *targetSelector) recordSilence(permit admission.Permit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byName[permit.Target]; s != nil && s.Incarnation == permit.Incarnation {
		s.silentUntil = t.clock.Now().Add(silentPeriod)
	}
}

// isPaused reports whether the target has asked this host for a pause that is not over.
func (t *targetSelector) isPaused(now time.Time, s *targetState) bool {
	return now.Before(t.notices.PausedUntil(s.Name, s.Incarnation))
}

// refusePaused returns the refusal of a request if every target that admits requests
// has asked for a pause, and nil otherwise. The caller must hold t.mu.
func (t *targetSelector) refusePaused(now time.Time, request *admission.Request, list []*targetState, candidates []route.LocalTarget) error {
	var first time.Time
	for i, s := range list {
		if candidates[i].Availability != route.Available {
			continue
		}
		until := t.notices.PausedUntil(s.Name, s.Incarnation)
		if !until.After(now) {
			return nil
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	if first.IsZero() {
		return nil
	}
	return &admission.Refusal{
		RequestID: request.ID, Code: admission.RefusedNoTarget, Message: "all targets of the service have asked for a pause",
		RetryAfter: route.RetryAfterPause(first.Sub(now), rand.Uint64()),
	}
}
