package web

import (
	"io"
	"syscall"

	"comfreytiller.dev/common/head"
	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// finishBody checks that the body, of which read bytes were received, is complete
// according to its framing.
func (r *Response) finishBody(read int) error {
	if !r.chunked {
		if r.contentLength >= 0 && read < r.contentLength {
			return r.closedEarly("%d of %d bytes", read, r.contentLength)
		}
		if err := r.checkOrderlyEnd(); err != nil {
			return err
		}
		r.complete()
		return nil
	}
	r.conn.arm(r.call.GapTimeout)
	line, err := r.conn.reader.ReadSlice('\n')
	r.conn.watchdog.Disarm()
	if err != nil {
		return r.classifyError(err)
	}
	if string(line) != "\r\n" {
		return errors.Wrap(target.ErrMalformedResponse, "trailer after the last chunk")
	}
	r.complete()
	return nil
}

// complete marks the response as received completely.
func (r *Response) complete() {
	r.bodyComplete = true
	r.endCause = map[target.Framing]target.EndCause{
		target.FramingChunked: target.EndLastChunk, target.FramingLength: target.EndLength, target.FramingConnection: target.EndClose,
	}[r.framing()]
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

// finishStream checks that the body of a complete stream also ended according to
// its framing. A successful stream from its beginning has at least one event, so that
// one which the end of the connection delimits is truncated without any.
func (r *Response) finishStream() error {
	if r.chunked {
		return r.finishBody(0)
	}
	if r.contentLength < 0 && r.header.Status < fasthttp.StatusMultipleChoices && r.call.LastEventID == "" && r.events.End().Events == 0 {
		return r.closedEarly("connection closed before the first event")
	}
	if limited, ok := r.body.(*io.LimitedReader); ok && limited.N > 0 {
		return r.closedEarly("%d bytes missing", limited.N)
	}
	if err := r.checkOrderlyEnd(); err != nil {
		return err
	}
	r.complete()
	return nil
}

// closedEarly returns the error of a response whose target closed the connection before its end.
func (r *Response) closedEarly(format string, arguments ...any) error {
	r.endCause = target.EndClose
	return errors.Wrapf(target.ErrTruncated, format, arguments...)
}

// checkOrderlyEnd returns target.ErrTruncated if a response that the end of its connection
// delimits has ended with a failed write of the request. The operating system reports a reset
// once: if the write takes the report, the reader finds an orderly end. A write that is
// unfinished has not failed, since a target may respond before it has read the request.
func (r *Response) checkOrderlyEnd() error {
	if r.chunked || r.contentLength >= 0 {
		return nil
	}
	if err := r.endWrite(); err != nil {
		r.endCause = target.EndReset
		return r.classifyError(errors.Wrapf(target.ErrTruncated, "write request: %v", err))
	}
	return nil
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
	case r.conn.watchdog.Expired():
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
		r.endCause = target.EndClose
		return errors.Wrap(target.ErrTruncated, "connection closed")
	case errors.Is(err, io.ErrUnexpectedEOF):
		r.endCause = target.EndClose
	case isSystemError(err):
		r.endCause = target.EndReset
	}
	return errors.Wrapf(target.ErrTruncated, "%v", err)
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
