package standin

import (
	"sync"
	"time"
)

// FaultKind is a kind of response failure.
type FaultKind string

// Fault kinds.
const (
	// FaultNoResponse accepts the request and never responds.
	FaultNoResponse FaultKind = "Silent"
	// FaultConnectionClosed closes the connection within the response.
	FaultConnectionClosed FaultKind = "Cut"
	// FaultMissingEnd omits the end of the response: a stream ends with its last
	// chunk but without end event, a non-streaming response lacks its last byte.
	FaultMissingEnd FaultKind = "Truncated"
	// FaultDuplicate sends every event of a stream, or a whole non-streaming response,
	// twice.
	FaultDuplicate FaultKind = "Duplicated"
	// FaultRequestMismatch sends the ID of another request in the response, in a
	// stream from event AfterEvents on.
	FaultRequestMismatch FaultKind = "Crossed"
	// FaultDelayed delays the start of the response by Delay.
	FaultDelayed FaultKind = "Late"
	// FaultEndless sends a response that never ends.
	FaultEndless FaultKind = "NeverEnding"
	// FaultStalled stops the stream after AfterEvents events and keeps the
	// connection open.
	FaultStalled FaultKind = "Stalled"
	// FaultPaused sends nothing for Delay after AfterEvents events of a stream and then
	// goes on.
	FaultPaused FaultKind = "Paused"
	// FaultError responds with status 500.
	FaultError FaultKind = "Error"
	// FaultRefused responds with status 503 without executing the request. If Delay is
	// set, the response asks for a pause of that length.
	FaultRefused FaultKind = "Refused"
	// FaultEndlessHead sends a header field without end, FaultEndlessHeaderFields header
	// fields without end and FaultEndlessInterim interim responses without end.
	FaultEndlessHead         FaultKind = "EndlessHead"
	FaultEndlessHeaderFields FaultKind = "EndlessHeaderFields"
	FaultEndlessInterim      FaultKind = "EndlessInterim"
	// FaultEndlessChunkExtension sends a chunk extension without end.
	FaultEndlessChunkExtension FaultKind = "EndlessChunkExtension"
	// FaultOverlong sends bytes without end after a complete response.
	FaultOverlong FaultKind = "Overlong"
	// FaultEndlessEvent sends a stream with an event without end, FaultEndlessEventLines
	// one with empty lines without end.
	FaultEndlessEvent      FaultKind = "EndlessEvent"
	FaultEndlessEventLines FaultKind = "EndlessEventLines"
	// FaultDrip sends one byte of the body after each Delay.
	FaultDrip FaultKind = "Drip"
	// FaultCloseDelimited sends a response with neither a length nor chunked encoding,
	// which is silent for Delay in its middle and whose connection ends with Ending. A
	// stream ends after AfterEvents events; 0 for all.
	FaultCloseDelimited FaultKind = "CloseDelimited"
)

// Fault describes how responses fail.
type Fault struct {
	Kind FaultKind
	// Count is the number of responses that fail; 0 makes all fail until Clear.
	Count int
	// AfterEvents is the number of events that a stream sends before the fault.
	AfterEvents int
	// Delay is the additional delay of FaultDelayed, the pause of FaultPaused and
	// FaultRefused, the interval of FaultDrip and the silence of FaultCloseDelimited.
	Delay time.Duration
	// Ending is how the connection of FaultCloseDelimited ends.
	Ending Ending
}

// faultQueue contains the faults of the next responses.
type faultQueue struct {
	mu      sync.Mutex
	entries []Fault
}

func (f *faultQueue) add(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, fault)
}

func (f *faultQueue) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = nil
}

// pending returns the number of queued faults.
func (f *faultQueue) pending() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.entries)
}

// pop returns the fault for the response that starts now; a zero Fault for none.
func (f *faultQueue) pop() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.entries) == 0 {
		return Fault{}
	}
	fault := f.entries[0]
	if fault.Count == 0 {
		return fault
	}
	f.entries[0].Count--
	if f.entries[0].Count == 0 {
		f.entries = f.entries[1:]
	}
	return fault
}
