package gateway

import (
	"context"
	"math/rand/v2"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// maxExpired bounds the permits that one request lets expire.
const maxExpired = 3

// run makes attempts until one has an answer or nothing is left to try. Sending
// and reading end with ctx. The first attempt may use a kept connection unless
// fresh is set; any other opens one.
func (d *dispatcher) run(ctx context.Context, fresh bool) (*attempt, *Failure) {
	d.gateway.RetryBudget.RecordRequest(d.Service.Name)
	for {
		a, err := d.try(ctx, 0, fresh || d.tries > 0)
		if err == nil {
			return a, nil
		}
		if !d.again(err) {
			if d.failed != nil && d.gone.Err() == nil {
				return d.failed, nil
			}
			return nil, d.failure(err)
		}
	}
}

// again decides on another attempt, and waits for the back-off.
func (d *dispatcher) again(err error) bool {
	if d.ctx.Err() != nil {
		return false
	}
	if errors.Is(err, ErrPermitExpired) {
		d.expired++
		return d.expired < maxExpired
	}
	if !d.retryable(err) {
		return false
	}
	d.tries++
	if d.tries >= d.gateway.settings.attempts || d.MaxAttempts > 0 && d.runs >= d.MaxAttempts || !d.payRetry(err) {
		return false
	}
	d.gateway.meters.retries.Inc(1)
	return d.backOff()
}

// payRetry takes a retry from the budget. The failure of a connection used
// before costs nothing: the pool has then dropped the target's connections, and
// the next attempt opens one, so such retries end by themselves.
func (d *dispatcher) payRetry(err error) bool {
	if errors.Is(err, target.ErrUnreachable) && d.gateway.settings.strictBudget {
		return true
	}
	if reusedFailed(err) && !d.gateway.settings.strictBudget {
		return true
	}
	return d.gateway.RetryBudget.TakeRetry(d.Service.Name)
}

func reusedFailed(err error) bool {
	var sendError *target.SendError
	return errors.As(err, &sendError) && sendError.Reused
}

// retryable reports whether another attempt is allowed at all: for idempotent
// work after a failure of the target, and for other work only while no byte has
// left.
func (d *dispatcher) retryable(err error) bool {
	var sendError *target.SendError
	if errors.Is(err, target.ErrNotSent) {
		return false
	}
	if errors.Is(err, target.ErrNotRun) {
		return true
	}
	if !errors.As(err, &sendError) && !errors.Is(err, errStatus) && !isAnswerError(err) {
		return false
	}
	return d.Call.Idempotent || !d.sent
}

// isAnswerError reports whether a target's answer failed.
func isAnswerError(err error) bool {
	for _, known := range []error{
		target.ErrSilent, target.ErrCut, target.ErrCrossed, target.ErrMalformed, target.ErrTooLong,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// backOff waits a random time around the mean, which doubles with each attempt.
// It reports false when the deadline comes first.
func (d *dispatcher) backOff() bool {
	mean := d.gateway.settings.backoff << max(d.tries-1, 0)
	if mean <= 0 {
		return true
	}
	wait := mean/2 + rand.N(mean) //nolint:gosec // Spreads retries; not a secret.
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
