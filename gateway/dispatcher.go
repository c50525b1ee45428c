package gateway

import (
	"context"
	"slices"
	"strconv"
	"time"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
)

// Errors of an attempt.
var (
	// ErrPermitExpired: the permit's time had run out before sending.
	ErrPermitExpired = errors.New("permit expired before sending")
	// errStatus: the target answered with a status that says it failed.
	errStatus = errors.New("target failed")
)

// dispatcher sends one request to targets, by one attempt after the other.
type dispatcher struct {
	*Request
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
	// sent is set once a byte of the request may have left for a target that has
	// not said that it did not run it; runs counts the attempts of that kind.
	sent bool
	runs int
	// failed is the last attempt whose answer says that the target failed.
	failed *attempt
	// target is the one of the last attempt.
	target string
	// lastEvent is the ID of the last event that the caller has.
	lastEvent string
}

// attempt is one sending of a request to one target.
type attempt struct {
	// number grows with each attempt of the request.
	number int
	permit admission.Permit
	answer target.Answer
	sentAt time.Time
	first  time.Duration
	body   []byte
	event  target.Event
	ended  bool
	// failed is set when body is the whole answer of a target that failed.
	failed bool
	// over is set once the attempt's permit is given back or about to be.
	over bool
}

func (g *Gateway) newDispatcher(gone context.Context, r *Request) *dispatcher {
	ctx, cancel := clockwork.WithDeadline(gone, g.Clock, r.Deadline)
	return &dispatcher{Request: r, lastEvent: r.LastEventID, gateway: g, ctx: ctx, cancel: cancel, gone: gone}
}

// try gets a permit and sends the request once. For a stream it returns at the
// first event, for a plain answer when it is whole.
func (d *dispatcher) try(ctx context.Context, offset int, fresh bool) (*attempt, error) {
	asked := d.gateway.Clock.Now()
	permit, err := d.acquire()
	if err != nil {
		return nil, err
	}
	a := &attempt{number: d.attempts, permit: permit}
	d.target = permit.Target
	if offset > 0 && !permit.Resumes {
		d.finish(a, admission.OutcomeUnsent)
		return nil, &target.SendError{Err: errors.Wrapf(target.ErrNotSent, "%s does not resume", permit.Target)}
	}
	err = d.send(ctx, a, asked, offset, fresh)
	if err == nil {
		return a, nil
	}
	d.exclude(a, err)
	d.abandon(a, err)
	return nil, err
}

// exclude keeps the next attempt from the target that failed, unless the
// failure was that of a connection used before.
func (d *dispatcher) exclude(a *attempt, err error) {
	if errors.Is(err, target.ErrNotSent) || reusedFailed(err) {
		return
	}
	d.excluded = append(d.excluded, a.permit.Target)
}

// acquire asks for a permit. Targets that failed are avoided, but only while
// there are others.
func (d *dispatcher) acquire() (admission.Permit, error) {
	permit, err := d.gateway.Admitter.Acquire(d.ctx, d.admission())
	var refusal *admission.Refusal
	if len(d.excluded) == 0 || !errors.As(err, &refusal) || refusal.Code != admission.RefusedNoTarget {
		return permit, err
	}
	d.excluded = nil
	return d.gateway.Admitter.Acquire(d.ctx, d.admission())
}

// admission asks for a permit for the next attempt.
func (d *dispatcher) admission() admission.Request {
	d.attempts++
	return admission.Request{
		ID: d.ID + "." + strconv.Itoa(d.attempts), Host: d.gateway.Host, Service: d.Service.Name,
		Workspace: d.Workspace, Chat: d.Chat, Priority: d.Call.Priority, Deadline: d.Deadline,
		Exclude: slices.Clone(d.excluded), Prompt: d.Prompt, Objective: d.FirstByteObjective, Started: d.Started,
	}
}

// send sends the call and waits for the answer to begin, or for a plain answer
// to be whole.
func (d *dispatcher) send(ctx context.Context, a *attempt, asked time.Time, offset int, fresh bool) error {
	call := d.targetCall(a, offset, fresh)
	before := d.sent
	call.BeforeSend = func() error { return d.mayStillSend(a, asked) }
	d.gateway.meters.attempts.Inc(1)
	answer, err := d.gateway.Sender.Send(ctx, call)
	if err != nil {
		return err
	}
	a.answer = answer
	if load := answer.Header().Load; load != nil && d.gateway.OnTargetLoad != nil {
		d.gateway.OnTargetLoad(a.permit.Target, *load)
	}
	if answer.Header().NotRun {
		d.sent = before
		d.runs--
		return &target.SendError{Err: errors.Wrapf(target.ErrNotRun, "%s answered %d", a.permit.Target, answer.Header().Status)}
	}
	if answer.Header().Status >= fasthttp.StatusInternalServerError && d.Call.Idempotent {
		return d.failedAnswer(a)
	}
	if !answer.Header().Stream {
		a.first = d.gateway.Clock.Since(a.sentAt)
		a.body, err = answer.Body(d.gateway.settings.answerBytes)
		return err
	}
	a.event, err = answer.Next()
	a.ended = errors.Is(err, errEOF)
	if err != nil && !a.ended {
		return err
	}
	a.first = d.gateway.Clock.Since(a.sentAt)
	return nil
}

// failedAnswer keeps the whole answer of a target that says it failed, where
// callers get such answers once no attempt is left.
func (d *dispatcher) failedAnswer(a *attempt) error {
	status := a.answer.Header().Status
	if d.gateway.settings.targetErrors && !a.answer.Header().Stream {
		body, err := a.answer.Body(d.gateway.settings.answerBytes)
		if err == nil {
			a.body, a.failed = body, true
			d.failed = a
		}
	}
	return errors.Wrapf(errStatus, "status %d", status)
}

// mayStillSend is checked after the last step that may block: the permit and
// this host's authority must still hold.
func (d *dispatcher) mayStillSend(a *attempt, asked time.Time) error {
	now := d.gateway.Clock.Now()
	if a.permit.ValidFor > 0 && now.Sub(asked) >= a.permit.ValidFor {
		return ErrPermitExpired
	}
	if err := d.gateway.Authority.Check(); err != nil {
		return errors.Wrap(err, "authority")
	}
	if err := d.ctx.Err(); err != nil {
		return err
	}
	a.sentAt = now
	d.sent = true
	d.runs++
	return nil
}

func (d *dispatcher) targetCall(a *attempt, offset int, fresh bool) target.Call {
	permit, timeouts := a.permit, withDefaults(d.Service.Timeouts)
	return target.Call{
		RequestID: d.ID, Attempt: a.number, Address: permit.Address, Service: d.Service.Name, Name: d.Call.Name,
		Workspace: d.Workspace, Chat: d.Chat, Key: d.IdempotencyKey, Priority: d.Call.Priority, Fence: permit.Fence,
		ContentType: d.ContentType, Body: d.Body, Offset: offset, Stream: d.Call.Stream, Fresh: fresh,
		FirstByte: timeouts.FirstByte, Gap: timeouts.Gap,
		CacheFrom: permit.CacheFrom, LastEvent: d.lastEvent, Target: permit.Target, Deadline: d.Deadline, Original: d.Original,
	}
}

// finish gives an attempt's connection and permit back.
func (d *dispatcher) finish(a *attempt, outcome admission.Outcome) {
	if a.over {
		return
	}
	a.over = true
	d.giveBack(a, outcome)
}

func (d *dispatcher) giveBack(a *attempt, outcome admission.Outcome) {
	if a.answer != nil {
		a.answer.Close()
	}
	d.gateway.Admitter.Release(admission.Release{
		RequestID: a.permit.RequestID, Service: d.Service.Name, Target: a.permit.Target,
		Outcome: outcome, FirstByte: a.first,
	})
}

// abandon gives up a failed attempt. A request that may still run on the target
// is stopped there before its permit is given back.
func (d *dispatcher) abandon(a *attempt, err error) {
	if a.over {
		return
	}
	a.over = true
	d.gateway.logAttempt(d, a, err)
	outcome := d.outcome(a, err)
	if !d.stoppable(a, err) {
		d.giveBack(a, outcome)
		return
	}
	if a.answer != nil {
		a.answer.Close()
	}
	d.gateway.work.run(func() {
		ctx, cancel := clockwork.WithTimeout(context.Background(), d.gateway.Clock, d.gateway.settings.cancelTimeout)
		defer cancel()
		_ = d.gateway.Sender.Cancel(ctx, a.permit.Address, d.ID, a.number)
		d.giveBack(a, outcome)
	})
}

// stoppable reports whether the target may still be at work on an attempt whose
// answer nobody will read. A call that is not idempotent is never stopped.
func (d *dispatcher) stoppable(a *attempt, err error) bool {
	stops := d.Call.Idempotent || d.Call.StopsWithCaller
	return stops && !a.sentAt.IsZero() && !errors.Is(err, errStatus) && !errors.Is(err, target.ErrNotRun)
}

func (d *dispatcher) outcome(a *attempt, err error) admission.Outcome {
	switch {
	case d.gone.Err() != nil:
		return admission.OutcomeCancelled
	case errors.Is(err, target.ErrNotSent):
		return admission.OutcomeUnsent
	case errors.Is(err, target.ErrNotRun):
		return admission.OutcomeRefused
	case errors.Is(err, target.ErrUnreachable):
		return admission.OutcomeUnreachable
	case a.sentAt.IsZero():
		return admission.OutcomeUnsent
	}
	return admission.OutcomeFailed
}

// failure tells the caller why there is no answer.
func (d *dispatcher) failure(err error) *Failure {
	f := d.describe(err)
	f.Ran = RanNo
	if d.sent {
		f.Ran = RanUnknown
	}
	return f
}

func (d *dispatcher) describe(err error) *Failure {
	retryAfter := d.gateway.settings.retryAfter
	var refusal *admission.Refusal
	switch {
	case errors.As(err, &refusal):
		f := refusalFailure(refusal)
		if f.RetryAfter == 0 {
			f.RetryAfter = retryAfter
		}
		return f
	case d.gone.Err() != nil:
		return failure(fasthttp.StatusBadGateway, CodeCallerGone, "the caller went away")
	case errors.Is(err, target.ErrNotSent):
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, err.Error()).after(retryAfter)
	case errors.Is(err, target.ErrNotRun):
		return failure(fasthttp.StatusServiceUnavailable, CodeTargetFull, err.Error()).after(retryAfter)
	case d.ctx.Err() != nil:
		return failure(fasthttp.StatusGatewayTimeout, CodeDeadlineExceeded, "the deadline passed").after(retryAfter)
	case d.attempts > 0 && d.sent:
		return failure(fasthttp.StatusBadGateway, CodeTargetFailed, err.Error()).after(retryAfter)
	}
	var sendError *target.SendError
	if errors.As(err, &sendError) {
		return failure(fasthttp.StatusServiceUnavailable, CodeTargetFailed, err.Error()).after(retryAfter)
	}
	return failure(fasthttp.StatusServiceUnavailable, CodeNoOwner, err.Error()).after(retryAfter)
}
