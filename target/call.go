package target

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// The ways an answer can fail. Each is wrapped in a SendError.
var (
	// ErrUnreachable: no connection could be opened.
	ErrUnreachable = errors.New("target unreachable")
	// ErrNotSent: the check before sending refused.
	ErrNotSent = errors.New("call not sent")
	// ErrTimeout: nothing arrived within the budget for the first byte or the gap.
	ErrTimeout = errors.New("target silent")
	// ErrTruncated: the answer ended before its end mark or its announced length.
	ErrTruncated = errors.New("answer cut")
	// ErrRequestMismatch: the answer names another request.
	ErrRequestMismatch = errors.New("answer to another request")
	// ErrMalformedResponse: the answer does not follow the protocol.
	ErrMalformedResponse = errors.New("malformed answer")
	// ErrResponseTooLarge: the answer is longer than the limit.
	ErrResponseTooLarge = errors.New("answer too long")
	// ErrNotExecuted: the target says that it did not run the call and never will.
	ErrNotExecuted = errors.New("target did not run the call")
)

// Call is one request to a target.
type Call struct {
	// RequestID is the fleet's own id of the request, the same for every attempt.
	RequestID string
	// Attempt grows with each sending of the request.
	Attempt int
	// Address is the target's IP:port.
	Address   string
	Service   string
	Name      string
	Workspace string
	Chat      string
	// IdempotencyKey is the caller's idempotency key; empty for none.
	IdempotencyKey string
	// Priority is honoured by engines: a higher number goes first.
	Priority int
	// FencingToken is the fencing number of the permit.
	FencingToken uint64
	ContentType  string
	Body         []byte
	// Offset is the number of events that the caller already has.
	Offset int
	// LastEventID is the ID of the last event that the caller has; empty for none.
	LastEventID string
	// CacheSource is the IP:port of a target from which the called one can copy the
	// prompt's KV cache; empty for none.
	CacheSource string
	// Target is the name of the target that the call is meant for.
	Target string
	// Deadline is when the caller gives up.
	Deadline time.Time
	// OriginalRequest is the caller's request, for protocols that hand it on.
	Original *OriginalRequest
	// Stream asks for an event stream.
	Stream bool
	// RequireNewConnection asks for a connection that was opened for this call.
	RequireNewConnection bool
	// FirstByteTimeout bounds the silence before the answer, Gap the silence within
	// it; 0 is no bound.
	FirstByteTimeout time.Duration
	GapTimeout       time.Duration
	// BeforeSend is called after the last step that may block and before the
	// first byte leaves. Its error keeps the call from being sent.
	BeforeSend func() error
}

// OriginalRequest is a caller's request as it arrived.
type OriginalRequest struct {
	Method string
	// URI is the path with its query, byte for byte.
	URI  string
	Host string
	// Headers are handed on to targets.
	Headers []Header
}

// Header is one field of a request's or answer's header.
type Header struct {
	Name  string
	Value string
}

// SendError says how a call failed.
type SendError struct {
	// Sent is false only when no byte of the call can have left.
	Sent bool
	// ConnectionReused is set when the call went over a connection used before.
	ConnectionReused bool
	Err              error
}

// Error describes the failure.
func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// ResponseHeader is what is known of an answer when it begins.
type ResponseHeader struct {
	Status      int
	ContentType string
	// Stream is set when the answer is an event stream.
	Stream bool
	// CacheHit is set when a plain answer says that the context was warm.
	CacheHit bool
	// Headers are handed on to the caller.
	Headers []Header
	// NotExecuted is set when the target says that it did not run the call.
	NotExecuted bool
	// Load is what the target tells of its load; nil for nothing.
	Load *Load
}

// Load is a target's word on its load, as of its answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Event is one event of a stream.
type Event struct {
	// Offset counts the events of an answer from 0.
	Offset int
	Name   string
	Data   []byte
	// ID names the event for a resume; Raw is the whole event as it was sent.
	// Both are set where events are handed on as they are.
	ID  string
	Raw []byte
}

// StreamEnd is the end mark of a stream.
type StreamEnd struct {
	// Events is the number of events of the whole answer.
	Events int
	// CacheHit is set when the chat's context was in the prefix memory.
	CacheHit bool
	// DuplicateEvents is the number of events that arrived again and were dropped.
	DuplicateEvents int
}

// Response is an answer that is being received. Its methods are called from one
// goroutine, Close excepted.
type Response interface {
	// Header returns what is known at the beginning.
	Header() ResponseHeader
	// Body returns the whole body of a plain answer, at most limit bytes.
	Body(limit int) ([]byte, error)
	// Next returns the next event of a stream, whose data is valid until the
	// following call. It returns io.EOF after the last event of a whole stream.
	Next() (Event, error)
	// EventBuffered reports whether Next has a whole event at hand and need not wait.
	EventBuffered() bool
	// StreamEnd returns the end mark once Next has returned io.EOF.
	End() StreamEnd
	// Close gives the connection up; a whole answer's connection is kept.
	Close()
}

// Sender sends calls to targets.
type Sender interface {
	// Send returns when the answer begins. Its error is a *SendError.
	Send(ctx context.Context, call Call) (Response, error)
	// Cancel tells the target at address to stop a request, unless it was sent
	// again by a later attempt.
	Cancel(ctx context.Context, address, requestID string, attempt int) error
}
