package target

// StreamEnd is the end of a response, and the end mark of a stream.
type StreamEnd struct {
	// Events is the number of events in the whole response.
	Events int
	// CacheHit is set when the chat's context was in the prefix cache.
	CacheHit bool
	// DuplicateEvents is the number of events that were received again and dropped.
	DuplicateEvents int
	// EventMissing is set if the response is known to have another event than those that
	// were returned, since the stream failed within it or before it.
	EventMissing bool
	// Framing is how the response shows its end, and Cause is what has ended it.
	Framing Framing
	Cause   EndCause
}

// Framing is how a response shows its end.
type Framing string

// Framings of a response. They are values of a log field.
const (
	FramingChunked Framing = "Chunked"
	FramingLength  Framing = "Length"
	// FramingConnection: only the end of the connection delimits the response.
	FramingConnection Framing = "Connection"
)

// EndCause is what has ended a response; empty if it was not read to its end.
type EndCause string

// Causes of an end. They are values of a log field.
const (
	// EndLastChunk, EndLength: the response is complete according to its framing.
	EndLastChunk EndCause = "LastChunk"
	EndLength    EndCause = "Length"
	// EndClose: the target has closed its sending side in an orderly way.
	EndClose EndCause = "Close"
	// EndReset: the connection was reset or has failed otherwise.
	EndReset   EndCause = "Reset"
	EndTimeout EndCause = "Timeout"
	// EndCanceled: the deadline has passed, the caller has disconnected or this host stops.
	EndCanceled EndCause = "Canceled"
	// EndInvalid: the response violates the protocol, lacks an event or exceeds a limit.
	EndInvalid EndCause = "Invalid"
)
