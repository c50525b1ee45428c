package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Errors within an exchange.
var (
	// ErrPermitExpired: the permit's time had run out before sending.
	ErrPermitExpired = errors.New("permit expired before sending")
	// errStatus: the target answered with a status that says it failed.
	errStatus = errors.New("target failed")
)

// maxExpired bounds the permits that one request lets expire.
const maxExpired = 3

// exchange is one request on its way: its attempts and what they left.
type exchange struct {
	*request
	gateway *Gateway
	// ctx ends with the deadline or when the caller goes away.
	ctx    context.Context
	cancel context.CancelFunc
	// gone tells that the caller has gone.
	gone context.Context

	excluded []string
	// attempts counts the permits asked for, tries the attempts that failed.
	attempts int
	tries    int
	expired  int
	resumes  int
	// sent is set once a byte of the request may have left.
	sent bool
}

// attempt is one sending of a request to one target.
type attempt struct {
	// number grows with each attempt of the request.
	number  int
	permit  admission.Permit
	answer  target.Answer
	sentAt  time.Time
	first   time.Duration
	body    []byte
	event   target.Event
	ended   bool
	release bool
}

func (g *Gateway) newExchange(gone context.Context, r *request) *exchange {
	ctx, cancel := clockwork.WithDeadline(gone, g.Clock, r.deadline)
	return &exchange{request: r, gateway: g, ctx: ctx, cancel: cancel, gone: gone}
}

// try gets a permit and sends the request once. For a stream it returns at the
// first event, for a plain answer when it is whole.
func (x *exchange) try(ctx context.Context, offset int, fresh bool) (*attempt, error) {
	asked := x.gateway.Clock.Now()
	permit, err := x.acquire()
	if err != nil {
		return nil, err
	}
	a := &attempt{number: x.attempts, permit: permit}
	if offset > 0 && !permit.Resumes {
		x.finish(a, admission.OutcomeUnsent)
		return nil, &target.SendError{Err: errors.Wrapf(target.ErrNotSent, "%s does not resume", permit.Target)}
	}
	err = x.send(ctx, a, asked, offset, fresh)
	if err == nil {
		return a, nil
	}
	x.exclude(a, err)
	x.abandon(a, err)
	return nil, err
}

// exclude keeps the next attempt from the target that failed, unless the
// failure was that of a connection used before.
func (x *exchange) exclude(a *attempt, err error) {
	if errors.Is(err, target.ErrNotSent) || reusedFailed(err) {
		return
	}
	x.excluded = append(x.excluded, a.permit.Target)
}

// acquire asks for a permit. Targets that failed are avoided, but only while
// there are others.
func (x *exchange) acquire() (admission.Permit, error) {
	permit, err := x.gateway.Admitter.Acquire(x.ctx, x.admission())
	var refusal *admission.Refusal
	if len(x.excluded) == 0 || !errors.As(err, &refusal) || refusal.Code != admission.RefusedNoTarget {
		return permit, err
	}
	x.excluded = nil
	return x.gateway.Admitter.Acquire(x.ctx, x.admission())
}

// admission asks for a permit for the next attempt.
func (x *exchange) admission() admission.Request {
	x.attempts++
	return admission.Request{
		ID: x.id + "." + strconv.Itoa(x.attempts), Host: x.gateway.Host, Service: x.service.Name,
		Workspace: x.workspace, Chat: x.chat, Priority: x.call.Priority, Deadline: x.deadline,
		Exclude: slices.Clone(x.excluded),
	}
}

// send sends the call and waits for the answer to begin, or for a plain answer
// to be whole.
func (x *exchange) send(ctx context.Context, a *attempt, asked time.Time, offset int, fresh bool) error {
	call := x.targetCall(a, offset, fresh)
	call.BeforeSend = func() error { return x.mayStillSend(a, asked) }
	x.gateway.meters.attempts.Inc(1)
	answer, err := x.gateway.Sender.Send(ctx, call)
	if err != nil {
		return err
	}
	a.answer = answer
	if answer.Header().Status >= fasthttp.StatusInternalServerError && x.call.Idempotent {
		return errors.Wrapf(errStatus, "status %d", answer.Header().Status)
	}
	if answer.Header().Stream {
		a.event, err = answer.Next()
		a.ended = errors.Is(err, errEOF)
		if a.ended {
			err = nil
		}
	} else {
		a.body, err = answer.Body(x.gateway.settings.answerBytes)
	}
	a.first = x.gateway.Clock.Since(a.sentAt)
	return err
}

// mayStillSend is checked after the last step that may block: the permit and
// this host's authority must still hold.
func (x *exchange) mayStillSend(a *attempt, asked time.Time) error {
	now := x.gateway.Clock.Now()
	if a.permit.ValidFor > 0 && now.Sub(asked) >= a.permit.ValidFor {
		return ErrPermitExpired
	}
	if err := x.gateway.Authority.Check(); err != nil {
		return errors.Wrap(err, "authority")
	}
	if err := x.ctx.Err(); err != nil {
		return err
	}
	a.sentAt = now
	x.sent = true
	return nil
}

func (x *exchange) targetCall(a *attempt, offset int, fresh bool) target.Call {
	permit := a.permit
	return target.Call{
		RequestID: x.id, Attempt: a.number, Address: permit.Address, Service: x.service.Name, Name: x.call.Name,
		Workspace: x.workspace, Chat: x.chat, Key: x.key, Priority: x.call.Priority, Fence: permit.Fence,
		ContentType: x.contentType, Body: x.body, Offset: offset, Stream: x.call.Stream, Fresh: fresh,
		FirstByte: x.service.Timeouts.FirstByte, Gap: x.service.Timeouts.Gap,
	}
}

// finish gives an attempt's connection and permit back.
func (x *exchange) finish(a *attempt, outcome admission.Outcome) {
	if a.release {
		return
	}
	a.release = true
	if a.answer != nil {
		a.answer.Close()
	}
	x.gateway.Admitter.Release(admission.Release{
		RequestID: a.permit.RequestID, Service: x.service.Name, Target: a.permit.Target,
		Outcome: outcome, FirstByte: a.first,
	})
}

// abandon gives up a failed attempt. A request that may still run on the target
// is stopped there before its permit is given back.
func (x *exchange) abandon(a *attempt, err error) {
	x.gateway.logAttempt(x, a, err)
	outcome := x.outcome(a, err)
	if !x.stoppable(a, err) {
		x.finish(a, outcome)
		return
	}
	if a.answer != nil {
		a.answer.Close()
	}
	x.gateway.work.run(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), x.gateway.Clock, x.gateway.settings.cancelTimeout)
		defer cancel()
		_ = x.gateway.Sender.Cancel(ctx, a.permit.Address, x.id, a.number)
		x.finish(a, outcome)
	})
}

// stoppable reports whether the target may still be at work on an attempt whose
// answer nobody will read. A call that is not idempotent is never stopped.
func (x *exchange) stoppable(a *attempt, err error) bool {
	return x.call.Idempotent && !a.sentAt.IsZero() && !errors.Is(err, errStatus)
}

func (x *exchange) outcome(a *attempt, err error) admission.Outcome {
	switch {
	case x.gone.Err() != nil:
		return admission.OutcomeCancelled
	case errors.Is(err, target.ErrNotSent):
		return admission.OutcomeUnsent
	case a.sentAt.IsZero() && !errors.Is(err, target.ErrUnreachable):
		return admission.OutcomeUnsent
	}
	return admission.OutcomeFailed
}

// run makes attempts until one has an answer or nothing is left to try.
func (x *exchange) run() (*attempt, *Failure) {
	x.gateway.budgets.of(x.service.Name).request()
	for {
		a, err := x.try(x.ctx, 0, x.tries > 0 || !x.call.Idempotent)
		if err == nil {
			return a, nil
		}
		if !x.again(err) {
			return nil, x.failure(err)
		}
	}
}

// again decides on another attempt, and waits for the back-off.
func (x *exchange) again(err error) bool {
	if x.ctx.Err() != nil {
		return false
	}
	if errors.Is(err, ErrPermitExpired) {
		x.expired++
		return x.expired < maxExpired
	}
	if !x.retryable(err) {
		return false
	}
	x.tries++
	if x.tries >= x.gateway.settings.attempts || !x.payRetry(err) {
		return false
	}
	x.gateway.meters.retries.Inc(1)
	return x.backOff()
}

// payRetry takes a retry from the budget. The failure of a connection used
// before costs nothing: the pool has then dropped the target's connections, and
// the next attempt opens one, so such retries end by themselves.
func (x *exchange) payRetry(err error) bool {
	return reusedFailed(err) || x.gateway.budgets.of(x.service.Name).take()
}

func reusedFailed(err error) bool {
	var sendError *target.SendError
	return errors.As(err, &sendError) && sendError.Reused
}

// retryable reports whether another attempt is allowed at all: for idempotent
// work after a failure of the target, and for other work only while no byte has
// left.
func (x *exchange) retryable(err error) bool {
	var sendError *target.SendError
	if errors.Is(err, target.ErrNotSent) {
		return false
	}
	if !errors.As(err, &sendError) && !errors.Is(err, errStatus) && !isAnswerError(err) {
		return false
	}
	return x.call.Idempotent || !x.sent
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
func (x *exchange) backOff() bool {
	mean := x.gateway.settings.backoff << max(x.tries-1, 0)
	if mean <= 0 {
		return true
	}
	wait := mean/2 + rand.N(mean) //nolint:gosec // Spreads retries; not a secret.
	if x.gateway.Clock.Now().Add(wait).After(x.deadline) {
		return false
	}
	timer := x.gateway.Clock.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-x.ctx.Done():
		return false
	}
}

// failure tells the caller why there is no answer.
func (x *exchange) failure(err error) *Failure {
	f := x.describe(err)
	f.Ran = RanNo
	if x.sent {
		f.Ran = RanUnknown
	}
	return f
}

func (x *exchange) describe(err error) *Failure {
	retryAfter := x.gateway.settings.retryAfter
	var refusal *admission.Refusal
	switch {
	case errors.As(err, &refusal):
		f := refusalFailure(refusal)
		if f.RetryAfter == 0 {
			f.RetryAfter = retryAfter
		}
		return f
	case x.gone.Err() != nil:
		return failure(fasthttp.StatusBadGateway, CodeCallerGone, "the caller went away")
	case errors.Is(err, target.ErrNotSent):
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, err.Error()).after(retryAfter)
	case x.ctx.Err() != nil:
		return failure(fasthttp.StatusGatewayTimeout, CodeDeadline, "the deadline passed").after(retryAfter)
	case x.attempts > 0 && x.sent:
		return failure(fasthttp.StatusBadGateway, CodeTarget, err.Error()).after(retryAfter)
	}
	var sendError *target.SendError
	if errors.As(err, &sendError) {
		return failure(fasthttp.StatusServiceUnavailable, CodeTarget, err.Error()).after(retryAfter)
	}
	return failure(fasthttp.StatusServiceUnavailable, CodeNoOwner, err.Error()).after(retryAfter)
}
