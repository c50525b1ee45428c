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

// Cancels reports that targets are told.
func (native) Cancels() bool { return true }

// Unframed reports that an answer without a length can't be told from a cut one.
func (native) Unframed() bool { return false }

// Header reads the header of an answer, which names the request.
func (native) Header(header *fasthttp.ResponseHeader, call *target.Call) (target.ResponseHeader, error) {
	if id := string(header.Peek(HeaderRequest)); id != call.RequestID {
		return target.ResponseHeader{}, errors.Wrapf(target.ErrRequestMismatch, "asked %s, answered %q", call.RequestID, id)
	}
	contentType := string(header.ContentType())
	return target.ResponseHeader{
		Status:      header.StatusCode(),
		ContentType: contentType,
		CacheHit:    string(header.Peek(HeaderWarm)) == "true",
		Stream:      strings.HasPrefix(contentType, contentStream),
	}, nil
}

// Events reads events that carry the request and their offset, up to an end mark.
func (native) Events(body *bufio.Reader, call *target.Call) Events {
	return &markedEvents{reader: NewEventReader(body), requestID: call.RequestID, next: call.Offset}
}

// Fill writes a call into a request.
func (native) Fill(request *fasthttp.Request, call *target.Call) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + call.Address + PathServices + call.Service + "/" + call.Name)
	request.Header.Set(HeaderRequest, call.RequestID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	setOptional(request, HeaderWorkspace, call.Workspace)
	setOptional(request, HeaderChat, call.Chat)
	setOptional(request, HeaderKey, call.IdempotencyKey)
	if call.Priority != 0 {
		request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	request.Header.Set(HeaderFence, strconv.FormatUint(call.FencingToken, 10))
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
	end      target.StreamEnd
}

// endBody is the data of the end mark.
type endBody struct {
	Request string
	Events  int
	Warm    bool
}

// Ready reports whether a whole event has been received.
func (m *markedEvents) EventBuffered() bool { return m.reader.Ready() }

// End returns the end mark.
func (m *markedEvents) End() target.StreamEnd { return m.end }

// Next returns the next event. Events that were already received are dropped.
func (m *markedEvents) Next() (target.Event, error) {
	for {
		raw, err := m.reader.Next()
		if errors.Is(err, io.EOF) {
			return target.Event{}, errors.Wrap(target.ErrTruncated, "no end mark")
		}
		if err != nil {
			return target.Event{}, err
		}
		offset, err := eventOffset(raw.ID, m.requestID)
		if err != nil {
			return target.Event{}, err
		}
		if string(raw.Name) == EndEvent {
			return target.Event{}, m.finish(raw.Data)
		}
		if offset < m.next {
			m.repeated++
			continue
		}
		if offset > m.next {
			return target.Event{}, errors.Wrapf(target.ErrTruncated, "event %d after %d", offset, m.next-1)
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
		return errors.Wrapf(target.ErrMalformedResponse, "end mark: %v", err)
	}
	if body.Request != m.requestID {
		return errors.Wrapf(target.ErrRequestMismatch, "end mark of %q", body.Request)
	}
	if body.Events != m.next {
		return errors.Wrapf(target.ErrTruncated, "%d of %d events", m.next, body.Events)
	}
	m.end = target.StreamEnd{Events: body.Events, CacheHit: body.Warm, DuplicateEvents: m.repeated}
	if _, err := m.reader.Next(); err == nil {
		return errors.Wrap(target.ErrMalformedResponse, "event after the end mark")
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return io.EOF
}
