package web

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http/httputil"
	"strings"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// Answer is an answer that is being received over one connection. The
// connection is kept for other calls only once the answer was found whole.
type Answer struct {
	client *Client
	link   *link
	call   target.Call
	ctx    context.Context
	stop   func() bool

	header target.AnswerHeader
	length int
	body   io.Reader
	chunks bool
	events *EventReader
	next   int
	begun  bool
	end    target.End
	whole  bool
	closed bool
	// closing is set when the target closes the connection after the answer.
	closing bool
	// repeated counts events that arrived again and were dropped.
	repeated int
}

// endBody is the data of the end mark.
type endBody struct {
	Request string
	Events  int
	Warm    bool
}

// begin writes the request and reads the header.
func (a *Answer) begin(request *fasthttp.Request) error {
	if err := request.Write(a.link.writer); err != nil {
		return a.failure(err)
	}
	if err := a.link.writer.Flush(); err != nil {
		return a.failure(err)
	}
	var header fasthttp.ResponseHeader
	if err := header.Read(a.link.reader); err != nil {
		return a.failure(err)
	}
	if id := string(header.Peek(HeaderRequest)); id != a.call.RequestID {
		return errors.Wrapf(target.ErrCrossed, "asked %s, answered %q", a.call.RequestID, id)
	}
	a.header = target.AnswerHeader{
		Status:      header.StatusCode(),
		ContentType: string(header.ContentType()),
		Warm:        string(header.Peek(HeaderWarm)) == "true",
	}
	a.header.Stream = strings.HasPrefix(a.header.ContentType, contentStream)
	if !a.header.Stream {
		a.link.guard.Disarm()
	}
	return a.frame(header.ContentLength(), header.ConnectionClose())
}

// frame prepares the reading of the body. An answer without a length is
// refused, since its end can't be told from a cut.
func (a *Answer) frame(length int, closing bool) error {
	a.length = length
	a.closing = closing
	switch {
	case length >= 0:
		a.body = io.LimitReader(a.link.reader, int64(length))
	case length == -1:
		a.chunks = true
		a.body = httputil.NewChunkedReader(a.link.reader)
	default:
		return errors.Wrap(target.ErrMalformed, "answer without a length")
	}
	if a.header.Stream {
		a.events = NewEventReader(bufio.NewReaderSize(a.body, readBuffer))
	}
	return nil
}

// Header returns what is known at the beginning.
func (a *Answer) Header() target.AnswerHeader { return a.header }

// Body returns the whole body, at most limit bytes.
func (a *Answer) Body(limit int) ([]byte, error) {
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
func (a *Answer) complete(read int) error {
	if !a.chunks {
		if read < a.length {
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

// Next returns the next event; io.EOF after the end mark and the last chunk.
// Events that were already received are dropped.
func (a *Answer) Next() (target.Event, error) {
	if a.events == nil {
		return target.Event{}, errors.Wrap(target.ErrMalformed, "not an event stream")
	}
	for {
		raw, err := a.nextRaw()
		if err != nil {
			return target.Event{}, a.failure(err)
		}
		offset, err := eventOffset(raw.ID, a.call.RequestID)
		if err != nil {
			return target.Event{}, err
		}
		if string(raw.Name) == EndEvent {
			return target.Event{}, a.finish(raw.Data)
		}
		if offset < a.next {
			a.repeated++
			continue
		}
		if offset > a.next {
			return target.Event{}, errors.Wrapf(target.ErrCut, "event %d after %d", offset, a.next-1)
		}
		a.next++
		return target.Event{Offset: offset, Name: string(raw.Name), Data: raw.Data}, nil
	}
}

// Ready reports whether a whole event has been received.
func (a *Answer) Ready() bool { return a.events != nil && a.events.Ready() }

// nextRaw reads an event within the gap, the first one within what is left of
// the first-byte budget.
func (a *Answer) nextRaw() (RawEvent, error) {
	if a.begun {
		a.link.guard.Arm(a.call.Gap)
	}
	a.begun = true
	raw, err := a.events.Next()
	a.link.guard.Disarm()
	return raw, err
}

// finish checks the end mark and the framing after it. It returns io.EOF when
// the stream is whole.
func (a *Answer) finish(data []byte) error {
	var body endBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrapf(target.ErrMalformed, "end mark: %v", err)
	}
	if body.Request != a.call.RequestID {
		return errors.Wrapf(target.ErrCrossed, "end mark of %q", body.Request)
	}
	if body.Events != a.next {
		return errors.Wrapf(target.ErrCut, "%d of %d events", a.next, body.Events)
	}
	a.end = target.End{Events: body.Events, Warm: body.Warm, Repeated: a.repeated}
	a.link.guard.Arm(a.call.Gap)
	_, err := a.events.Next()
	a.link.guard.Disarm()
	if err == nil {
		return errors.Wrap(target.ErrMalformed, "event after the end mark")
	}
	if !errors.Is(err, io.EOF) {
		return a.failure(err)
	}
	if a.chunks {
		if err := a.complete(0); err != nil {
			return err
		}
	}
	a.whole = true
	return io.EOF
}

// End returns the end mark.
func (a *Answer) End() target.End { return a.end }

// Close gives the connection back when the answer was whole, and closes it
// otherwise.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	cancelled := !a.stop()
	if !a.whole || cancelled || a.closing {
		a.link.discard()
		return
	}
	a.client.pool.put(a.link)
}

// failure names the cause of a read or write error.
func (a *Answer) failure(err error) error {
	switch {
	case a.link.guard.Expired():
		return errors.Wrapf(target.ErrSilent, "%s", a.call.Address)
	case a.ctx.Err() != nil:
		return errors.Wrap(a.ctx.Err(), "read answer")
	case errors.Is(err, target.ErrTooLong), errors.Is(err, target.ErrMalformed):
		return err
	case errors.Is(err, io.EOF):
		return errors.Wrap(target.ErrCut, "connection closed")
	}
	return errors.Wrapf(target.ErrCut, "%v", err)
}
