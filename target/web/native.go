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

// nativeDialect is the dialect of Comfreytiller's own target protocol.
type nativeDialect struct{}

// SupportsCancel returns true.
func (nativeDialect) SupportsCancel() bool { return true }

// AllowsCloseDelimited returns false, since a response that is delimited by the
// end of its connection cannot be distinguished from a truncated one.
func (nativeDialect) AllowsCloseDelimited() bool { return false }

// ParseHeader converts the header of a response, which must carry the request ID
// of the call.
func (nativeDialect) ParseHeader(header *fasthttp.ResponseHeader, call *target.Call) (target.ResponseHeader, error) {
	if id := string(header.Peek(HeaderRequestID)); id != call.RequestID {
		return target.ResponseHeader{}, errors.Wrapf(target.ErrRequestMismatch, "asked %s, answered %q", call.RequestID, id)
	}
	contentType := string(header.ContentType())
	response := target.ResponseHeader{
		Status:      header.StatusCode(),
		ContentType: contentType,
		CacheHit:    string(header.Peek(HeaderWarm)) == "true",
		Stream:      strings.HasPrefix(contentType, contentTypeEventStream),
		NotExecuted: string(header.Peek(HeaderNotExecuted)) == "true",
		Leaving:     string(header.Peek(HeaderLeaving)) == "true",
	}
	SetRetryAfter(&response, header)
	return response, nil
}

// NewEventStream returns a reader of events whose IDs contain the request ID and
// offset and which are followed by an end event.
func (nativeDialect) NewEventStream(body *bufio.Reader, call *target.Call) EventStream {
	return &nativeEvents{reader: NewEventReader(body), requestID: call.RequestID, nextOffset: call.Offset}
}

// WriteRequest fills the HTTP request of a call.
func (nativeDialect) WriteRequest(request *fasthttp.Request, call *target.Call) {
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI("http://" + call.Address + PathServices + call.Service + "/" + call.Name)
	request.Header.Set(HeaderRequestID, call.RequestID)
	request.Header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	setHeaderIfNotEmpty(request, HeaderWorkspace, call.Workspace)
	setHeaderIfNotEmpty(request, HeaderChat, call.Chat)
	setHeaderIfNotEmpty(request, HeaderIdempotencyKey, call.IdempotencyKey)
	if call.Priority != 0 {
		request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	}
	request.Header.Set(HeaderFence, strconv.FormatUint(call.FencingToken, 10))
	if call.Offset > 0 {
		request.Header.Set(HeaderOffset, strconv.Itoa(call.Offset))
	}
	if call.Stream {
		request.Header.Set(fasthttp.HeaderAccept, contentTypeEventStream)
	}
	if call.ContentType != "" {
		request.Header.SetContentType(call.ContentType)
	}
	request.SetBodyRaw(call.Body)
}

func setHeaderIfNotEmpty(request *fasthttp.Request, name, value string) {
	if value != "" {
		request.Header.Set(name, value)
	}
}

// nativeEvents reads an event stream that must be terminated by an end event.
type nativeEvents struct {
	reader     *EventReader
	requestID  string
	nextOffset int
	// duplicates is the number of dropped duplicate events.
	duplicates int
	end        target.StreamEnd
}

// endEventBody is the JSON data of the end event.
type endEventBody struct {
	Request string
	Events  int
	Warm    bool
}

// EventBuffered reports whether Next can return a whole event without waiting.
func (e *nativeEvents) EventBuffered() bool { return e.reader.HasBufferedEvent() }

// End returns the end of the stream once Next has returned io.EOF.
func (e *nativeEvents) End() target.StreamEnd { return e.end }

// Next returns the next event. It drops duplicate events and returns
// target.ErrTruncated if an event is missing.
func (e *nativeEvents) Next() (target.Event, error) {
	skipped := 0
	for {
		parsed, err := e.reader.Next()
		if errors.Is(err, io.EOF) {
			return target.Event{}, errors.Wrap(target.ErrTruncated, "no end mark")
		}
		if err != nil {
			return target.Event{}, err
		}
		offset, err := parseEventID(parsed.ID, e.requestID)
		if err != nil {
			return target.Event{}, err
		}
		if string(parsed.Name) == EndEventName {
			return target.Event{}, e.checkEndEvent(parsed.Data)
		}
		if offset < e.nextOffset {
			e.duplicates++
			if skipped += len(parsed.Data); skipped > maxSkippedBytes {
				return target.Event{}, errors.Wrap(target.ErrResponseTooLarge, "duplicate events")
			}
			continue
		}
		if offset > e.nextOffset {
			e.end.EventMissing = true
			return target.Event{}, errors.Wrapf(target.ErrTruncated, "event %d after %d", offset, e.nextOffset-1)
		}
		e.nextOffset++
		return target.Event{Offset: offset, Name: string(parsed.Name), Data: parsed.Data}, nil
	}
}

// checkEndEvent validates the end event and that nothing follows it. It returns
// io.EOF if the stream is complete.
func (e *nativeEvents) checkEndEvent(data []byte) error {
	var body endEventBody
	if err := json.Unmarshal(data, &body); err != nil {
		return errors.Wrapf(target.ErrMalformedResponse, "end mark: %v", err)
	}
	if body.Request != e.requestID {
		return errors.Wrapf(target.ErrRequestMismatch, "end mark of %q", body.Request)
	}
	if body.Events != e.nextOffset {
		return errors.Wrapf(target.ErrTruncated, "%d of %d events", e.nextOffset, body.Events)
	}
	e.end = target.StreamEnd{Events: body.Events, CacheHit: body.Warm, DuplicateEvents: e.duplicates}
	if _, err := e.reader.Next(); err == nil {
		return errors.Wrap(target.ErrMalformedResponse, "event after the end mark")
	} else if !errors.Is(err, io.EOF) {
		return err
	}
	return io.EOF
}
