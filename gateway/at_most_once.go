package gateway

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// serveAtMostOnce serves a call that runs at most once. After it has been sent,
// the call is not cancelled even if its caller disconnects, because knowing its
// outcome is worth more than the saved work.
func (x *exchange) serveAtMostOnce(ctx *fasthttp.RequestCtx) {
	claim, f := x.openClaim()
	if f != nil {
		x.gateway.fail(ctx, f)
		x.close()
		return
	}
	if claim.State == ClaimDone {
		x.replayResponse(ctx, claim)
		x.close()
		return
	}
	a, f := x.dispatch()
	if f != nil {
		x.gateway.logFailedRequest(x.dispatcher, f)
		x.failClaim(f)
		x.gateway.fail(ctx, f)
		x.close()
		return
	}
	header := a.response.Header()
	if header.Stream {
		x.writeStream(ctx, a, x.newStreamRecorder(header.Status))
		return
	}
	x.storeResponse(StoredResponse{Status: header.Status, ContentType: header.ContentType, Body: a.body})
	x.writeResponse(ctx, a)
	x.close()
}

// openClaim opens the claim of a request with an idempotency key. If it returns
// no failure, the claim is either open or done. A claim whose opening failed is
// left unchanged and never cancelled: it may belong to an earlier request that
// was sent.
func (x *exchange) openClaim() (Claim, *Failure) {
	if x.IdempotencyKey == "" {
		return Claim{State: ClaimOpen}, nil
	}
	retryAfter := x.gateway.settings.retryAfter
	if !x.gateway.openClaims.tryAdd(x.claimKey()) {
		return Claim{}, x.claimRunningFailure()
	}
	ctx, cancel := clockwork.WithTimeout(x.ctx, x.gateway.Clock, x.gateway.settings.claimTimeout)
	defer cancel()
	claim, err := x.gateway.Claims.Open(ctx, x.claimKey(), x.fingerprint(), x.gateway.Clock.Now())
	if err != nil {
		x.gateway.openClaims.remove(x.claimKey())
		return claim, failure(fasthttp.StatusServiceUnavailable, CodeClaimsUnavailable, err.Error()).withRetryAfter(retryAfter)
	}
	if claim.State != ClaimOpen {
		x.gateway.openClaims.remove(x.claimKey())
	}
	switch claim.State {
	case ClaimOpen, ClaimDone:
		return claim, nil
	case ClaimConflict:
		return claim, failure(fasthttp.StatusConflict, CodeKeyConflict, "the key was used with another request")
	case ClaimCancelled:
		return claim, failure(fasthttp.StatusConflict, CodeCancelled, "the request of this key was cancelled before it ran; use a new key")
	case ClaimRunning:
		return claim, x.claimRunningFailure()
	}
	f := failure(fasthttp.StatusBadGateway, CodeInDoubt, "the request of this key may have run; an operator settles it")
	f.Ran = RanUnknown
	return claim, f
}

// claimRunningFailure returns the failure for a key whose claim is held by
// another request.
func (x *exchange) claimRunningFailure() *Failure {
	f := failure(fasthttp.StatusConflict, CodeRunning, "a request with this key is running")
	f.Ran = RanUnknown
	return f.withRetryAfter(x.gateway.settings.retryAfter)
}

// dispatch sends the request. Another target is tried only while no byte has
// been sent. After that, neither a disconnect nor the timeout of the caller
// ends the request, only the timeout of the service or the end of a drain does. No idle connection is
// reused, because a failure after the request was sent on it could not be
// retried.
func (x *exchange) dispatch() (*attempt, *Failure) {
	ctx, cancel := clockwork.WithDeadline(context.Background(), x.gateway.Clock, x.Started.Add(x.Service.Timeouts.Total))
	x.cancelDispatch = x.gateway.withStop(cancel)
	return x.runAttempts(ctx, true)
}

// failClaim updates the claim of a request that failed: it is cancelled if the
// request did not run, and in doubt otherwise.
func (x *exchange) failClaim(f *Failure) {
	if x.IdempotencyKey == "" {
		return
	}
	if f.Ran == RanNo {
		x.cancelClaim()
		return
	}
	x.markClaimInDoubt()
}

// storeResponse commits the outcome with its response. The response is valid
// even if the commit fails, so the caller receives it regardless; the claim
// then becomes in doubt when the session of this host ends.
func (x *exchange) storeResponse(response StoredResponse) {
	if x.IdempotencyKey == "" {
		return
	}
	if len(response.Body) > x.gateway.settings.maxStoredBytes {
		response.Body = nil
		response.Truncated = true
	}
	x.commitClaimChange("finish", func(ctx context.Context) error {
		return x.gateway.Claims.Finish(ctx, x.claimKey(), response)
	})
}

// replayResponse writes the response stored with the claim.
func (x *exchange) replayResponse(ctx *fasthttp.RequestCtx, claim Claim) {
	if claim.Response.Truncated {
		f := failure(fasthttp.StatusConflict, CodeResponseNotStored, "the request has run; its answer is not stored")
		f.Ran = RanYes
		x.gateway.fail(ctx, f)
		return
	}
	ctx.SetStatusCode(claim.Response.Status)
	ctx.SetContentType(claim.Response.ContentType)
	ctx.Response.Header.Set(HeaderReplayed, strconv.FormatBool(true))
	ctx.Response.SetBodyRaw(claim.Response.Body)
	x.gateway.metrics.completed.Inc(1)
}

func (x *exchange) claimKey() ClaimKey {
	return ClaimKey{Workspace: x.Workspace, Service: x.Service.Name, Key: x.IdempotencyKey}
}

func (x *exchange) cancelClaim() {
	x.commitClaimChange("cancel", func(ctx context.Context) error {
		return x.gateway.Claims.Cancel(ctx, x.claimKey())
	})
}

func (x *exchange) markClaimInDoubt() {
	x.commitClaimChange("doubt", func(ctx context.Context) error {
		return x.gateway.Claims.MarkInDoubt(ctx, x.claimKey())
	})
}

// commitClaimChange commits a change of the claim within the claim timeout, even
// if the caller has disconnected. It waits for the commit for at most claimWait,
// because the response to the caller is valid whether or not the change is
// committed.
func (x *exchange) commitClaimChange(operation string, change func(ctx context.Context) error) {
	done := make(chan struct{})
	x.gateway.tracker.runBackground(func() {
		defer close(done)
		ctx, cancel := clockwork.WithTimeout(context.Background(), x.gateway.Clock, x.gateway.settings.claimTimeout)
		defer cancel()
		if err := change(ctx); err != nil {
			x.gateway.log.WithError(errors.Wrapf(err, "commit claim operation %q", operation)).
				Warnf("Claim of request %s could not be updated and remains open until the session of this host ends.", x.ID)
			return
		}
		x.gateway.openClaims.remove(x.claimKey())
	})
	timer := x.gateway.Clock.NewTimer(x.gateway.settings.claimWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.Chan():
	}
}
