package gateway

import (
	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// errBroken ends a stream that failed: the connection closes without the last
// chunk.
var errBroken = errors.New("answer not whole")

// errCallerGone ends a stream that nobody reads.
var errCallerGone = errors.New("caller gone")

// errorEvent is the name of the event that tells why a stream is not whole.
const errorEvent = "error"

// relay is the body of a streamed answer. Each Read waits for one event and adds
// those that have arrived with it; the HTTP server sends them as one chunk.
type relay struct {
	*exchange
	attempt *attempt
	record  *record

	next    int
	begun   bool
	pending []byte
	buffer  []byte
	err     error
	closed  bool
}

// Read returns the next part of the stream.
func (r *relay) Read(p []byte) (int, error) {
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

// fill prepares the next event and those that need no waiting, up to enough
// bytes.
func (r *relay) fill(enough int) {
	r.buffer = r.buffer[:0]
	r.advance()
	for r.err == nil && len(r.buffer) < enough && r.attempt.answer.Ready() {
		r.advance()
	}
	r.pending = r.buffer
}

// advance appends the next event, the end mark or the error event.
func (r *relay) advance() {
	event, err := r.event()
	switch {
	case err == nil:
		r.next++
		begin := len(r.buffer)
		r.lastEvent = event.ID
		r.buffer = r.gateway.Codec.AppendEvent(r.buffer, event)
		r.record.add(r.buffer[begin:])
	case errors.Is(err, errEOF):
		r.end()
	default:
		r.fail(err)
	}
}

// event returns the next event, from another connection if this one failed.
func (r *relay) event() (target.Event, error) {
	for {
		event, err := r.read()
		if err == nil || errors.Is(err, errEOF) {
			return event, err
		}
		if !r.resume(err) {
			return event, err
		}
	}
}

// read returns the attempt's next event; its first one has been read already.
func (r *relay) read() (target.Event, error) {
	if r.begun {
		return r.attempt.answer.Next()
	}
	r.begun = true
	if r.attempt.ended {
		return target.Event{}, errEOF
	}
	return r.attempt.event, nil
}

// resume continues a cut stream at its offset through another connection. A
// target that can't be reached, or cuts the stream again without an event, costs
// no retry: when one dies, every stream on it has to move, and they are only as
// many as it had.
func (r *relay) resume(cause error) bool {
	if !r.Call.Idempotent || !r.attempt.permit.Resumes || r.ctx.Err() != nil {
		return false
	}
	if r.MaxAttempts > 0 && r.runs >= r.MaxAttempts {
		return false
	}
	cutBy := r.attempt.permit.Target
	r.giveUp(cause)
	if r.gateway.settings.strictBudget && !r.gateway.RetryBudget.TakeRetry(r.Service.Name) {
		return false
	}
	for r.resumes < r.gateway.settings.resumes {
		r.resumes++
		a, err := r.try(r.ctx, r.next, true)
		if err == nil {
			r.attempt, r.begun = a, false
			r.gateway.meters.resumed.Inc(1)
			return true
		}
		if r.ctx.Err() != nil || !r.retryable(err) || !r.payResume(err, cutBy) || !r.backOff() {
			return false
		}
	}
	return false
}

// payResume takes a retry from the budget unless the failure belongs to the
// death of the target that cut the stream. The next attempt avoids that target.
func (r *relay) payResume(err error, cutBy string) bool {
	if errors.Is(err, target.ErrUnreachable) {
		return true
	}
	if errors.Is(err, target.ErrCut) && r.target == cutBy && !r.gateway.settings.strictBudget {
		return true
	}
	return r.gateway.RetryBudget.TakeRetry(r.Service.Name)
}

// giveUp abandons the attempt that failed. A target whose connection was cut may
// be asked again; one that misbehaved is avoided.
func (r *relay) giveUp(cause error) {
	if !errors.Is(cause, target.ErrCut) {
		r.excluded = append(r.excluded, r.attempt.permit.Target)
	}
	r.abandon(r.attempt, cause)
}

// end appends the end mark of a whole stream.
func (r *relay) end() {
	end := r.attempt.answer.End()
	r.finish(r.attempt, admission.OutcomeDone)
	r.gateway.logDone(r.dispatcher, r.attempt, end.Warm)
	r.gateway.meters.answered.Inc(1)
	r.gateway.meters.repeated.Inc(int64(end.Repeated))
	begin := len(r.buffer)
	r.buffer = r.gateway.Codec.AppendEnd(r.buffer, r.Request, StreamEnd{
		Events: r.next, Target: r.attempt.permit.Target, Warm: end.Warm,
	})
	r.err = errEOF
	r.record.add(r.buffer[begin:])
	r.record.done()
}

// fail appends the error event of a stream that is not whole.
func (r *relay) fail(err error) {
	r.record.failed()
	r.abandon(r.attempt, err)
	f := r.failure(err)
	r.gateway.meters.failed(f)
	r.gateway.logBroken(r.dispatcher, r.next, f)
	r.buffer = r.gateway.Codec.AppendFailure(r.buffer, r.next, f)
	r.err = errBroken
}

// Close ends the exchange. A stream whose caller has gone is stopped on the
// target, but a call that runs at most once is read to its end.
func (r *relay) Close() error {
	if r.closed {
		return nil
	}
	r.closed = true
	for r.err == nil && !r.Call.Idempotent && !r.Call.StopsWithCaller {
		r.fill(0)
	}
	if r.err == nil {
		r.leave()
		r.abandon(r.attempt, errCallerGone)
	}
	r.close()
	return nil
}
