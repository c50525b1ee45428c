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
func (v *visit) once(ctx *fasthttp.RequestCtx) {
	claim, f := v.claim()
	if f != nil {
		v.gateway.fail(ctx, f)
		v.close()
		return
	}
	if claim.State == ClaimDone {
		v.replay(ctx, claim)
		v.close()
		return
	}
	a, f := v.dispatch()
	if f != nil {
		v.settle(f)
		v.gateway.fail(ctx, f)
		v.close()
		return
	}
	header := a.answer.Header()
	if header.Stream {
		v.stream(ctx, a, v.newRecord(header.Status))
		return
	}
	v.store(Answer{Status: header.Status, ContentType: header.ContentType, Body: a.body})
	v.whole(ctx, a)
	v.close()
}

// claim opens the claim of a request with a key. Without a failure the claim is
// open, or done. A claim whose opening failed is left alone, never cancelled: it
// may be that of an earlier request which was sent.
func (v *visit) claim() (Claim, *Failure) {
	if v.key == "" {
		return Claim{State: ClaimOpen}, nil
	}
	retryAfter := v.gateway.settings.retryAfter
	if !v.gateway.keys.hold(v.claimKey()) {
		return Claim{}, v.running()
	}
	ctx, cancel := clockwork.WithTimeout(v.ctx, v.gateway.Clock, v.gateway.settings.claimTimeout)
	defer cancel()
	claim, err := v.gateway.Claims.Open(ctx, v.claimKey(), v.fingerprint(), v.gateway.Clock.Now())
	if err != nil {
		v.gateway.keys.release(v.claimKey())
		return claim, failure(fasthttp.StatusServiceUnavailable, CodeClaims, err.Error()).after(retryAfter)
	}
	if claim.State != ClaimOpen {
		v.gateway.keys.release(v.claimKey())
	}
	switch claim.State {
	case ClaimOpen, ClaimDone:
		return claim, nil
	case ClaimConflict:
		return claim, failure(fasthttp.StatusConflict, CodeConflict, "the key was used with another request")
	case ClaimCancelled:
		return claim, failure(fasthttp.StatusConflict, CodeCancelled, "the request of this key was cancelled before it ran; use a new key")
	case ClaimRunning:
		return claim, v.running()
	}
	f := failure(fasthttp.StatusBadGateway, CodeInDoubt, "the request of this key may have run; an operator settles it")
	f.Ran = RanUnknown
	return claim, f
}

// running tells that another request holds the key.
func (v *visit) running() *Failure {
	f := failure(fasthttp.StatusConflict, CodeRunning, "a request with this key is running")
	f.Ran = RanUnknown
	return f.after(v.gateway.settings.retryAfter)
}

// dispatch sends the request. Another target is tried only while no byte has
// left; after that neither the caller's going nor its own timeout ends it, only
// the service's.
func (v *visit) dispatch() (*attempt, *Failure) {
	ctx, cancel := clockwork.WithDeadline(context.Background(), v.gateway.Clock, v.started.Add(v.service.Timeouts.Total))
	v.endDispatch = cancel
	v.gateway.budgets.of(v.service.Name).request()
	for {
		a, err := v.try(ctx, 0, true)
		if err == nil {
			return a, nil
		}
		if !v.again(err) {
			return nil, v.failure(err)
		}
	}
}

// settle closes the claim of a request that got no answer.
func (v *visit) settle(f *Failure) {
	if v.key == "" {
		return
	}
	if f.Ran == RanNo {
		v.cancelClaim()
		return
	}
	v.doubtClaim()
}

// store commits the outcome with its answer. If that fails the answer is given
// all the same, since it is true; the claim is in doubt once this host's
// session ends.
func (v *visit) store(answer Answer) {
	if v.key == "" {
		return
	}
	if len(answer.Body) > v.gateway.settings.storedBytes {
		answer.Body = nil
		answer.Truncated = true
	}
	v.commit("finish", func(ctx context.Context) error {
		return v.gateway.Claims.Finish(ctx, v.claimKey(), answer)
	})
}

// replay answers with the stored outcome.
func (v *visit) replay(ctx *fasthttp.RequestCtx, claim Claim) {
	if claim.Answer.Truncated {
		f := failure(fasthttp.StatusConflict, CodeNotStored, "the request has run; its answer was too long to be stored")
		f.Ran = RanYes
		v.gateway.fail(ctx, f)
		return
	}
	ctx.SetStatusCode(claim.Answer.Status)
	ctx.SetContentType(claim.Answer.ContentType)
	ctx.Response.Header.Set(HeaderReplayed, strconv.FormatBool(true))
	ctx.Response.SetBodyRaw(claim.Answer.Body)
	v.gateway.meters.answered.Inc(1)
}

func (v *visit) claimKey() ClaimKey {
	return ClaimKey{Workspace: v.workspace, Service: v.service.Name, Key: v.key}
}

func (v *visit) cancelClaim() {
	v.commit("cancel", func(ctx context.Context) error {
		return v.gateway.Claims.Cancel(ctx, v.claimKey())
	})
}

func (v *visit) doubtClaim() {
	v.commit("doubt", func(ctx context.Context) error {
		return v.gateway.Claims.Doubt(ctx, v.claimKey())
	})
}

// commit tries a change of the claim within the claim timeout, whatever has
// become of the caller. The caller's answer waits for it only shortly: it is
// true whether the change is committed or not.
func (v *visit) commit(what string, change func(ctx context.Context) error) {
	done := make(chan struct{})
	v.gateway.work.run(func() {
		defer close(done)
		ctx, cancel := clockwork.WithTimeout(context.Background(), v.gateway.Clock, v.gateway.settings.claimTimeout)
		defer cancel()
		if err := change(ctx); err != nil {
			v.gateway.log.WithError(errors.Wrapf(err, "%s claim", what)).
				Warnf("The claim of request %s is left to the end of this host's session.", v.id)
			return
		}
		v.gateway.keys.release(v.claimKey())
	})
	timer := v.gateway.Clock.NewTimer(v.gateway.settings.claimWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.Chan():
	}
}
