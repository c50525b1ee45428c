package standin

import (
	"sync"
	"time"
)

// FaultKind is a way in which an answer fails.
type FaultKind string

// The kinds of fault.
const (
	// FaultNoResponse: the request is taken and nothing is answered.
	FaultNoResponse FaultKind = "Silent"
	// FaultConnectionClosed: the connection closes within the answer.
	FaultConnectionClosed FaultKind = "Cut"
	// FaultMissingEnd: the answer lacks its end: a stream ends with its last
	// chunk but without end mark, a plain answer lacks its last byte.
	FaultMissingEnd FaultKind = "Truncated"
	// FaultDuplicate: a stream sends every event twice; a plain answer comes
	// twice.
	FaultDuplicate FaultKind = "Duplicated"
	// FaultRequestMismatch: the answer names another request, from event After on.
	FaultRequestMismatch FaultKind = "Crossed"
	// FaultDelayed: the answer begins Delay later.
	FaultDelayed FaultKind = "Late"
	// FaultEndless: the answer goes on without end.
	FaultEndless FaultKind = "NeverEnding"
	// FaultStalled: the stream stops after After events and stays open.
	FaultStalled FaultKind = "Stalled"
	// FaultError: the answer is a status 500.
	FaultError FaultKind = "Error"
)

// Fault says how answers fail.
type Fault struct {
	Kind FaultKind
	// Count is the number of answers that fail; 0 fails all until Clear.
	Count int
	// AfterEvents is the number of events that a stream sends before it fails.
	AfterEvents int
	// Delay is how much later a late answer begins.
	Delay time.Duration
}

// faults holds the faults to come.
type faults struct {
	mu   sync.Mutex
	next []Fault
}

func (f *faults) inject(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = append(f.next, fault)
}

func (f *faults) clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = nil
}

// take returns the fault of the answer that begins now.
func (f *faults) take() Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.next) == 0 {
		return Fault{}
	}
	fault := f.next[0]
	if fault.Count == 0 {
		return fault
	}
	f.next[0].Count--
	if f.next[0].Count == 0 {
		f.next = f.next[1:]
	}
	return fault
}
