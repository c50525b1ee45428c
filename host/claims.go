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

	attempts atomic.Uint64
	mu       sync.Mutex
	open     map[gateway.ClaimKey]openClaim
}

// openClaim names the attempt that may dispatch.
type openClaim struct {
	session     uint64
	attempt     uint64
	fingerprint uint64
}

// Open commits the claim or returns the state of the one that exists.
func (c *claims) Open(ctx context.Context, key gateway.ClaimKey, fingerprint uint64, now time.Time) (gateway.Claim, error) {
	mine := openClaim{
		session:     c.session.Number(),
		attempt:     c.attempts.Add(1),
		fingerprint: fingerprint,
	}
	result, err := c.session.Propose(ctx, registry.OpenClaim{
		Key:         registry.ClaimKey(key),
		Fingerprint: fingerprint,
		Session:     mine.session,
		Attempt:     mine.attempt,
		Time:        now,
	})
	if err != nil {
		// The command may still be committed late; this attempt will not use it.
		c.insist(key, mine, c.cancellation(key, mine))
		return gateway.Claim{}, errors.Wrapf(err, "open claim %s of %s", key.Key, key.Workspace)
	}
	if result.Code == registry.CodeConflict {
		return gateway.Claim{ClaimKey: key, State: gateway.ClaimConflict}, nil
	}
	if err := result.Err(); err != nil {
		return gateway.Claim{}, errors.Wrapf(err, "open claim %s of %s", key.Key, key.Workspace)
	}
	claim := toGateway(result.Claim)
	if result.Granted {
		c.keep(key, mine)
		claim.State = gateway.ClaimOpen
		return claim, nil
	}
	if claim.State == gateway.ClaimOpen {
		claim.State = gateway.ClaimRunning
	}
	return claim, nil
}

func toGateway(claim registry.Claim) gateway.Claim {
	converted := gateway.Claim{
		ClaimKey:    gateway.ClaimKey(claim.ClaimKey),
		State:       gateway.ClaimState(claim.State),
		Fingerprint: claim.Fingerprint,
		Dispatcher:  claim.Dispatcher,
		Response: gateway.StoredResponse{
			Status:      claim.Answer.Status,
			ContentType: claim.Answer.ContentType,
			Body:        claim.Answer.Body,
			Truncated:   claim.Answer.Truncated,
		},
	}
	if claim.State == registry.ClaimSettled {
		settle(&converted, claim.Ran)
	}
	return converted
}

// settle gives a claim that operators settled the state that their verdict
// amounts to: it ran and its answer is not stored, or it never runs.
func settle(claim *gateway.Claim, ran bool) {
	claim.State = gateway.ClaimCancelled
	if ran {
		claim.State = gateway.ClaimDone
		claim.Response = gateway.StoredResponse{Truncated: true}
	}
}

func (c *claims) keep(key gateway.ClaimKey, mine openClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = map[gateway.ClaimKey]openClaim{}
	}
	c.open[key] = mine
}

func (c *claims) held(key gateway.ClaimKey) openClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[key]
}

// drop forgets an attempt that has ended at the quorum.
func (c *claims) drop(key gateway.ClaimKey, mine openClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[key] == mine {
		delete(c.open, key)
	}
}

// Finish commits the outcome and the answer.
func (c *claims) Finish(ctx context.Context, key gateway.ClaimKey, answer gateway.StoredResponse) error {
	mine := c.held(key)
	return c.commit(ctx, key, mine, registry.FinishClaim{
		Key:     registry.ClaimKey(key),
		Session: mine.session,
		Attempt: mine.attempt,
		Answer: registry.Answer{
			Status:      answer.Status,
			ContentType: answer.ContentType,
			Body:        answer.Body,
			Truncated:   answer.Truncated,
		},
		Time: c.host.Clock.Now(),
	})
}

// Cancel commits that the request was never sent.
func (c *claims) Cancel(ctx context.Context, key gateway.ClaimKey) error {
	mine := c.held(key)
	return c.commit(ctx, key, mine, c.cancellation(key, mine))
}

func (c *claims) cancellation(key gateway.ClaimKey, mine openClaim) registry.CancelClaim {
	return registry.CancelClaim{
		Key:         registry.ClaimKey(key),
		Fingerprint: mine.fingerprint,
		Session:     mine.session,
		Attempt:     mine.attempt,
		Time:        c.host.Clock.Now(),
	}
}

// Doubt commits that the request may have run.
func (c *claims) MarkInDoubt(ctx context.Context, key gateway.ClaimKey) error {
	mine := c.held(key)
	return c.commit(ctx, key, mine, registry.DoubtClaim{
		Key:     registry.ClaimKey(key),
		Session: mine.session,
		Attempt: mine.attempt,
		Time:    c.host.Clock.Now(),
	})
}

// commit proposes the end of an attempt. What is not committed in the time of
// the request is proposed again until it is, or until the session has ended,
// which puts the claim in doubt by itself.
func (c *claims) commit(ctx context.Context, key gateway.ClaimKey, mine openClaim, command registry.Command) error {
	result, err := c.session.Propose(ctx, command)
	if err != nil {
		c.insist(key, mine, command)
		return errors.Wrapf(err, "commit %T of claim %s of %s", command, key.Key, key.Workspace)
	}
	c.drop(key, mine)
	if err := result.Err(); err != nil {
		return errors.Wrapf(err, "commit %T of claim %s of %s", command, key.Key, key.Workspace)
	}
	return nil
}

// insist proposes a command in the background until it has an answer or the
// session has ended.
func (c *claims) insist(key gateway.ClaimKey, mine openClaim, command registry.Command) {
	go func() {
		defer c.drop(key, mine)
		for c.session.Number() == mine.session {
			ctx, cancel := clockwork.WithTimeout(context.Background(), c.host.Clock, operatorTimeout)
			_, err := c.session.Propose(ctx, command)
			cancel()
			if err == nil {
				return
			}
		}
	}()
}
