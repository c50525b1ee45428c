package web

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"comfreytiller.dev/target"
	"github.com/go-faster/errors"
)

// PassthroughEvents reads a stream whose events are handed on as they are and whose
// body's end is its end. Events are numbered by their IDs.
type PassthroughEvents struct {
	reader *bufio.Reader
	event  []byte
	// last is the ID of the last event handed out; begun is not set before the
	// first one of a stream that starts at its beginning.
	last  int64
	begun bool
	count int
	// repeated counts events that arrived again and were dropped.
	repeated int
}

// NewPassthroughEvents returns a reader of the events after the one of the given ID;
// an empty ID starts at the beginning.
func NewPassthroughEvents(reader *bufio.Reader, after string) *PassthroughEvents {
	p := &PassthroughEvents{reader: reader}
	if last, err := strconv.ParseInt(after, 10, 64); err == nil {
		p.last, p.begun = last, true
	}
	return p
}

// HasBufferedEvent reports whether a whole event has been received.
func (p *PassthroughEvents) Ready() bool {
	waiting, err := p.reader.Peek(p.reader.Buffered())
	return err == nil && bytes.Contains(waiting, []byte("\n\n"))
}

// End returns the number of events.
func (p *PassthroughEvents) End() target.End {
	return target.End{Events: p.count, Repeated: p.repeated}
}

// Next returns the next event. Its error is target.ErrCut where one is missing
// and io.ErrUnexpectedEOF where the body ends within one.
func (p *PassthroughEvents) Next() (target.Event, error) {
	for {
		id, err := p.read()
		if err != nil {
			return target.Event{}, err
		}
		number, err := strconv.ParseInt(string(id), 10, 64)
		if err != nil {
			return target.Event{}, errors.Wrapf(target.ErrMalformed, "event ID %.40q", id)
		}
		if p.begun && number <= p.last {
			p.repeated++
			continue
		}
		if p.begun && number > p.last+1 {
			return target.Event{}, errors.Wrapf(target.ErrCut, "event %d after %d", number, p.last)
		}
		p.last, p.begun = number, true
		p.count++
		return target.Event{Offset: p.count - 1, ID: string(id), Raw: p.event}, nil
	}
}

// read collects one event with the empty line after it and returns its ID.
func (p *PassthroughEvents) read() (id []byte, err error) {
	p.event = p.event[:0]
	fields := 0
	for {
		line, err := p.reader.ReadSlice('\n')
		p.event = append(p.event, line...)
		switch {
		case len(p.event) > maxEventBytes:
			return nil, errors.Wrap(target.ErrTooLong, "read event")
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(p.event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if fields == 0 {
				p.event = p.event[:0]
				continue
			}
			return id, nil
		}
		fields++
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = append([]byte(nil), bytes.TrimSpace(value)...)
		}
	}
}
