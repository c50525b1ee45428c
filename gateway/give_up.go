package gateway

import (
	"slices"
	"time"

	"comfreytiller.dev/admission"
	"github.com/jonboulle/clockwork"
)

// reservationTimeout limits how long a stream whose target is silent waits for a permit
// for another one. Data of the silent target that arrives meanwhile is relayed afterwards.
const reservationTimeout = 100 * time.Millisecond

// reservedPermit is a permit for the next attempt, acquired before the current one is
// given up.
type reservedPermit struct {
	permit      admission.Permit
	requestedAt time.Time
}

// mayGiveUp reports whether the silent target of a may be given up: only if the request
// can go on at another one, for which it reserves the retry and the permit. A target may
// be silent for a while and go on.
func (d *dispatcher) mayGiveUp(a *attempt) bool {
	obstacle := d.moveObstacle(a)
	if obstacle == noObstacle {
		return true
	}
	if !a.awaited {
		a.awaited = true
		d.gateway.logAwaitedTarget(d, a, obstacle)
	}
	if observe := d.gateway.OnTargetSilence; observe != nil {
		observe(a.permit)
	}
	return false
}

// isSilent reports whether the target of a, which is the last attempt, has sent nothing for
// its timeout and was awaited.
func (d *dispatcher) isSilent(a *attempt) bool {
	timeout := d.Service.Timeouts.FirstByte
	if d.relaying {
		timeout = d.Service.Timeouts.Gap
	}
	return a.awaited && d.silence() >= timeout
}

// moveObstacle returns what prevents the request from going on at another target than
// that of a. Without an obstacle, the retry and the permit are reserved.
func (d *dispatcher) moveObstacle(a *attempt) retryObstacle {
	switch {
	case d.ctx.Err() != nil:
		return d.endObstacle()
	case d.relaying && !a.permit.SupportsResume:
		return obstacleNotResumable
	case !d.hasRunLeft() || !d.hasAttemptLeft():
		return obstacleAttempts
	case !d.reserveRetry():
		return obstacleRetryBudget
	}
	obstacle := d.reservePermit(a.permit.Target)
	if obstacle != noObstacle {
		d.returnReservedRetry()
	}
	return obstacle
}

// hasAttemptLeft reports whether the limits of the gateway allow an attempt after the
// current one.
func (d *dispatcher) hasAttemptLeft() bool {
	if d.relaying {
		return d.resumes < d.gateway.settings.maxResumes
	}
	return d.failedAttempts+1 < d.gateway.settings.maxAttempts
}

// reserveRetry takes a retry from the budget that takeRetry uses later. A request
// reserves at most one.
func (d *dispatcher) reserveRetry() bool {
	if d.relaying && d.resumes == 0 && !d.gateway.settings.strictRetryBudget {
		return true
	}
	if !d.retryReserved {
		d.retryReserved = d.gateway.RetryBudget.TakeRetry(d.Service.Name)
	}
	return d.retryReserved
}

// returnReservedRetry returns a reserved retry that was not used to the budget.
func (d *dispatcher) returnReservedRetry() {
	if d.retryReserved {
		d.retryReserved = false
		d.gateway.RetryBudget.ReturnRetry(d.Service.Name)
	}
}

// takeRetry takes the reserved retry, or one from the budget. It returns false if there
// is none.
func (d *dispatcher) takeRetry() bool {
	if d.retryReserved {
		d.retryReserved = false
		return true
	}
	return d.gateway.RetryBudget.TakeRetry(d.Service.Name)
}

// reservePermit acquires the permit of the next attempt, for another target than the
// silent one.
func (d *dispatcher) reservePermit(silent string) retryObstacle {
	requestedAt := d.gateway.Clock.Now()
	ctx, cancel := clockwork.WithTimeout(d.ctx, d.gateway.Clock, reservationTimeout)
	defer cancel()
	request := d.admissionRequest()
	if !slices.Contains(request.Exclude, silent) {
		request.Exclude = append(request.Exclude, silent)
	}
	permit, err := d.gateway.Admitter.Acquire(ctx, request)
	if err != nil {
		return obstacleNoPermit
	}
	d.reserved = &reservedPermit{permit: permit, requestedAt: requestedAt}
	if d.relaying && !permit.SupportsResume {
		d.releaseReservedPermit()
		return obstacleNotResumable
	}
	return noObstacle
}

// nextPermit returns the permit of the next attempt and when it was requested.
func (d *dispatcher) nextPermit() (permit admission.Permit, requestedAt time.Time, err error) {
	if reserved := d.reserved; reserved != nil {
		d.reserved = nil
		return reserved.permit, reserved.requestedAt, nil
	}
	requestedAt = d.gateway.Clock.Now()
	permit, err = d.acquirePermit()
	return permit, requestedAt, err
}

// releaseReservedPermit releases a reserved permit that was not used.
func (d *dispatcher) releaseReservedPermit() {
	if d.reserved == nil {
		return
	}
	permit := d.reserved.permit
	d.reserved = nil
	d.gateway.Admitter.Release(admission.Release{
		RequestID: permit.RequestID, Service: d.Service.Name, Target: permit.Target, Outcome: admission.OutcomeUnsent,
	})
}
