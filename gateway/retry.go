package gateway

import (
	"context"
	"math/rand/v2"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// maxExpiredPermits limits the number of expired permits per request.
const maxExpiredPermits = 3

// runAttempts makes attempts until one succeeds or no retry is allowed. Sending
// and reading end with ctx. The first attempt may reuse an idle connection
// unless newConnection is set; later attempts open a new one.
func (d *dispatcher) runAttempts(ctx context.Context, newConnection bool) (*attempt, *Failure) {
	d.gateway.RetryBudget.RecordRequest(d.Service.Name)
	for {
		a, err := d.sendAttempt(ctx, 0, newConnection || d.failedAttempts > 0)
		if err == nil {
			return a, nil
		}
		if !d.prepareRetry(err) {
			if d.errorResponse != nil && d.callerCtx.Err() == nil {
				return d.errorResponse, nil
			}
			return nil, d.failureFor(err)
		}
	}
}

// prepareRetry reports whether another attempt is allowed, after waiting for
// the backoff.
func (d *dispatcher) prepareRetry(err error) bool {
	if d.ctx.Err() != nil {
		return false
	}
	if errors.Is(err, ErrPermitExpired) {
		d.expiredPermits++
		return d.expiredPermits < maxExpiredPermits
	}
	if !d.retryable(err) {
		return false
	}
	d.failedAttempts++
	if d.failedAttempts >= d.gateway.settings.maxAttempts || d.attemptsExhausted() || !d.chargeRetry(err) {
		return false
	}
	d.gateway.metrics.retries.Inc(1)
	return d.backOff()
}

// attemptsExhausted reports whether the request may have run as often as its route
// allows.
func (d *dispatcher) attemptsExhausted() bool {
	return d.MaxAttempts > 0 && d.possibleRuns >= d.MaxAttempts
}

// chargeRetry charges a retry to the budget and reports whether it is allowed.
// The failure of a reused connection is free: the pool has then dropped the
// connections to the target and the next attempt opens a new one, so the number
// of such retries is limited. A strict budget charges it, but not the retry of
// an attempt whose target was unreachable, because that target received nothing.
func (d *dispatcher) chargeRetry(err error) bool {
	if errors.Is(err, target.ErrUnreachable) && d.gateway.settings.strictRetryBudget {
		return true
	}
	if isReusedConnectionError(err) && !d.gateway.settings.strictRetryBudget {
		return true
	}
	return d.gateway.RetryBudget.TakeRetry(d.Service.Name)
}

func isReusedConnectionError(err error) bool {
	var sendError *target.SendError
	return errors.As(err, &sendError) && sendError.ConnectionReused
}

// retryable reports whether another attempt is allowed at all: for idempotent
// calls after a failure of the target, and for other calls only while no byte
// has been sent. Every call is retryable if the target reports that it did not
// execute it, and none if it was not sent because a check failed.
func (d *dispatcher) retryable(err error) bool {
	var sendError *target.SendError
	if errors.Is(err, target.ErrNotSent) {
		return false
	}
	if errors.Is(err, target.ErrNotExecuted) {
		return true
	}
	if !errors.As(err, &sendError) && !errors.Is(err, errServerStatus) && !isResponseError(err) {
		return false
	}
	return d.Call.Idempotent || !d.maybeSent
}

// isResponseError reports whether err is a failure of the response of a target.
func isResponseError(err error) bool {
	for _, known := range []error{
		target.ErrTimeout, target.ErrTruncated, target.ErrRequestMismatch, target.ErrMalformedResponse, target.ErrResponseTooLarge,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// backOff waits for a random time around a mean that doubles with each attempt.
// It returns false without waiting if the deadline comes first.
func (d *dispatcher) backOff() bool {
	mean := d.gateway.settings.backoff << max(d.failedAttempts-1, 0)
	if mean <= 0 {
		return true
	}
	wait := mean/2 + rand.N(mean) //nolint:gosec // Used for jitter, not for security.
	if d.gateway.Clock.Now().Add(wait).After(d.Deadline) {
		return false
	}
	timer := d.gateway.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-d.ctx.Done():
		return false
	}
}
