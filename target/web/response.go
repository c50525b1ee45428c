package web

import (
	"bufio"
	"context"
	"io"
	"net/http/httputil"
	"os"
	"time"

	"comfreytiller.dev/common/head"
	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Response is a response that is being received over one connection. The
// connection is reused only after the response has been received completely.
type Response struct {
	client          *Client
	conn            *targetConn
	call            target.Call
	ctx             context.Context
	stopCancelWatch func() bool

	dialect Dialect

	header              target.ResponseHeader
	contentLength       int
	body                io.Reader
	chunked             bool
	events              EventStream
	firstEventRequested bool
	bodyComplete        bool
	closed              bool
	// endCause is what has ended the response; empty before.
	endCause target.EndCause
	// closeAfter is set when the target closes the connection after the response.
	closeAfter bool
	// writeResult receives the result of writing a long request; nil for a short
	// one.
	writeResult chan error
	// writeErr is the error of writing a short request.
	writeErr error
}

// start writes the request and reads the response header. A long request is written
// concurrently, since a target may respond before it has read the whole request, and the
// timeout of one that reads nothing interrupts only reads.
func (r *Response) start(request *fasthttp.Request) error {
	if len(request.Header.Header())+len(request.Body()) > maxSyncRequestBytes {
		r.writeResult = make(chan error, 1)
		go func() { r.writeResult <- r.writeRequest(request) }()
	} else {
		r.writeErr = r.writeRequest(request)
	}
	var header fasthttp.ResponseHeader
	if err := r.readHeader(&header); err != nil {
		return err
	}
	parsed, err := r.dialect.ParseHeader(&header, &r.call)
	r.header = parsed
	if err != nil {
		return err
	}
	if !r.header.Stream {
		r.conn.watchdog.Disarm()
	}
	length := header.ContentLength()
	if hasNoBody(parsed.Status, &r.call) {
		length = 0
	}
	return r.initBody(length, header.ConnectionClose())
}

// maxInterimResponses is the maximum number of interim responses before the response.
const maxInterimResponses = 8

// readHeader reads the header of the response and skips the interim responses before it.
func (r *Response) readHeader(header *fasthttp.ResponseHeader) error {
	for range maxInterimResponses + 1 {
		checked, err := head.Peek(r.conn.reader)
		if err != nil {
			return r.classifyError(err)
		}
		// The whole head has arrived, so that an error is its fault.
		if err := header.Read(r.conn.reader); err != nil {
			return errors.Wrapf(target.ErrMalformedResponse, "%v", err)
		}
		if checked.Status == fasthttp.StatusSwitchingProtocols {
			return errors.Wrapf(target.ErrMalformedResponse, "status %d", checked.Status)
		}
		if !checked.IsInterim() {
			return nil
		}
	}
	return errors.Wrap(target.ErrMalformedResponse, "too many interim responses")
}

// maxSyncRequestBytes is the maximum length of a request that is written before the
// response is read. It fits into the smallest socket buffers.
const maxSyncRequestBytes = 4 << 10

// writeRequest writes the request and releases it to its pool.
func (r *Response) writeRequest(request *fasthttp.Request) error {
	defer fasthttp.ReleaseRequest(request)
	if err := request.Write(r.conn.writer); err != nil {
		return err
	}
	return r.conn.writer.Flush()
}

// hasNoBody reports whether a response has no body regardless of its header, as
// for HEAD requests and for status 204 and 304.
func hasNoBody(status int, call *target.Call) bool {
	isHead := call.Original != nil && call.Original.Method == fasthttp.MethodHead
	return isHead || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// requestSent reports whether the whole request was written.
func (r *Response) requestSent() bool {
	if r.writeResult != nil {
		select {
		case err := <-r.writeResult:
			r.writeResult <- err
			return err == nil
		default:
			return false
		}
	}
	return r.writeErr == nil
}

// endWrite interrupts a write of the request that goes on, and returns the error of one that
// has failed.
func (r *Response) endWrite() error {
	if r.writeResult == nil {
		return r.writeErr
	}
	// If the deadline can't be set, the connection is closed, and the write has ended.
	_ = r.conn.SetWriteDeadline(time.Unix(1, 0))
	err := <-r.writeResult
	r.writeResult <- err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// initBody prepares reading the body according to its framing. A response that is
// delimited only by the end of its connection is rejected unless the dialect
// allows it, since it cannot be distinguished from a truncated one.
func (r *Response) initBody(length int, connectionClose bool) error {
	r.contentLength = length
	r.closeAfter = connectionClose
	switch {
	case length >= 0:
		r.body = io.LimitReader(r.conn.reader, int64(length))
	case length == -1:
		r.chunked = true
		r.body = httputil.NewChunkedReader(r.conn.reader)
	case r.dialect.AllowsCloseDelimited():
		r.closeAfter = true
		r.body = r.conn.reader
	default:
		return errors.Wrap(target.ErrMalformedResponse, "answer without a length")
	}
	if r.header.Stream {
		r.events = r.dialect.NewEventStream(bufio.NewReaderSize(r.body, readBufferBytes), &r.call)
	}
	return nil
}

// Header returns the parsed response header.
func (r *Response) Header() target.ResponseHeader { return r.header }

// Body reads the whole body. It returns target.ErrResponseTooLarge if the body exceeds
// limit bytes, and target.ErrTruncated if it is truncated.
func (r *Response) Body(limit int) ([]byte, error) {
	body, err := r.readBody(limit)
	r.recordFailure(err)
	return body, err
}

// readBody reads the whole body within the limit.
func (r *Response) readBody(limit int) ([]byte, error) {
	if r.contentLength > limit {
		return nil, errors.Wrapf(target.ErrResponseTooLarge, "answer of %d bytes", r.contentLength)
	}
	var body []byte
	for {
		if len(body) > limit {
			return nil, errors.Wrapf(target.ErrResponseTooLarge, "answer beyond %d bytes", limit)
		}
		if len(body) == cap(body) {
			grown, err := r.growBody(body, limit)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		r.conn.arm(r.call.GapTimeout)
		n, err := r.body.Read(body[len(body):cap(body)])
		r.conn.watchdog.Disarm()
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, r.finish()
		}
		if err != nil {
			return nil, r.classifyError(err)
		}
	}
}

// minBodyBytes and maxInitialBodyBytes limit the first buffer of a body. A target may
// announce more than it sends.
const (
	minBodyBytes        = 1 << 10
	maxInitialBodyBytes = 64 << 10
)

// growBody returns body with a larger buffer, with room for one byte beyond the end or
// the limit of the body.
func (r *Response) growBody(body []byte, limit int) ([]byte, error) {
	size := max(2*cap(body), minBodyBytes)
	if r.contentLength >= 0 {
		size = max(min(r.contentLength+1, maxInitialBodyBytes), min(size, r.contentLength+1))
	}
	size = min(size, limit+1)
	if r.call.ReserveBody != nil {
		if err := r.call.ReserveBody(size - cap(body)); err != nil {
			return nil, err
		}
	}
	return append(make([]byte, 0, size), body...), nil
}

// Next returns the next event. The call's gap timeout applies to each event
// except the first one, for which the rest of the first-byte timeout applies.
// Next returns io.EOF after the last event of a complete stream.
func (r *Response) Next() (target.Event, error) {
	event, err := r.readEvent()
	if !errors.Is(err, io.EOF) {
		r.recordFailure(err)
	}
	return event, err
}

// readEvent returns the next event, or io.EOF after the last one of a complete stream.
func (r *Response) readEvent() (target.Event, error) {
	if r.events == nil {
		return target.Event{}, errors.Wrap(target.ErrMalformedResponse, "not an event stream")
	}
	if r.firstEventRequested {
		r.conn.arm(r.call.GapTimeout)
	}
	r.firstEventRequested = true
	event, err := r.events.Next()
	r.conn.watchdog.Disarm()
	switch {
	case err == nil:
		return event, nil
	case !errors.Is(err, io.EOF):
		return target.Event{}, r.classifyError(err)
	}
	if err := r.finish(); err != nil {
		return target.Event{}, err
	}
	return target.Event{}, io.EOF
}

// EventBuffered reports whether Next can return a whole event without waiting.
func (r *Response) EventBuffered() bool { return r.events != nil && r.events.EventBuffered() }

// Close returns the connection to the pool if the response was complete, and
// closes it otherwise.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	canceled := !r.stopCancelWatch()
	if !r.bodyComplete || canceled || r.closeAfter || !r.requestSent() {
		r.conn.discard()
		return
	}
	r.client.pool.put(r.conn)
}
