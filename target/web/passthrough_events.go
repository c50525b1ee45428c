package web

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// PassthroughEvents reads a stream whose events are forwarded unchanged and which
// ends with its body. The event IDs are consecutive integers.
type PassthroughEvents struct {
	reader *bufio.Reader
	raw    []byte
	// lastID is the ID of the last returned event, or at first of the event after
	// which the stream is resumed. hasLastID is false before the first event of a
	// stream that is read from its beginning.
	lastID    int64
	hasLastID bool
	// count is the number of returned events.
	count int
	// duplicates is the number of dropped duplicate events.
	duplicates int
	// eventMissing is set if the stream failed within an event or before a gap.
	eventMissing bool
}

// NewPassthroughEvents returns a reader of the events that follow the event with
// the given ID. An empty ID starts at the beginning.
func NewPassthroughEvents(reader *bufio.Reader, after string) *PassthroughEvents {
	p := &PassthroughEvents{reader: reader}
	if last, err := strconv.ParseInt(after, 10, 64); err == nil {
		p.lastID, p.hasLastID = last, true
	}
	return p
}

// EventBuffered reports whether Next can return a whole event without waiting.
func (p *PassthroughEvents) EventBuffered() bool {
	buffered, err := p.reader.Peek(p.reader.Buffered())
	return err == nil && bytes.Contains(buffered, []byte("\n\n"))
}

// End returns the numbers of returned and of duplicate events, and whether the stream has
// another event that was not returned.
func (p *PassthroughEvents) End() target.StreamEnd {
	return target.StreamEnd{Events: p.count, DuplicateEvents: p.duplicates, EventMissing: p.eventMissing}
}

// Next returns the next event. It drops duplicate events. It returns
// target.ErrTruncated if an event is missing, target.ErrMalformedResponse if an event holds
// anything but fields, and io.ErrUnexpectedEOF if the body ends within an event.
func (p *PassthroughEvents) Next() (target.Event, error) {
	skipped := 0
	for {
		id, err := p.readEvent()
		if err != nil {
			return target.Event{}, err
		}
		number, err := strconv.ParseInt(string(id), 10, 64)
		if err != nil {
			return target.Event{}, errors.Wrapf(target.ErrMalformedResponse, "event ID %.40q", id)
		}
		if p.hasLastID && number <= p.lastID {
			p.duplicates++
			if skipped += len(p.raw); skipped > maxSkippedBytes {
				return target.Event{}, errors.Wrap(target.ErrResponseTooLarge, "duplicate events")
			}
			continue
		}
		if p.hasLastID && number > p.lastID+1 {
			p.eventMissing = true
			return target.Event{}, errors.Wrapf(target.ErrTruncated, "event %d after %d", number, p.lastID)
		}
		p.lastID, p.hasLastID = number, true
		p.count++
		return target.Event{Offset: p.count - 1, ID: string(id), Raw: p.raw}, nil
	}
}

// isEventField reports whether a line may be a field or a comment of an event. A target that
// fails may write a response header into its stream. The names of fields are in lower case,
// also of those that a reader must ignore because it doesn't know them.
func isEventField(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-' && c != '_' {
			return false
		}
	}
	return true
}

// readEvent reads one event into raw, including the empty line after it, and
// returns its ID.
func (p *PassthroughEvents) readEvent() (id []byte, err error) {
	p.raw = p.raw[:0]
	fields, skipped, lineStart := 0, 0, 0
	for {
		part, err := p.reader.ReadSlice('\n')
		p.raw = append(p.raw, part...)
		switch {
		case len(p.raw) > maxEventBytes:
			return nil, errors.Wrap(target.ErrResponseTooLarge, "read event")
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil:
			p.eventMissing = fields > 0 || isEventField(part) && len(bytes.TrimRight(p.raw, "\r")) > 0
			if errors.Is(err, io.EOF) && len(p.raw) > 0 {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
		line := bytes.TrimRight(p.raw[lineStart:], "\r\n")
		lineStart = len(p.raw)
		if len(line) == 0 {
			if fields == 0 {
				if skipped += len(p.raw); skipped > maxSkippedBytes {
					return nil, errors.Wrap(target.ErrResponseTooLarge, "empty lines")
				}
				p.raw, lineStart = p.raw[:0], 0
				continue
			}
			return id, nil
		}
		if !isEventField(line) {
			return nil, errors.Wrapf(target.ErrMalformedResponse, "line %.40q within an event", line)
		}
		fields++
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = append([]byte(nil), bytes.TrimSpace(value)...)
		}
	}
}
