package gateway

import (
	"context"
	"strconv"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// once serves a call that runs at most once. From the moment it is sent it is
// not stopped, also when its caller goes away: the outcome is worth more.
func (x *exchange) once(ctx *fasthttp.RequestCtx) {
	claim, f := x.claim()
	if f != nil {
		x.gateway.fail(ctx, f)
		x.close()
		return
	}
	if claim.State == ClaimDone {
		x.replay(ctx, claim)
		x.close()
		return
	}
	a, f := x.dispatch()
	if f != nil {
		x.gateway.logGivenUp(x.dispatcher, f)
		x.settle(f)
		x.gateway.fail(ctx, f)
		x.close()
		return
	}
	header := a.answer.Header()
	if header.Stream {
		x.stream(ctx, a, x.newRecord(header.Status))
		return
	}
	x.store(StoredResponse{Status: header.Status, ContentType: header.ContentType, Body: a.body})
	x.whole(ctx, a)
	x.close()
}

// claim opens the claim of a request with a key. Without a failure the claim is
// open, or done. A claim whose opening failed is left alone, never cancelled: it
// may be that of an earlier request which was sent.
func (x *exchange) claim() (Claim, *Failure) {
	if x.IdempotencyKey == "" {
		return Claim{State: ClaimOpen}, nil
	}
	retryAfter := x.gateway.settings.retryAfter
	if !x.gateway.keys.hold(x.claimKey()) {
		return Claim{}, x.running()
	}
	ctx, cancel := clockwork.WithTimeout(x.ctx, x.gateway.Clock, x.gateway.settings.claimTimeout)
	defer cancel()
	claim, err := x.gateway.Claims.Open(ctx, x.claimKey(), x.fingerprint(), x.gateway.Clock.Now())
	if err != nil {
		x.gateway.keys.release(x.claimKey())
		return claim, failure(fasthttp.StatusServiceUnavailable, CodeClaimsUnavailable, err.Error()).after(retryAfter)
	}
	if claim.State != ClaimOpen {
		x.gateway.keys.release(x.claimKey())
	}
	switch claim.State {
	case ClaimOpen, ClaimDone:
		return claim, nil
	case ClaimConflict:
		return claim, failure(fasthttp.StatusConflict, CodeKeyConflict, "the key was used with another request")
	case ClaimCancelled:
		return claim, failure(fasthttp.StatusConflict, CodeCancelled, "the request of this key was cancelled before it ran; use a new key")
	case ClaimRunning:
		return claim, x.running()
	}
	f := failure(fasthttp.StatusBadGateway, CodeInDoubt, "the request of this key may have run; an operator settles it")
	f.Ran = RanUnknown
	return claim, f
}

// running tells that another request holds the key.
func (x *exchange) running() *Failure {
	f := failure(fasthttp.StatusConflict, CodeRunning, "a request with this key is running")
	f.Ran = RanUnknown
	return f.after(x.gateway.settings.retryAfter)
}

// dispatch sends the request. Another target is tried only while no byte has
// left; after that neither the caller's going nor its own timeout ends it, only
// the service's.
func (x *exchange) dispatch() (*attempt, *Failure) {
	ctx, cancel := clockwork.WithDeadline(context.Background(), x.gateway.Clock, x.Started.Add(x.Service.Timeouts.Total))
	x.endDispatch = cancel
	return x.run(ctx, true)
}

// settle closes the claim of a request that got no answer.
func (x *exchange) settle(f *Failure) {
	if x.IdempotencyKey == "" {
		return
	}
	if f.Ran == RanNo {
		x.cancelClaim()
		return
	}
	x.doubtClaim()
}

// store commits the outcome with its answer. If that fails the answer is given
// all the same, since it is true; the claim is in doubt once this host's
// session ends.
func (x *exchange) store(answer StoredResponse) {
	if x.IdempotencyKey == "" {
		return
	}
	if len(answer.Body) > x.gateway.settings.storedBytes {
		answer.Body = nil
		answer.Truncated = true
	}
	x.commit("finish", func(ctx context.Context) error {
		return x.gateway.Claims.Finish(ctx, x.claimKey(), answer)
	})
}

// replay answers with the stored outcome.
func (x *exchange) replay(ctx *fasthttp.RequestCtx, claim Claim) {
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
	x.gateway.meters.answered.Inc(1)
}

func (x *exchange) claimKey() ClaimKey {
	return ClaimKey{Workspace: x.Workspace, Service: x.Service.Name, Key: x.IdempotencyKey}
}

func (x *exchange) cancelClaim() {
	x.commit("cancel", func(ctx context.Context) error {
		return x.gateway.Claims.Cancel(ctx, x.claimKey())
	})
}

func (x *exchange) doubtClaim() {
	x.commit("doubt", func(ctx context.Context) error {
		return x.gateway.Claims.MarkInDoubt(ctx, x.claimKey())
	})
}

// commit tries a change of the claim within the claim timeout, whatever has
// become of the caller. The caller's answer waits for it only shortly: it is
// true whether the change is committed or not.
func (x *exchange) commit(what string, change func(ctx context.Context) error) {
	done := make(chan struct{})
	x.gateway.work.run(func() {
		defer close(done)
		ctx, cancel := clockwork.WithTimeout(context.Background(), x.gateway.Clock, x.gateway.settings.claimTimeout)
		defer cancel()
		if err := change(ctx); err != nil {
			x.gateway.log.WithError(errors.Wrapf(err, "%s claim", what)).
				Warnf("The claim of request %s is left to the end of this host's session.", x.ID)
			return
		}
		x.gateway.keys.release(x.claimKey())
	})
	timer := x.gateway.Clock.NewTimer(x.gateway.settings.claimWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.Chan():
	}
}
