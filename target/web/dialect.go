package web

import (
	"bufio"

	"comfreytiller.dev/target"
	"github.com/valyala/fasthttp"
)

// Dialect is how calls and their answers look on the wire. The client keeps the
// connections and the framing.
type Dialect interface {
	// WriteRequest writes a call into a request.
	WriteRequest(request *fasthttp.Request, call *target.Call)
	// ParseHeader reads the header of an answer. Its error is target.ErrCrossed for
	// an answer to another call.
	ParseHeader(header *fasthttp.ResponseHeader, call *target.Call) (target.AnswerHeader, error)
	// NewEventStream reads the events of a stream's body.
	NewEventStream(body *bufio.Reader, call *target.Call) EventStream
	// SupportsCancel reports whether a target is told to stop a call; elsewhere the call
	// ends with its connection.
	SupportsCancel() bool
	// AllowsCloseDelimited reports whether an answer may end with its connection.
	AllowsCloseDelimited() bool
}

// NewEventStream reads the events of one answer.
type EventStream interface {
	// Next returns the next event, whose data is valid until the following call;
	// io.EOF once the stream is whole and its body has ended.
	Next() (target.Event, error)
	// HasBufferedEvent reports whether a whole event has been received.
	Ready() bool
	// End returns the end mark once Next has returned io.EOF.
	End() target.End
}
