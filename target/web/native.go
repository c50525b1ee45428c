package web

import (
	"bufio"
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// native is the dialect of this package's own protocol.
type native struct{}

// SupportsCancel reports that targets are told.
func (native) SupportsCancel() bool { return true }

// AllowsCloseDelimited reports that an answer without a length can't be told from a cut one.
func (native) AllowsCloseDelimited() bool { return false }

// ParseHeader reads the header of an answer, which names the request.
func (native) ParseHeader(header *fasthttp.ResponseHeader, call *target.Call) (target.AnswerHeader, error) {
	if id := string(header.Peek(HeaderRequestID)); id != call.RequestID {
		return target.AnswerHeader{}, errors.Wrapf(target.ErrCrossed, "asked %s, answered %q", call.RequestID, id)
	}
	contentType := string(header.ContentType())
	return target.AnswerHeader{
		Status:      header.StatusCode(),
		ContentType: contentType,
		Warm:        string(header.Peek(HeaderWarm)) == "true",
		Stream:      strings.HasPrefix(contentType, contentStream),
	}, nil
}

// NewEventStream reads events that carry the request and their offset, up to an end mark.
func (native) NewEventStream(body *bufio.Reader, call *target.Call) EventStream {
	return &markedEvents{reader: NewEventReader(body), requestID: call.RequestID, next: call.Offset}
}

// WriteRequest writes a call into a request.
func (native) WriteRequest(request *fasthttp.Request, call *target.Call) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + call.Address + PathServices + call.Service + "/" + call.Name)
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	setOptional(request, HeaderWorkspace, call.Workspace)
	setOptional(request, HeaderChat, call.Chat)
	setOptional(request, HeaderIdempotencyKey, call.Key)
	if call.Priority != 0 {
		request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	request.Header.Set(HeaderFence, strconv.FormatUint(call.Fence, 10))
	if call.Offset > 0 {
		request.Header.Set(HeaderOffset, strconv.Itoa(call.Offset))
	}
	if call.Stream {
		request.Header.Set(fasthttp.HeaderAccept, contentStream)
	}
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.SetBodyRaw(call.Body)
}

func setOptional(request *fasthttp.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

// markedEvents reads a stream that ends with an end mark.
type markedEvents struct {
	reader    *EventReader
	requestID string
	next      int
	// repeated counts events that arrived again and were dropped.
	repeated int
	end      target.End
}

// endBody is the data of the end mark.
type endBody struct {
	Request string
	Events  int
	Warm    bool
}

// HasBufferedEvent reports whether a whole event has been received.
func (m *markedEvents) Ready() bool { return m.reader.HasBufferedEvent() }

// End returns the end mark.
func (m *markedEvents) End() target.End { return m.end }

// Next returns the next event. Events that were already received are dropped.
func (m *markedEvents) Next() (target.Event, error) {
	for {
		raw, err := m.reader.Next()
		if errors.Is(err, io.EOF) {
			return target.Event{}, errors.Wrap(target.ErrCut, "no end mark")
		}
		if err != nil {
			return target.Event{}, err
		}
		offset, err := eventOffset(raw.ID, m.requestID)
		if err != nil {
			return target.Event{}, err
		}
		if string(raw.Name) == EndEventName {
			return target.Event{}, m.finish(raw.Data)
		}
		if offset < m.next {
			m.repeated++
			continue
		}
		if offset > m.next {
			return target.Event{}, errors.Wrapf(target.ErrCut, "event %d after %d", offset, m.next-1)
		}
		m.next++
		return target.Event{Offset: offset, Name: string(raw.Name), Data: raw.Data}, nil
	}
}

// finish checks the end mark and that nothing follows it. It returns io.EOF when
// the stream is whole.
func (m *markedEvents) finish(data []byte) error {
	var body endBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrapf(target.ErrMalformed, "end mark: %v", err)
	}
	if body.Request != m.requestID {
		return errors.Wrapf(target.ErrCrossed, "end mark of %q", body.Request)
	}
	if body.Events != m.next {
		return errors.Wrapf(target.ErrCut, "%d of %d events", m.next, body.Events)
	}
	m.end = target.End{Events: body.Events, Warm: body.Warm, Repeated: m.repeated}
	if _, err := m.reader.Next(); err == nil {
		return errors.Wrap(target.ErrMalformed, "event after the end mark")
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return io.EOF
}
