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
	// FaultError responds with status 500.
	FaultError FaultKind = "Error"
	// FaultRefused responds with status 503 without executing the request. If Delay is
	// set, the response asks for a pause of that length.
	FaultRefused FaultKind = "Refused"
)

// Fault describes how responses fail.
type Fault struct {
	Kind FaultKind
	// Count is the number of responses that fail; 0 makes all fail until Clear.
	Count int
	// AfterEvents is the number of events that a stream sends before the fault.
	AfterEvents int
	// Delay is the additional delay of FaultDelayed and the pause of FaultRefused.
	Delay time.Duration
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
