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

	nextOffset     int
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
	r.appendNext()
	for r.err == nil && len(r.buffer) < minBytes && r.attempt.response.EventBuffered() {
		r.appendNext()
	}
	r.pending = r.buffer
}

// appendNext appends the next event, the end event or the error event.
func (r *streamRelay) appendNext() {
	event, err := r.nextEvent()
	switch {
	case err == nil:
		r.nextOffset++
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
		return r.attempt.response.Next()
	}
	r.firstEventRead = true
	if r.attempt.emptyStream {
		return target.Event{}, errStreamEnd
	}
	return r.attempt.firstEvent, nil
}

// resume continues a cut stream at its offset on another connection. If the
// target is unreachable, or cuts the stream again before an event, the retry
// budget is not charged: when a target fails, all of its streams must move, and
// their number is limited by what it was serving.
func (r *streamRelay) resume(cause error) bool {
	if !r.Call.Idempotent || !r.attempt.permit.Resumes || r.ctx.Err() != nil {
		return false
	}
	if r.MaxAttempts > 0 && r.possibleRuns >= r.MaxAttempts {
		return false
	}
	cutTarget := r.attempt.permit.Target
	r.abandonFailed(cause)
	if r.gateway.settings.strictRetryBudget && !r.gateway.RetryBudget.TakeRetry(r.Service.Name) {
		return false
	}
	for r.resumes < r.gateway.settings.maxResumes {
		r.resumes++
		a, err := r.sendAttempt(r.ctx, r.nextOffset, true)
		if err == nil {
			r.attempt, r.firstEventRead = a, false
			r.gateway.metrics.resumedStreams.Inc(1)
			return true
		}
		if r.ctx.Err() != nil || !r.retryable(err) || !r.chargeResume(err, cutTarget) || !r.backOff() {
			return false
		}
	}
	return false
}

// chargeResume takes a retry from the budget unless the failure has the same
// cause as the original cut: the failure of the target that cut the stream. The
// next attempt avoids that target.
func (r *streamRelay) chargeResume(err error, cutTarget string) bool {
	if errors.Is(err, target.ErrUnreachable) {
		return true
	}
	if errors.Is(err, target.ErrTruncated) && r.target == cutTarget && !r.gateway.settings.strictRetryBudget {
		return true
	}
	return r.gateway.RetryBudget.TakeRetry(r.Service.Name)
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
	r.gateway.metrics.answered.Inc(1)
	r.gateway.metrics.repeatedEvents.Inc(int64(end.DuplicateEvents))
	begin := len(r.buffer)
	r.buffer = r.gateway.Codec.AppendEnd(r.buffer, r.Request, StreamEnd{
		Events: r.nextOffset, Target: r.attempt.permit.Target, Warm: end.CacheHit,
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
	r.gateway.logCutStream(r.dispatcher, r.nextOffset, f)
	r.buffer = r.gateway.Codec.AppendFailure(r.buffer, r.nextOffset, f)
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
