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
	// ErrPermitExpired is returned if the permit expired before the request was
	// sent.
	ErrPermitExpired = errors.New("permit expired before sending")
	// errServerStatus is returned if the target responded with a 5xx status.
	errServerStatus = errors.New("target failed")
)

// dispatcher sends one request to targets in consecutive attempts.
type dispatcher struct {
	*Request
	gateway *Gateway
	// ctx ends at the deadline or when the caller disconnects.
	ctx    context.Context
	cancel context.CancelFunc
	// callerCtx ends when the caller disconnects.
	callerCtx context.Context
	// key is the request's contentKey.
	key uint64

	excludedTargets []string
	// attempts counts the permit requests, failedAttempts the failed attempts
	// that count towards the maximum, and expiredPermits the permits that
	// expired before sending.
	attempts       int
	failedAttempts int
	expiredPermits int
	// resumes counts the attempts to resume a stream.
	resumes int
	// maybeSent is set once a byte of the request may have been sent to a
	// target that has not reported that it did not run it. possibleRuns counts
	// the attempts of that kind.
	maybeSent    bool
	possibleRuns int
	// errorResponse is the last attempt that returned a 5xx response to pass on
	// to the caller.
	errorResponse *attempt
	// target is the target of the last attempt.
	target string
	// lastDataAt is when the last attempt was sent, or when data of its response was
	// last read; zero before the first attempt.
	lastDataAt time.Time
	// lastEventID is the ID of the last event that the caller has received, relayedEvents the
	// number of events that it has received in this response.
	lastEventID   string
	relayedEvents int
	// relaying is set once a response is being relayed as a stream, which continues at
	// its offset on another target.
	relaying bool
	// eventMissing is set if an attempt failed within the next event of the stream or behind
	// it, so that the stream is not complete.
	eventMissing bool
	// version is the software version of the target that began the stream, if requiresVersion
	// is set: the stream goes on only at targets of that version.
	version         string
	requiresVersion bool
	// retryReserved is set while a retry was taken from the budget and not used.
	retryReserved bool
	// reserved is the permit of the next attempt; nil if it must be acquired.
	reserved *reservedPermit
	responseReservation
}

// attempt is a single transmission of a request to one target.
type attempt struct {
	// number increases with each attempt of the request.
	number      int
	permit      admission.Permit
	response    target.Response
	sentAt      time.Time
	firstByte   time.Duration
	body        []byte
	firstEvent  target.Event
	emptyStream bool
	// events is the number of events that were read of a stream.
	events int
	// isErrorResponse is set if body is the complete response of a target that
	// failed.
	isErrorResponse bool
	// awaited is set once the timeout of the silent target has passed and the attempt
	// goes on.
	awaited bool
	// connectionLost is set if the target closed the connection before the response was
	// complete.
	connectionLost bool
	// permitReleased is set once the permit is released or its release is
	// scheduled.
	permitReleased bool
}

// isSuccess reports whether the target reported success and responded with more than an
// empty stream.
func (a *attempt) isSuccess() bool {
	return a.response != nil && a.response.Header().Status < fasthttp.StatusMultipleChoices && !a.emptyStream
}

func (g *Gateway) newDispatcher(callerCtx context.Context, r *Request) *dispatcher {
	ctx, cancel := clockwork.WithDeadline(callerCtx, g.Clock, r.Deadline)
	return &dispatcher{
		Request: r, lastEventID: r.LastEventID, gateway: g, ctx: ctx, cancel: g.withStop(cancel), callerCtx: callerCtx,
		key: r.contentKey(),
	}
}

// sendAttempt acquires a permit and sends the request once. It returns at the
// first event of a stream, or when a non-streaming response is complete.
func (d *dispatcher) sendAttempt(ctx context.Context, offset int, newConnection bool) (*attempt, error) {
	permit, requestedAt, err := d.nextPermit()
	if err != nil {
		return nil, err
	}
	a := &attempt{number: d.attempts, permit: permit}
	d.target = permit.Target
	if offset > 0 && !permit.SupportsResume {
		d.finish(a, admission.OutcomeUnsent)
		return nil, &target.SendError{Err: errors.Wrapf(target.ErrNotSent, "%s does not resume", permit.Target)}
	}
	err = d.send(ctx, a, requestedAt, offset, newConnection)
	if err == nil {
		return a, nil
	}
	d.excludeTarget(a, err)
	d.abandon(a, err)
	return nil, err
}

// excludeTarget excludes the target that failed from the next attempts, unless
// the request was not sent or the failure was caused by a reused connection.
func (d *dispatcher) excludeTarget(a *attempt, err error) {
	if errors.Is(err, target.ErrNotSent) || isReusedConnectionError(err) {
		return
	}
	d.excludedTargets = append(d.excludedTargets, a.permit.Target)
}

// acquirePermit requests a permit. Targets that failed are excluded unless no
// other target is available.
func (d *dispatcher) acquirePermit() (admission.Permit, error) {
	permit, err := d.gateway.Admitter.Acquire(d.ctx, d.admissionRequest())
	var refusal *admission.Refusal
	if len(d.excludedTargets) == 0 || !errors.As(err, &refusal) || refusal.Code != admission.RefusedNoTarget {
		return permit, err
	}
	d.excludedTargets = nil
	return d.gateway.Admitter.Acquire(d.ctx, d.admissionRequest())
}

// admissionRequest returns the permit request of the next attempt.
func (d *dispatcher) admissionRequest() admission.Request {
	d.attempts++
	return admission.Request{
		ID: d.ID + "." + strconv.Itoa(d.attempts), Host: d.gateway.Host, Service: d.Service.Name,
		Workspace: d.Workspace, Chat: d.Chat, Priority: d.Call.Priority, Deadline: d.Deadline,
		Exclude: slices.Clone(d.excludedTargets), Prompt: d.Prompt, ContentKey: d.key, Objective: d.FirstByteObjective, Started: d.Started,
		ServiceConfig: &d.Service, Version: d.version, RequiresVersion: d.requiresVersion, Attempt: d.attempts, Idempotent: d.Call.Idempotent, BodyBytes: len(d.Body),
	}
}

// requireVersion limits the next attempts to targets of a software version.
func (d *dispatcher) requireVersion(version string) { d.version, d.requiresVersion = version, true }

// send sends the call and waits for the first event of a stream, or for a
// non-streaming response to complete.
func (d *dispatcher) send(ctx context.Context, a *attempt, requestedAt time.Time, offset int, newConnection bool) error {
	call := d.targetCall(a, offset, newConnection)
	maybeSentBefore := d.maybeSent
	call.ReserveBody = d.reserveBody
	if d.TimeoutsMoveOnly && d.Call.Idempotent {
		call.MayGiveUp = func() bool { return d.mayGiveUp(a) }
	}
	call.BeforeSend = func() error { return d.checkBeforeSend(a, requestedAt) }
	d.gateway.metrics.attempts.Inc(1)
	response, err := d.gateway.Sender.Send(ctx, call)
	d.reportResponse(a, response, err)
	if err != nil {
		return err
	}
	a.response, d.lastDataAt = response, d.gateway.Clock.Now()
	if response.Header().NotExecuted {
		d.maybeSent = maybeSentBefore
		d.possibleRuns--
		return &target.SendError{Err: errors.Wrapf(target.ErrNotExecuted, "%s answered %d", a.permit.Target, response.Header().Status)}
	}
	if response.Header().Status >= fasthttp.StatusInternalServerError && d.Call.Idempotent {
		return d.handleServerError(a)
	}
	if !response.Header().Stream {
		d.recordFirstByte(a)
		a.body, err = response.Body(d.gateway.settings.maxResponseBytes)
		return err
	}
	a.firstEvent, err = response.Next()
	a.emptyStream = errors.Is(err, errStreamEnd)
	if err != nil && !a.emptyStream {
		d.eventMissing = d.eventMissing || response.End().EventMissing
		return err
	}
	d.lastDataAt = d.gateway.Clock.Now()
	if !a.emptyStream {
		a.events = 1
	}
	d.recordFirstByte(a)
	return nil
}

// silence returns how long the target of the last attempt has sent nothing; 0 before
// the first attempt.
func (d *dispatcher) silence() time.Duration {
	if d.lastDataAt.IsZero() {
		return 0
	}
	return d.gateway.Clock.Since(d.lastDataAt)
}

// hostPause returns the longest time for which this host stood still since the request arrived; 0 if
// it did not, or if that is not known.
func (d *dispatcher) hostPause() time.Duration {
	if d.gateway.LongestPause == nil {
		return 0
	}
	return d.gateway.LongestPause(d.Started)
}

// reportResponse passes on what a target says of itself in a response, or in one that
// violates the protocol.
func (d *dispatcher) reportResponse(a *attempt, response target.Response, err error) {
	if d.gateway.OnTargetResponse == nil {
		return
	}
	var sendError *target.SendError
	switch {
	case err == nil:
		d.gateway.OnTargetResponse(a.permit, response.Header())
	case errors.As(err, &sendError):
		d.gateway.OnTargetResponse(a.permit, sendError.Header)
	}
}

// handleServerError keeps the complete error response of a target if the
// gateway is configured to return it to the caller once no attempt is left.
func (d *dispatcher) handleServerError(a *attempt) error {
	status := a.response.Header().Status
	if d.gateway.settings.targetErrors && !a.response.Header().Stream {
		body, err := a.response.Body(d.gateway.settings.maxResponseBytes)
		if err == nil {
			a.body, a.isErrorResponse = body, true
			d.errorResponse = a
		}
	}
	return errors.Wrapf(errServerStatus, "status %d", status)
}

// checkBeforeSend runs after the last step that may block. It checks that the
// permit and the authority of this host are still valid.
func (d *dispatcher) checkBeforeSend(a *attempt, permitRequestedAt time.Time) error {
	now := d.gateway.Clock.Now()
	if a.permit.ValidFor > 0 && now.Sub(permitRequestedAt) >= a.permit.ValidFor {
		return ErrPermitExpired
	}
	if err := d.gateway.Authority.Check(); err != nil {
		return errors.Wrap(err, "authority")
	}
	if err := d.ctx.Err(); err != nil {
		return err
	}
	a.sentAt, d.lastDataAt = now, now
	d.maybeSent = true
	d.possibleRuns++
	return nil
}

func (d *dispatcher) targetCall(a *attempt, offset int, newConnection bool) target.Call {
	permit, timeouts := a.permit, withDefaultTimeouts(d.Service.Timeouts)
	return target.Call{
		RequestID: d.ID, Attempt: a.number, Address: permit.Address, Service: d.Service.Name, Name: d.Call.Name,
		Workspace: d.Workspace, Chat: d.Chat, IdempotencyKey: d.IdempotencyKey, Priority: d.Call.Priority, FencingToken: permit.FencingToken,
		ContentType: d.ContentType, Body: d.Body, Offset: offset, Stream: d.Call.Stream, RequireNewConnection: newConnection,
		FirstByteTimeout: timeouts.FirstByte, GapTimeout: timeouts.Gap,
		CacheSource: permit.CacheSource, LastEventID: d.lastEventID, Target: permit.Target, Deadline: d.Deadline, Original: d.Original,
	}
}

// failureFor returns the failure that the caller receives for err.
func (d *dispatcher) failureFor(err error) *Failure {
	f := d.classifyError(err)
	f.Ran = RanNo
	if d.maybeSent {
		f.Ran = RanUnknown
	}
	return f
}

// classifyError converts err to a failure. The caller sets its field Ran.
func (d *dispatcher) classifyError(err error) *Failure {
	retryAfter := d.retryAfter()
	var refusal *admission.Refusal
	switch {
	case errors.As(err, &refusal):
		f := refusalFailure(refusal)
		if f.RetryAfter == 0 {
			f.RetryAfter = retryAfter
		}
		return f
	case d.callerCtx.Err() != nil:
		return failure(fasthttp.StatusBadGateway, CodeCallerGone, "the caller went away")
	case errors.Is(err, target.ErrNotSent):
		return failure(fasthttp.StatusServiceUnavailable, CodeNotReady, err.Error()).withRetryAfter(retryAfter)
	case errors.Is(err, target.ErrNotExecuted):
		return failure(fasthttp.StatusServiceUnavailable, CodeTargetFull, err.Error()).withRetryAfter(retryAfter)
	case d.gateway.stopping.Err() != nil && d.maybeSent:
		return failure(fasthttp.StatusGatewayTimeout, CodeDraining, "this host stopped before the response was complete").withRetryAfter(drainRetryAfter)
	case d.gateway.stopping.Err() != nil:
		return failure(fasthttp.StatusServiceUnavailable, CodeDraining, "this host is shutting down").withRetryAfter(drainRetryAfter)
	case d.ctx.Err() != nil:
		return failure(fasthttp.StatusGatewayTimeout, CodeDeadlineExceeded, "the deadline passed").withRetryAfter(retryAfter)
	case d.attempts > 0 && d.maybeSent:
		return failure(fasthttp.StatusBadGateway, CodeTargetFailed, err.Error()).withRetryAfter(retryAfter)
	}
	var sendError *target.SendError
	if errors.As(err, &sendError) {
		return failure(fasthttp.StatusServiceUnavailable, CodeTargetFailed, err.Error()).withRetryAfter(retryAfter)
	}
	return failure(fasthttp.StatusServiceUnavailable, CodeNoOwner, err.Error()).withRetryAfter(retryAfter)
}
