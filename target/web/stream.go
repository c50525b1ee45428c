package web

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 256 << 10

// ParsedEvent is one server-sent event as it is written.
type ParsedEvent struct {
	ID   []byte
	Name []byte
	Data []byte
}

// EventReader reads server-sent events. Lines end with LF or CR LF.
type EventReader struct {
	reader *bufio.Reader
	event  ParsedEvent
	id     []byte
	name   []byte
	data   []byte
	long   []byte
	// dataLines is the number of data lines of the event.
	dataLines int
}

// NewEventReader returns a reader of the events in r.
func NewEventReader(r *bufio.Reader) *EventReader {
	return &EventReader{reader: r}
}

// Next returns the next event, whose fields are valid until the following
// call. It returns io.EOF only between events, and io.ErrUnexpectedEOF when the
// stream ends within one.
func (e *EventReader) Next() (ParsedEvent, error) {
	e.id, e.name, e.data, e.dataLines = e.id[:0], e.name[:0], e.data[:0], 0
	var fields, size int
	for {
		line, err := e.line()
		if err != nil {
			if errors.Is(err, io.EOF) && (fields > 0 || len(line) > 0) {
				err = io.ErrUnexpectedEOF
			}
			return ParsedEvent{}, err
		}
		if size += len(line); size > maxEventBytes {
			return ParsedEvent{}, errors.Wrap(target.ErrTooLong, "read event")
		}
		if len(line) == 0 {
			if fields == 0 {
				continue
			}
			return ParsedEvent{ID: e.id, Name: e.name, Data: e.data}, nil
		}
		if e.field(line) {
			fields++
		}
		if bytes.IndexByte(line, '\r') >= 0 {
			return ParsedEvent{}, errors.Wrap(target.ErrMalformed, "carriage return within an event")
		}
	}
}

// HasBufferedEvent reports whether a whole event has been received.
func (e *EventReader) HasBufferedEvent() bool {
	waiting, _ := e.reader.Peek(e.reader.Buffered())
	return bytes.Contains(waiting, []byte("\n\n")) || bytes.Contains(waiting, []byte("\n\r\n"))
}

// field takes one line; it reports false for comments and unknown fields.
func (e *EventReader) field(line []byte) bool {
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

// line returns the next line without its end.
func (e *EventReader) line() ([]byte, error) {
	line, err := e.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = e.longLine(line)
	}
	if err != nil {
		return line, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

func (e *EventReader) longLine(start []byte) ([]byte, error) {
	e.long = append(e.long[:0], start...)
	for {
		part, err := e.reader.ReadSlice('\n')
		e.long = append(e.long, part...)
		if len(e.long) > maxEventBytes {
			return nil, errors.Wrap(target.ErrTooLong, "read event")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return e.long, err
		}
	}
}

// AppendEvent appends an event to dst. Data must not hold carriage returns.
func AppendEvent(dst []byte, id, name string, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = append(dst, id...)
	return appendRest(dst, name, data)
}

// AppendNumberedEvent appends an event whose id is its offset.
func AppendNumberedEvent(dst []byte, offset int, name string, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	return appendRest(dst, name, data)
}

func appendRest(dst []byte, name string, data []byte) []byte {
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

// EventID returns the id of the event at offset of a request's answer.
func EventID(requestID string, offset int) string {
	return requestID + "/" + strconv.Itoa(offset)
}

// eventOffset checks that an event belongs to the request and returns its
// offset.
func eventOffset(id []byte, requestID string) (int, error) {
	slash := bytes.LastIndexByte(id, '/')
	if slash < 0 {
		return 0, errors.Wrapf(target.ErrMalformed, "event id %q", id)
	}
	if string(id[:slash]) != requestID {
		return 0, errors.Wrapf(target.ErrCrossed, "event id %q", id)
	}
	offset, err := strconv.Atoi(string(id[slash+1:]))
	if err != nil || offset < 0 {
		return 0, errors.Wrapf(target.ErrMalformed, "event id %q", id)
	}
	return offset, nil
}
