package host

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/gateway"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
)

// claims commits claims through the session. It implements gateway.Claims.
type claims struct {
	session *session.Client
	host    *Host

	lastAttempt  atomic.Uint64
	mu           sync.Mutex
	openAttempts map[gateway.ClaimKey]claimAttempt
}

// claimAttempt identifies the attempt that is allowed to dispatch a request.
type claimAttempt struct {
	session     uint64
	id          uint64
	fingerprint uint64
}

// Open commits a claim, or returns the state of an existing one.
func (c *claims) Open(ctx context.Context, key gateway.ClaimKey, fingerprint uint64, now time.Time) (gateway.Claim, error) {
	attempt := claimAttempt{
		session:     c.session.Number(),
		id:          c.lastAttempt.Add(1),
		fingerprint: fingerprint,
	}
	result, err := c.session.Propose(ctx, registry.OpenClaim{
		Key:         registry.ClaimKey(key),
		Fingerprint: fingerprint,
		Session:     attempt.session,
		Attempt:     attempt.id,
		Time:        now,
	})
	if err != nil {
		// The command may still be committed later, but this attempt will not
		// use it.
		c.retryInBackground(key, attempt, c.cancelCommand(key, attempt))
		return gateway.Claim{}, errors.Wrapf(err, "open claim %s of %s", key.Key, key.Workspace)
	}
	if result.Code == registry.CodeConflict {
		return gateway.Claim{ClaimKey: key, State: gateway.ClaimConflict}, nil
	}
	if err := result.Err(); err != nil {
		return gateway.Claim{}, errors.Wrapf(err, "open claim %s of %s", key.Key, key.Workspace)
	}
	claim := gatewayClaim(result.Claim)
	if result.Granted {
		c.storeAttempt(key, attempt)
		claim.State = gateway.ClaimOpen
		return claim, nil
	}
	if claim.State == gateway.ClaimOpen {
		claim.State = gateway.ClaimRunning
	}
	return claim, nil
}

func gatewayClaim(claim registry.Claim) gateway.Claim {
	converted := gateway.Claim{
		ClaimKey:    gateway.ClaimKey(claim.ClaimKey),
		State:       gateway.ClaimState(claim.State),
		Fingerprint: claim.Fingerprint,
		Dispatcher:  claim.Dispatcher,
		Response: gateway.StoredResponse{
			Status:      claim.Response.Status,
			ContentType: claim.Response.ContentType,
			Body:        claim.Response.Body,
			Truncated:   claim.Response.Truncated,
		},
	}
	if claim.State == registry.ClaimSettled {
		applyVerdict(&converted, claim.Ran)
	}
	return converted
}

// applyVerdict sets the state that corresponds to an operator's verdict: done
// without a stored response if the request ran, and cancelled otherwise.
func applyVerdict(claim *gateway.Claim, ran bool) {
	claim.State = gateway.ClaimCancelled
	if ran {
		claim.State = gateway.ClaimDone
		claim.Response = gateway.StoredResponse{Truncated: true}
	}
}

func (c *claims) storeAttempt(key gateway.ClaimKey, attempt claimAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openAttempts == nil {
		c.openAttempts = map[gateway.ClaimKey]claimAttempt{}
	}
	c.openAttempts[key] = attempt
}

func (c *claims) attemptFor(key gateway.ClaimKey) claimAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.openAttempts[key]
}

// removeAttempt removes an attempt whose end has been committed or whose session
// has ended.
func (c *claims) removeAttempt(key gateway.ClaimKey, attempt claimAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.openAttempts[key] == attempt {
		delete(c.openAttempts, key)
	}
}

// Finish commits the outcome and the response.
func (c *claims) Finish(ctx context.Context, key gateway.ClaimKey, response gateway.StoredResponse) error {
	attempt := c.attemptFor(key)
	return c.commit(ctx, key, attempt, registry.FinishClaim{
		Key:     registry.ClaimKey(key),
		Session: attempt.session,
		Attempt: attempt.id,
		Response: registry.Response{
			Status:      response.Status,
			ContentType: response.ContentType,
			Body:        response.Body,
			Truncated:   response.Truncated,
		},
		Time: c.host.Clock.Now(),
	})
}

// Cancel commits that the request was never sent.
func (c *claims) Cancel(ctx context.Context, key gateway.ClaimKey) error {
	attempt := c.attemptFor(key)
	return c.commit(ctx, key, attempt, c.cancelCommand(key, attempt))
}

func (c *claims) cancelCommand(key gateway.ClaimKey, attempt claimAttempt) registry.CancelClaim {
	return registry.CancelClaim{
		Key:         registry.ClaimKey(key),
		Fingerprint: attempt.fingerprint,
		Session:     attempt.session,
		Attempt:     attempt.id,
		Time:        c.host.Clock.Now(),
	}
}

// MarkInDoubt commits that the request may have run.
func (c *claims) MarkInDoubt(ctx context.Context, key gateway.ClaimKey) error {
	attempt := c.attemptFor(key)
	return c.commit(ctx, key, attempt, registry.MarkClaimInDoubt{
		Key:     registry.ClaimKey(key),
		Session: attempt.session,
		Attempt: attempt.id,
		Time:    c.host.Clock.Now(),
	})
}

// commit proposes the end of an attempt. If the commit fails within the time of
// the request, it is retried in the background until it succeeds or the session
// ends. The end of the session marks the claim as in doubt.
func (c *claims) commit(ctx context.Context, key gateway.ClaimKey, attempt claimAttempt, command registry.Command) error {
	result, err := c.session.Propose(ctx, command)
	if err != nil {
		c.retryInBackground(key, attempt, command)
		return errors.Wrapf(err, "commit %T of claim %s of %s", command, key.Key, key.Workspace)
	}
	c.removeAttempt(key, attempt)
	if err := result.Err(); err != nil {
		return errors.Wrapf(err, "commit %T of claim %s of %s", command, key.Key, key.Workspace)
	}
	return nil
}

// retryInBackground proposes a command until it has a result or the session
// ends.
func (c *claims) retryInBackground(key gateway.ClaimKey, attempt claimAttempt, command registry.Command) {
	go func() {
		defer c.removeAttempt(key, attempt)
		for c.session.Number() == attempt.session {
			ctx, cancel := clockwork.WithTimeout(context.Background(), c.host.Clock, operatorTimeout)
			_, err := c.session.Propose(ctx, command)
			cancel()
			if err == nil {
				return
			}
		}
	}()
}
