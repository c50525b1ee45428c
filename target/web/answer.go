package web

import (
	"bufio"
	"context"
	"io"
	"net/http/httputil"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Response is an answer that is being received over one connection. The
// connection is kept for other calls only once the answer was found whole.
type Response struct {
	client *Client
	link   *link
	call   target.Call
	ctx    context.Context
	stop   func() bool

	dialect Dialect

	header target.AnswerHeader
	length int
	body   io.Reader
	chunks bool
	events EventStream
	begun  bool
	whole  bool
	closed bool
	// closing is set when the target closes the connection after the answer.
	closing bool
	// writing tells how the writing of a long request ended; nil for a short one.
	writing chan error
	// spoiled is set when a short request could not be written.
	spoiled bool
}

// begin writes the request and reads the header. A long body is written beside
// the reading, since a target may answer before it has read it.
func (a *Response) begin(request *fasthttp.Request) error {
	if len(request.Body()) > maxBodyInLine {
		a.writing = make(chan error, 1)
		go func() { a.writing <- a.write(request) }()
	} else if err := a.write(request); err != nil {
		a.spoiled = true
	}
	var header fasthttp.ResponseHeader
	if err := header.Read(a.link.reader); err != nil {
		return a.failure(err)
	}
	read, err := a.dialect.ParseHeader(&header, &a.call)
	if err != nil {
		return err
	}
	a.header = read
	if !a.header.Stream {
		a.link.guard.Disarm()
	}
	length := header.ContentLength()
	if bodyless(read.Status, &a.call) {
		length = 0
	}
	return a.frame(length, header.ConnectionClose())
}

// maxBodyInLine is the longest body that is written before the answer is read,
// in bytes. It fits the smallest socket buffers.
const maxBodyInLine = 4 << 10

// write writes the request and releases it.
func (a *Response) write(request *fasthttp.Request) error {
	defer fasthttp.ReleaseRequest(request)
	if err := request.Write(a.link.writer); err != nil {
		return err
	}
	return a.link.writer.Flush()
}

// bodyless reports whether an answer has no body whatever its header says.
func bodyless(status int, call *target.Call) bool {
	head := call.Original != nil && call.Original.Method == fasthttp.MethodHead
	return head || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// sent reports whether the whole request was written.
func (a *Response) sent() bool {
	if a.writing != nil {
		select {
		case err := <-a.writing:
			a.writing <- err
			return err == nil
		default:
			return false
		}
	}
	return !a.spoiled
}

// frame prepares the reading of the body. An answer without a length is
// refused, since its end can't be told from a cut.
func (a *Response) frame(length int, closing bool) error {
	a.length = length
	a.closing = closing
	switch {
	case length >= 0:
		a.body = io.LimitReader(a.link.reader, int64(length))
	case length == -1:
		a.chunks = true
		a.body = httputil.NewChunkedReader(a.link.reader)
	case a.dialect.AllowsCloseDelimited():
		a.closing = true
		a.body = a.link.reader
	default:
		return errors.Wrap(target.ErrMalformed, "answer without a length")
	}
	if a.header.Stream {
		a.events = a.dialect.NewEventStream(bufio.NewReaderSize(a.body, readBuffer), &a.call)
	}
	return nil
}

// ParseHeader returns what is known at the beginning.
func (a *Response) Header() target.AnswerHeader { return a.header }

// Body returns the whole body, at most limit bytes.
func (a *Response) Body(limit int) ([]byte, error) {
	if a.length > limit {
		return nil, errors.Wrapf(target.ErrTooLong, "answer of %d bytes", a.length)
	}
	var body []byte
	if a.length > 0 {
		body = make([]byte, 0, a.length+1)
	}
	for {
		if len(body) > limit {
			return nil, errors.Wrapf(target.ErrTooLong, "answer beyond %d bytes", limit)
		}
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		a.link.guard.Arm(a.call.Gap)
		n, err := a.body.Read(body[len(body):cap(body)])
		a.link.guard.Disarm()
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, a.complete(len(body))
		}
		if err != nil {
			return nil, a.failure(err)
		}
	}
}

// complete checks that the framing says the answer is whole.
func (a *Response) complete(read int) error {
	if !a.chunks {
		if a.length >= 0 && read < a.length {
			return errors.Wrapf(target.ErrCut, "%d of %d bytes", read, a.length)
		}
		a.whole = true
		return nil
	}
	a.link.guard.Arm(a.call.Gap)
	line, err := a.link.reader.ReadSlice('\n')
	a.link.guard.Disarm()
	if err != nil {
		return a.failure(err)
	}
	if string(line) != "\r\n" {
		return errors.Wrap(target.ErrMalformed, "trailer after the last chunk")
	}
	a.whole = true
	return nil
}

// Next returns the next event within the gap, the first one within what is left
// of the first-byte budget; io.EOF once the stream and its framing are whole.
func (a *Response) Next() (target.Event, error) {
	if a.events == nil {
		return target.Event{}, errors.Wrap(target.ErrMalformed, "not an event stream")
	}
	if a.begun {
		a.link.guard.Arm(a.call.Gap)
	}
	a.begun = true
	event, err := a.events.Next()
	a.link.guard.Disarm()
	switch {
	case err == nil:
		return event, nil
	case !errors.Is(err, io.EOF):
		return target.Event{}, a.failure(err)
	}
	if err := a.endFrame(); err != nil {
		return target.Event{}, err
	}
	return target.Event{}, io.EOF
}

// endFrame checks that the body of a whole stream ended as its framing says.
func (a *Response) endFrame() error {
	if a.chunks {
		return a.complete(0)
	}
	if limited, ok := a.body.(*io.LimitedReader); ok && limited.N > 0 {
		return errors.Wrapf(target.ErrCut, "%d bytes missing", limited.N)
	}
	a.whole = true
	return nil
}

// HasBufferedEvent reports whether a whole event has been received.
func (a *Response) Ready() bool { return a.events != nil && a.events.Ready() }

// End returns the end mark.
func (a *Response) End() target.End {
	if a.events == nil {
		return target.End{}
	}
	return a.events.End()
}

// Close gives the connection back when the answer was whole, and closes it
// otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	cancelled := !a.stop()
	if !a.whole || cancelled || a.closing || !a.sent() {
		a.link.discard()
		return
	}
	a.client.pool.put(a.link)
}

// failure names the cause of a read or write error.
func (a *Response) failure(err error) error {
	switch {
	case a.link.guard.Expired():
		return errors.Wrapf(target.ErrSilent, "%s", a.call.Address)
	case a.ctx.Err() != nil:
		return errors.Wrap(a.ctx.Err(), "read answer")
	case errors.Is(err, target.ErrTooLong), errors.Is(err, target.ErrMalformed),
		errors.Is(err, target.ErrCrossed), errors.Is(err, target.ErrCut):
		return err
	case errors.Is(err, io.EOF):
		return errors.Wrap(target.ErrCut, "connection closed")
	}
	return errors.Wrapf(target.ErrCut, "%v", err)
}
