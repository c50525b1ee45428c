package web

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// Limits of a stream. maxEventBytes is the maximum size of one event, maxSkippedBytes
// the maximum size of empty lines or duplicate events before the next event.
const (
	maxEventBytes   = 256 << 10
	maxSkippedBytes = 1 << 20
)

// ParsedEvent is one server-sent event with its decoded fields.
type ParsedEvent struct {
	ID   []byte
	Name []byte
	Data []byte
}

// EventReader reads server-sent events. Lines end with LF or CRLF.
type EventReader struct {
	reader         *bufio.Reader
	event          ParsedEvent
	id             []byte
	name           []byte
	data           []byte
	longLineBuffer []byte
	// dataLines is the number of data lines read of the current event.
	dataLines int
}

// NewEventReader returns a reader of server-sent events in r.
func NewEventReader(r *bufio.Reader) *EventReader {
	return &EventReader{reader: r}
}

// Next returns the next event, whose fields are valid until the following call.
// It returns io.EOF only between events, and io.ErrUnexpectedEOF if the stream
// ends within an event.
func (e *EventReader) Next() (ParsedEvent, error) {
	e.id, e.name, e.data, e.dataLines = e.id[:0], e.name[:0], e.data[:0], 0
	var fields, size int
	for {
		line, err := e.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && (fields > 0 || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return ParsedEvent{}, err
		}
		if size += len(line) + 1; size > maxEventBytes {
			return ParsedEvent{}, errors.Wrap(target.ErrResponseTooLarge, "read event")
		}
		if len(line) == 0 {
			if fields == 0 {
				continue
			}
			return ParsedEvent{ID: e.id, Name: e.name, Data: e.data}, nil
		}
		if e.parseField(line) {
			fields++
		}
		if bytes.IndexByte(line, '\r') >= 0 {
			return ParsedEvent{}, errors.Wrap(target.ErrMalformedResponse, "carriage return within an event")
		}
	}
}

// HasBufferedEvent reports whether a whole event is in the read buffer.
func (e *EventReader) HasBufferedEvent() bool {
	buffered, _ := e.reader.Peek(e.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n"))
}

// parseField stores the field of one line. It returns false for comments and
// unknown fields.
func (e *EventReader) parseField(line []byte) bool {
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		e.id = append(e.id[:0], value...)
	case "event":
		e.name = append(e.name[:0], value...)
	case "data":
		if e.dataLines > 0 {
			e.data = append(e.data, '\n')
		}
		e.dataLines++
		e.data = append(e.data, value...)
	default:
		return false
	}
	return true
}

// readLine returns the next line without its line ending.
func (e *EventReader) readLine() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.readLongLine(line)
	}
	if err != nil {
		return line, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// readLongLine reads the rest of a line that exceeds the read buffer.
func (e *EventReader) readLongLine(start []byte) ([]byte, error) {
	e.longLineBuffer = append(e.longLineBuffer[:0], start...)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.longLineBuffer = append(e.longLineBuffer, part...)
		if len(e.longLineBuffer) > maxEventBytes {
			return nil, errors.Wrap(target.ErrResponseTooLarge, "read event")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.longLineBuffer, err
		}
	}
}

// AppendEvent appends an encoded event to dst. data must not contain carriage
// returns.
func AppendEvent(dst []byte, id, name string, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, id...)
	return appendNameAndData(dst, name, data)
}

// AppendNumberedEvent appends an encoded event whose ID is its offset. data must
// not contain carriage returns.
func AppendNumberedEvent(dst []byte, offset int, name string, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	return appendNameAndData(dst, name, data)
}

func appendNameAndData(dst []byte, name string, data []byte) []byte {
	dst = append(dst, "\nevent: "...)
	dst = append(dst, name...)
	for {
		line, rest, more := bytes.Cut(data, []byte("\n"))
		dst = append(dst, "\ndata: "...)
		dst = append(dst, line...)
		if !more {
			return append(dst, "\n\n"...)
		}
		data = rest
	}
}

// EventID returns the ID of the event at offset in the response to a request.
func EventID(requestID string, offset int) string {
	return requestID + "/" + strconv.Itoa(offset)
}

// parseEventID returns the offset in an event ID. It returns target.ErrRequestMismatch if
// the ID belongs to another request.
func parseEventID(id []byte, requestID string) (int, error) {
	slash := bytes.LastIndexByte(id, '/')
	if slash < 0 {
		return 0, errors.Wrapf(target.ErrMalformedResponse, "event id %q", id)
	}
	if string(id[:slash]) != requestID {
		return 0, errors.Wrapf(target.ErrRequestMismatch, "event id %q", id)
	}
	offset, err := strconv.Atoi(string(id[slash+1:]))
	if err != nil || offset < 0 {
		return 0, errors.Wrapf(target.ErrMalformedResponse, "event id %q", id)
	}
	return offset, nil
}
