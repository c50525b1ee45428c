package gateway

import (
	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// errIncompleteResponse ends a stream that failed: the connection is closed
// without the last chunk.
var errIncompleteResponse = errors.New("incomplete response")

// errCallerGone ends a stream whose caller has disconnected.
var errCallerGone = errors.New("caller disconnected")

// errorEvent is the name of the event that reports why a stream is incomplete.
const errorEvent = "error"

// streamRelay is the body of a streamed response. Each Read waits for one event
// and adds those that have already arrived; the HTTP server sends them as one
// chunk.
type streamRelay struct {
	*exchange
	attempt  *attempt
	recorder *streamRecorder

	firstEventRead bool
	pending        []byte
	buffer         []byte
	err            error
	closed         bool
}

// Read returns the next part of the stream.
func (r *streamRelay) Read(p []byte) (int, error) {
	if len(r.pending) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		r.fill(len(p) / 2)
	}
	n := copy(p, r.pending)
	r.pending = r.pending[n:]
	return n, nil
}

// fill buffers the next event and those that are available without waiting,
// until the buffer has at least minBytes bytes.
func (r *streamRelay) fill(minBytes int) {
	r.buffer = r.buffer[:0]
	returns := false
	defer func() {
		// The HTTP server recovers from a panic. What could be read after it is not the rest.
		if !returns {
			r.appendFailure(errIncompleteResponse)
		}
	}()
	r.appendNext()
	for r.err == nil && len(r.buffer) < minBytes && r.attempt.response.EventBuffered() {
		r.appendNext()
	}
	r.pending = r.buffer
	returns = true
}

// appendNext appends the next event, the end event or the error event.
func (r *streamRelay) appendNext() {
	event, err := r.nextEvent()
	switch {
	case err == nil:
		r.relayedEvents++
		r.eventMissing = false
		begin := len(r.buffer)
		r.lastEventID = event.ID
		r.buffer = r.gateway.Codec.AppendEvent(r.buffer, event)
		r.recorder.add(r.buffer[begin:])
	case errors.Is(err, errStreamEnd):
		r.appendEnd()
	default:
		r.appendFailure(err)
	}
}

// nextEvent returns the next event, from another connection if the current one
// failed.
func (r *streamRelay) nextEvent() (target.Event, error) {
	for {
		event, err := r.readEvent()
		if err == nil || errors.Is(err, errStreamEnd) {
			return event, err
		}
		if !r.resume(err) {
			return event, err
		}
	}
}

// readEvent returns the next event of the attempt, whose first event has
// already been read.
func (r *streamRelay) readEvent() (target.Event, error) {
	if r.firstEventRead {
		event, err := r.attempt.response.Next()
		if err == nil {
			r.lastDataAt = r.gateway.Clock.Now()
			r.attempt.events++
		}
		return event, err
	}
	r.firstEventRead = true
	if r.attempt.emptyStream {
		return target.Event{}, errStreamEnd
	}
	return r.attempt.firstEvent, nil
}

// resume continues a cut stream at its offset on another connection. The first
// resume is not charged to the retry budget unless the budget is strict: when a
// target fails, all of its streams must move, and there are only as many as it
// was serving.
func (r *streamRelay) resume(cause error) bool {
	obstacle := r.resumeObstacle(cause)
	if obstacle == noObstacle {
		return true
	}
	r.gateway.logNotResumed(r.dispatcher, r.relayedEvents, obstacle, cause)
	return false
}

// resumeObstacle resumes the stream and returns noObstacle, or returns what prevents
// it.
func (r *streamRelay) resumeObstacle(cause error) retryObstacle {
	switch {
	case r.ctx.Err() != nil:
		return r.endObstacle()
	case !r.Call.Idempotent:
		return obstacleNotRetryable
	case !r.attempt.permit.SupportsResume:
		return obstacleNotResumable
	case !r.hasRunLeft():
		return obstacleAttempts
	}
	cutTarget := r.attempt.permit.Target
	if r.gateway.settings.strictRetryBudget && !r.takeRetry() {
		return obstacleRetryBudget
	}
	r.eventMissing = r.eventMissing || r.attempt.response.End().EventMissing
	r.abandonFailed(cause)
	for r.resumes < r.gateway.settings.maxResumes {
		r.resumes++
		a, err := r.sendRest()
		if err == nil {
			r.attempt, r.firstEventRead = a, false
			r.gateway.metrics.resumedStreams.Inc(1)
			return noObstacle
		}
		switch {
		case r.ctx.Err() != nil:
			return r.endObstacle()
		case isRefusal(err):
			return obstacleNoPermit
		case !r.retryable(err):
			return obstacleNotRetryable
		case !r.hasRunLeft():
			return obstacleAttempts
		case !r.chargeResume(err, cutTarget):
			return obstacleRetryBudget
		case !r.backOff():
			return r.endObstacle()
		}
	}
	return obstacleAttempts
}

// sendRest makes one attempt to continue the stream. A response of another kind or
// status than that of the stream is no part of it, nor is an empty one the rest of a stream
// of which an event is missing.
func (r *streamRelay) sendRest() (*attempt, error) {
	a, err := r.sendAttempt(r.ctx, r.relayedEvents, true)
	if err != nil {
		return nil, err
	}
	header := a.response.Header()
	switch {
	case !header.Stream || header.Status != r.attempt.response.Header().Status:
		err = errors.Wrapf(target.ErrMalformedResponse, "status %d, stream %t, for the rest of a stream", header.Status, header.Stream)
	case a.emptyStream && r.eventMissing:
		err = errors.Wrap(target.ErrMalformedResponse, "no events for the rest of a stream with an event missing")
	default:
		return a, nil
	}
	r.excludeTarget(a, err)
	r.finish(a, admission.OutcomeDone)
	return nil, err
}

// chargeResume charges another resume to the retry budget and reports whether it
// is allowed. It is free after a failure with the same cause as the original
// cut: a target is unreachable or, unless the budget is strict, the target that
// cut the stream has cut it again before an event. The next attempt avoids the
// target that failed.
func (r *streamRelay) chargeResume(err error, cutTarget string) bool {
	if errors.Is(err, target.ErrUnreachable) {
		return true
	}
	if errors.Is(err, target.ErrTruncated) && r.target == cutTarget && !r.gateway.settings.strictRetryBudget {
		return true
	}
	return r.takeRetry()
}

// abandonFailed abandons the failed attempt. A target whose connection was cut
// may be tried again; one that sent invalid data or timed out is avoided.
func (r *streamRelay) abandonFailed(cause error) {
	if !errors.Is(cause, target.ErrTruncated) {
		r.excludedTargets = append(r.excludedTargets, r.attempt.permit.Target)
	}
	r.abandon(r.attempt, cause)
}

// appendEnd appends the end event of a complete stream.
func (r *streamRelay) appendEnd() {
	end := r.attempt.response.End()
	r.finish(r.attempt, admission.OutcomeDone)
	r.gateway.logCompleted(r.dispatcher, r.attempt, end.CacheHit)
	r.gateway.metrics.completed.Inc(1)
	r.gateway.metrics.duplicateEvents.Inc(int64(end.DuplicateEvents))
	begin := len(r.buffer)
	r.buffer = r.gateway.Codec.AppendEnd(r.buffer, r.Request, StreamEnd{
		Events: r.relayedEvents, Target: r.attempt.permit.Target, Warm: end.CacheHit,
	})
	r.err = errStreamEnd
	r.recorder.add(r.buffer[begin:])
	r.recorder.commitResponse()
}

// appendFailure appends the error event of an incomplete stream.
func (r *streamRelay) appendFailure(err error) {
	r.recorder.markInDoubt()
	r.abandon(r.attempt, err)
	f := r.failureFor(err)
	r.gateway.metrics.countFailure(f)
	r.gateway.logCutStream(r.dispatcher, r.relayedEvents, f)
	r.buffer = r.gateway.Codec.AppendFailure(r.buffer, r.relayedEvents, f)
	r.err = errIncompleteResponse
}

// Close ends the exchange. If the caller has disconnected, the stream is
// cancelled on the target; the stream of a call that runs at most once is read
// to its end instead.
func (r *streamRelay) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	// The HTTP server doesn't read the body of a response that has none.
	if r.err == nil && r.attempt.emptyStream && !r.firstEventRead {
		r.fill(0)
	}
	for r.err == nil && !r.Call.Idempotent && !r.Call.StopsWithCaller {
		r.fill(0)
	}
	if r.err == nil {
		r.cancelCaller()
		r.abandon(r.attempt, errCallerGone)
	}
	r.close()
	return nil
}
