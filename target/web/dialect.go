package web

import (
	"bufio"

	"comfreytiller.dev/target"
	"github.com/valyala/fasthttp"
)

// Dialect is how calls and their answers look on the wire. The client keeps the
// connections and the framing.
type Dialect interface {
	// Fill writes a call into a request.
	Fill(request *fasthttp.Request, call *target.Call)
	// Header reads the header of an answer. Its error is target.ErrRequestMismatch for
	// an answer to another call.
	Header(header *fasthttp.ResponseHeader, call *target.Call) (target.ResponseHeader, error)
	// Events reads the events of a stream's body.
	Events(body *bufio.Reader, call *target.Call) Events
	// Cancels reports whether a target is told to stop a call; elsewhere the call
	// ends with its connection.
	Cancels() bool
	// Unframed reports whether an answer may end with its connection.
	Unframed() bool
}

// Events reads the events of one answer.
type Events interface {
	// Next returns the next event, whose data is valid until the following call;
	// io.EOF once the stream is whole and its body has ended.
	Next() (target.Event, error)
	// Ready reports whether a whole event has been received.
	EventBuffered() bool
	// End returns the end mark once Next has returned io.EOF.
	End() target.StreamEnd
}
