package target

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a call. Each is wrapped in a SendError. Their texts become part of
// responses to callers and must not change.
var (
	// ErrUnreachable: no connection could be established.
	ErrUnreachable = errors.New("target unreachable")
	// ErrNotSent: a check before sending failed, so the call was not sent.
	ErrNotSent = errors.New("call not sent")
	// ErrTimeout: no data arrived within FirstByteTimeout or GapTimeout, and the call may
	// be given up.
	ErrTimeout = errors.New("target silent")
	// ErrTruncated: the response ended before its end mark or its announced length.
	ErrTruncated = errors.New("answer cut")
	// ErrRequestMismatch: the response has the ID of another request.
	ErrRequestMismatch = errors.New("answer to another request")
	// ErrMalformedResponse: the response violates the protocol.
	ErrMalformedResponse = errors.New("malformed answer")
	// ErrResponseTooLarge: the response exceeds the size limit.
	ErrResponseTooLarge = errors.New("answer too long")
	// ErrNotExecuted: the target reports that it did not execute the call and never
	// will.
	ErrNotExecuted = errors.New("target did not run the call")
)

// Call is one request to a target.
type Call struct {
	// RequestID is the ID that the fleet assigned to the request. All attempts share
	// it.
	RequestID string
	// Attempt increases each time the request is sent.
	Attempt int
	// Address is the target's IP:port.
	Address string
	Service string
	// Name is the name of the call within the service.
	Name string
	// Workspace and Chat identify the caller's workspace and chat.
	Workspace string
	Chat      string
	// IdempotencyKey is supplied by the caller; empty for none.
	IdempotencyKey string
	// Priority is passed on to engines. Higher numbers go first; dialects convert it.
	Priority int
	// FencingToken is the fencing token of the permit.
	FencingToken uint64
	ContentType  string
	Body         []byte
	// Offset is the number of events that the caller has already received.
	Offset int
	// LastEventID is the ID of the last event that the caller has received; empty for
	// none.
	LastEventID string
	// CacheSource is the IP:port of a target from which the called target can copy the
	// prompt's KV cache; empty for none.
	CacheSource string
	// Target is the name of the called target.
	Target string
	// Deadline is the time at which the caller stops waiting.
	Deadline time.Time
	// Original is the caller's request, for protocols that forward it.
	Original *OriginalRequest
	// Stream requests an event stream.
	Stream bool
	// RequireNewConnection prevents the use of a pooled connection.
	RequireNewConnection bool
	// ConnectionReused is set by the sender if an earlier response came over the connection,
	// which a faulty target may send once more.
	ConnectionReused bool
	// FirstByteTimeout limits the wait for the response, GapTimeout the wait for more
	// data within it; 0 means no limit.
	FirstByteTimeout time.Duration
	GapTimeout       time.Duration
	// MayGiveUp is asked when one of these timeouts has passed. If it returns false, the
	// call waits on and asks again after a part of the timeout. If it returns true, the
	// call fails with ErrTimeout, as it always does if MayGiveUp is nil. It is called by
	// the goroutine that uses the Sender or the Response.
	MayGiveUp func() bool
	// BeforeSend is called after the last step that may block and before the
	// first byte is sent. If it returns an error, the call is not sent.
	BeforeSend func() error
	// ReserveBody is called before the buffer of a non-streaming response grows by the
	// given number of bytes; nil sets no limit but that of Response.Body. If it returns
	// an error, the response is not read further.
	ReserveBody func(bytes int) error
}

// OriginalRequest is a caller's request as received.
type OriginalRequest struct {
	Method string
	// URI is the unmodified path with its query.
	URI  string
	Host string
	// Headers are the header fields that are forwarded to targets.
	Headers []Header
}

// Header is one header field of a request or response.
type Header struct {
	Name  string
	Value string
}

// SendError is the error of a failed call.
type SendError struct {
	// Sent is false only if no byte of the call can have been sent.
	Sent bool
	// ConnectionReused is set when the call was sent on a connection that had been
	// used before.
	ConnectionReused bool
	// Header is the header of a response that violates the protocol; zero if none
	// was received or if it belongs to another request.
	Header ResponseHeader
	Err    error
}

// Error returns the message of Err.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *SendError) Unwrap() error { return e.Err }

// ResponseHeader holds the properties of a response that are known when it begins.
type ResponseHeader struct {
	Status      int
	ContentType string
	// Stream is set for an event stream.
	Stream bool
	// CacheHit is set when a non-streaming response reports that the chat's context
	// was in the prefix cache.
	CacheHit bool
	// Headers are the header fields that are forwarded to the caller.
	Headers []Header
	// NotExecuted is set when the target reports that it did not execute the call.
	NotExecuted bool
	// Load is the load that the target reports; nil if it reports none. LoadProblem is why
	// the target's value was ignored; empty if it was used or if there is none.
	Load        *Load
	LoadProblem string
	// Leaving is set when the target is about to stop and wants no new requests.
	Leaving bool
	// RetryAfter is how long the target wants no requests from this host; 0 for no
	// pause. RetryAfterProblem is why the target's value was ignored or bounded; empty
	// if it was used as it is.
	RetryAfter        time.Duration
	RetryAfterProblem string
	// TellsRateLimit is set if the response tells whether the target has a rate limit.
	// RateLimit is then the number of requests per second that it takes from all hosts
	// together; nil if it has none. RateLimitProblem is why the target's value was ignored
	// or bounded; empty if it was used as it is.
	TellsRateLimit   bool
	RateLimit        *float64
	RateLimitProblem string
}

// Load is the load that a target reports in a response.
type Load struct {
	// Running is the number of requests that the target is processing. It excludes
	// queued requests.
	Running int
	// Queued is the number of requests in the target's own queue.
	Queued int
	// Slots is the maximum of Running.
	Slots int
	// Slowdown is how long work takes on the target at this moment, as a multiple of the
	// usual time; 0 if the target does not report it.
	Slowdown float64
}

// Event is one event of a stream.
type Event struct {
	// Offset is the position of the event in the response, starting at 0.
	Offset int
	// Name is the type of the event.
	Name string
	Data []byte
	// ID identifies the event when a stream is resumed. Raw is the event as
	// received. Both are set for protocols that forward events unmodified.
	ID  string
	Raw []byte
}

// Response is a response that is being received. Its methods except Close must be
// called from one goroutine.
type Response interface {
	// Header returns the header of the response.
	Header() ResponseHeader
	// Body returns the whole body of a non-streaming response. It returns
	// ErrResponseTooLarge if the body exceeds limit bytes.
	Body(limit int) ([]byte, error)
	// Next returns the next event of a stream. The event's data is valid until the
	// following call. Next returns io.EOF after the last event of a complete stream.
	Next() (Event, error)
	// EventBuffered reports whether Next can return an event without waiting.
	EventBuffered() bool
	// End returns the end of the response after Next has returned io.EOF, or Body the whole body.
	// After another error, the numbers are not those of the whole response.
	End() StreamEnd
	// Close releases the connection. It is kept for reuse if the response was read
	// completely.
	Close()
}

// Sender sends calls to targets.
type Sender interface {
	// Send returns when the response begins. Its error is a *SendError.
	Send(ctx context.Context, call Call) (Response, error)
	// Cancel requests the target at address to stop a request, unless a later attempt
	// has sent the request again.
	Cancel(ctx context.Context, address, requestID string, attempt int) error
}
