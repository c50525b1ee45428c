package gateway

import (
	"context"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
)

// recordFirstByte records that the response of an attempt has begun.
func (d *dispatcher) recordFirstByte(a *attempt) {
	a.firstByte = d.gateway.Clock.Since(a.sentAt)
	if observe := d.gateway.OnFirstByte; observe != nil {
		observe(a.permit, d.Call.Name, a.firstByte)
	}
}

// finish closes the response of an attempt and releases its permit.
func (d *dispatcher) finish(a *attempt, outcome admission.Outcome) {
	if a.permitReleased {
		return
	}
	a.permitReleased = true
	d.releasePermit(a, outcome)
}

func (d *dispatcher) releasePermit(a *attempt, outcome admission.Outcome) {
	if a.response != nil {
		a.response.Close()
	}
	release := admission.Release{
		RequestID: a.permit.RequestID, Service: d.Service.Name, Target: a.permit.Target,
		Outcome: outcome, FirstByte: a.firstByte, Incarnation: a.permit.Incarnation, Prompt: d.Prompt, ContentKey: d.key,
		Succeeded: outcome == admission.OutcomeDone && a.isSuccess(), ConnectionLost: a.connectionLost, Route: d.Call.Name,
		Inputs: a.permit.Inputs,
	}
	if a.response != nil {
		release.Status = a.response.Header().Status
	}
	if !a.sentAt.IsZero() {
		release.Duration = d.gateway.Clock.Since(a.sentAt)
	}
	d.gateway.Admitter.Release(release)
}

// abandon ends a failed attempt. A request that may still run on the target is
// cancelled there before its permit is released.
func (d *dispatcher) abandon(a *attempt, err error) {
	if a.permitReleased {
		return
	}
	a.permitReleased = true
	if errors.Is(err, target.ErrTimeout) {
		d.gateway.metrics.silentAttempts.Inc(1)
	}
	a.connectionLost = errors.Is(err, target.ErrTruncated)
	d.gateway.logFailedAttempt(d, a, err)
	outcome := d.outcome(a, err)
	if !d.shouldCancel(a, err) {
		d.releasePermit(a, outcome)
		return
	}
	if a.response != nil {
		a.response.Close()
	}
	d.gateway.tracker.runBackground(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), d.gateway.Clock, d.gateway.settings.cancelTimeout)
		defer cancel()
		_ = d.gateway.Sender.Cancel(ctx, a.permit.Address, d.ID, a.number)
		d.releasePermit(a, outcome)
	})
}

// shouldCancel reports whether the target may still be processing an attempt
// whose response is no longer needed. A call that is neither idempotent nor
// bound to its caller's connection is never cancelled.
func (d *dispatcher) shouldCancel(a *attempt, err error) bool {
	cancellable := d.Call.Idempotent || d.Call.StopsWithCaller
	return cancellable && !a.sentAt.IsZero() && !errors.Is(err, errServerStatus) && !errors.Is(err, target.ErrNotExecuted)
}

// outcome returns the outcome that the permit of a failed attempt is released
// with.
func (d *dispatcher) outcome(a *attempt, err error) admission.Outcome {
	switch {
	case d.callerCtx.Err() != nil && !d.isSilent(a):
		return admission.OutcomeCancelled
	case errors.Is(err, target.ErrNotSent):
		return admission.OutcomeUnsent
	case errors.Is(err, target.ErrNotExecuted):
		return admission.OutcomeRefused
	case errors.Is(err, target.ErrUnreachable):
		return admission.OutcomeUnreachable
	case a.sentAt.IsZero():
		return admission.OutcomeUnsent
	}
	return admission.OutcomeFailed
}
