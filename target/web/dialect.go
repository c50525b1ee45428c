package web

import (
	"bufio"

	"comfreytiller.dev/target"
	"github.com/valyala/fasthttp"
)

// Dialect defines the encoding of calls and responses. The client handles
// connections and framing.
type Dialect interface {
	// WriteRequest fills the HTTP request of a call.
	WriteRequest(request *fasthttp.Request, call *target.Call)
	// ParseHeader converts the header of a response. It returns target.ErrRequestMismatch
	// and a zero header if the response belongs to another call. With any other error it
	// returns what the target says of itself.
	ParseHeader(header *fasthttp.ResponseHeader, call *target.Call) (target.ResponseHeader, error)
	// NewEventStream returns a reader of the events in the body of a response.
	NewEventStream(body *bufio.Reader, call *target.Call) EventStream
	// SupportsCancel reports whether targets accept a request to cancel a call.
	// Otherwise a call is canceled by closing its connection.
	SupportsCancel() bool
	// AllowsCloseDelimited reports whether the end of the connection may delimit a
	// response that has neither a length nor chunked encoding.
	AllowsCloseDelimited() bool
}

// EventStream reads the events of one response.
type EventStream interface {
	// Next returns the next event, whose data is valid until the following call. It
	// returns io.EOF when the stream is complete and its body has ended.
	Next() (target.Event, error)
	// EventBuffered reports whether Next can return a whole event without waiting.
	EventBuffered() bool
	// End returns the end of the stream once Next has returned io.EOF, without its framing and
	// cause. After another error, the numbers are not those of the whole stream.
	End() target.StreamEnd
}
