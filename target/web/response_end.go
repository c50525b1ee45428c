package web

import (
	"io"
	"os"
	"syscall"

	"comfreytiller.dev/common/head"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/conn"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// bodyEnd is what is known of a response whose reader has found the end of the body.
type bodyEnd struct {
	framing target.Framing
	// length is the announced number of bytes, received how many of them have arrived; 0 for
	// other framings.
	length, received int
	// hasNoEvent is set for a successful stream without any event that is new to the caller.
	hasNoEvent bool
	// writeErr is the error of writing the request, and connErr that of the connection.
	writeErr, connErr error
}

// check returns target.ErrTruncated unless the response is complete, and what has ended it. The
// framing shows the end of a response in chunks or with a length. If only the end of the
// connection delimits it, the end must be an orderly one, which the reader can't tell: the
// operating system reports a reset once, and an orderly end to all who ask later. A write that is
// merely unfinished has not failed, since a target may respond before it has read the request. A
// stream without an event is what a target leaves that is killed as it begins, also for the rest of
// a stream of which another target may have sent all events but not the end.
func (e bodyEnd) check() (target.EndCause, error) {
	switch e.framing {
	case target.FramingChunked:
		return target.EndLastChunk, nil
	case target.FramingLength:
		if e.received < e.length {
			return target.EndClose, errors.Wrapf(target.ErrTruncated, "%d of %d bytes", e.received, e.length)
		}
		return target.EndLength, nil
	}
	switch {
	case e.writeErr != nil:
		return target.EndReset, errors.Wrapf(target.ErrTruncated, "write request: %v", e.writeErr)
	case e.connErr != nil:
		return target.EndReset, errors.Wrapf(target.ErrTruncated, "%v", e.connErr)
	case e.hasNoEvent:
		return target.EndClose, errors.Wrap(target.ErrTruncated, "connection closed before a new event")
	}
	return target.EndClose, nil
}

// finish decides whether a response whose body has ended is complete. All kinds of responses
// end here.
func (r *Response) finish() error {
	if r.chunked {
		if err := r.readLastLine(); err != nil {
			return err
		}
	}
	end := bodyEnd{framing: r.framing()}
	if limited, ok := r.body.(*io.LimitedReader); ok {
		end.length, end.received = r.contentLength, r.contentLength-int(limited.N)
	}
	if end.framing == target.FramingConnection {
		end.writeErr, end.connErr = r.endWrite(), conn.CheckNotAborted(r.conn.Conn)
		isSuccess := r.header.Status < fasthttp.StatusMultipleChoices
		end.hasNoEvent = r.events != nil && isSuccess && r.events.End().Events == 0
	}
	cause, err := end.check()
	if err != nil && end.framing == target.FramingLength {
		cause = r.closeCause()
	}
	r.endCause, r.bodyComplete = cause, err == nil
	if err != nil {
		return r.classifyError(err)
	}
	return nil
}

// readLastLine reads the empty line after the last chunk.
func (r *Response) readLastLine() error {
	r.conn.arm(r.call.GapTimeout)
	line, err := r.conn.reader.ReadSlice('\n')
	r.conn.watchdog.Disarm()
	if err != nil {
		return r.classifyError(err)
	}
	if string(line) != "\r\n" {
		return errors.Wrap(target.ErrMalformedResponse, "trailer after the last chunk")
	}
	return nil
}

// framing returns how the response shows its end.
func (r *Response) framing() target.Framing {
	switch {
	case r.chunked:
		return target.FramingChunked
	case r.contentLength >= 0:
		return target.FramingLength
	}
	return target.FramingConnection
}

// End returns the end of the response once it was read to its end.
func (r *Response) End() target.StreamEnd {
	var end target.StreamEnd
	if r.events != nil {
		end = r.events.End()
	}
	end.Framing, end.Cause = r.framing(), r.endCause
	return end
}

// classifyError maps a read error to an error of package target or of the
// context, and records what has ended the response.
func (r *Response) classifyError(err error) error {
	switch {
	// A timer that fires after the read has returned another error has not ended the response.
	case errors.Is(err, os.ErrDeadlineExceeded):
		r.endCause = target.EndTimeout
		return errors.Wrapf(target.ErrTimeout, "%s", r.call.Address)
	case r.ctx.Err() != nil:
		r.endCause = target.EndCanceled
		return errors.Wrap(r.ctx.Err(), "read answer")
	case errors.Is(err, target.ErrResponseTooLarge), errors.Is(err, target.ErrMalformedResponse),
		errors.Is(err, target.ErrRequestMismatch), errors.Is(err, target.ErrTruncated):
		return err
	case errors.Is(err, head.ErrMalformed):
		return errors.Wrapf(target.ErrMalformedResponse, "%v", err)
	case errors.Is(err, io.EOF):
		r.endCause = r.closeCause()
		return errors.Wrap(target.ErrTruncated, "connection closed")
	case errors.Is(err, io.ErrUnexpectedEOF):
		r.endCause = r.closeCause()
	case isSystemError(err):
		r.endCause = target.EndReset
	}
	return errors.Wrapf(target.ErrTruncated, "%v", err)
}

// closeCause returns what has ended the input of a truncated response: reads find an end also after a
// reset whose report another operation took.
func (r *Response) closeCause() target.EndCause {
	if conn.CheckNotAborted(r.conn.Conn) != nil {
		return target.EndReset
	}
	return target.EndClose
}

// recordFailure records what has ended a response that failed with err, unless it is known.
func (r *Response) recordFailure(err error) {
	if err != nil && r.endCause == "" {
		r.endCause = target.EndInvalid
	}
}

// isSystemError reports whether the operating system has returned err, as for a reset.
func isSystemError(err error) bool {
	var systemError syscall.Errno
	return errors.As(err, &systemError)
}
