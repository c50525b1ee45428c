package standin

import (
	"sync"
	"time"
)

// FaultKind is a way in which an answer fails.
type FaultKind string

// The kinds of fault.
const (
	// FaultSilent: the request is taken and nothing is answered.
	FaultSilent FaultKind = "Silent"
	// FaultCut: the connection closes within the answer.
	FaultCut FaultKind = "Cut"
	// FaultTruncated: the answer lacks its end: a stream ends with its last
	// chunk but without end mark, a plain answer lacks its last byte.
	FaultTruncated FaultKind = "Truncated"
	// FaultDuplicated: a stream sends every event twice; a plain answer comes
	// twice.
	FaultDuplicated FaultKind = "Duplicated"
	// FaultCrossed: the answer names another request, from event After on.
	FaultCrossed FaultKind = "Crossed"
	// FaultLate: the answer begins Delay later.
	FaultLate FaultKind = "Late"
	// FaultNeverEnding: the answer goes on without end.
	FaultNeverEnding FaultKind = "NeverEnding"
	// FaultStalled: the stream stops after After events and stays open.
	FaultStalled FaultKind = "Stalled"
	// FaultError: the answer is a status 500.
	FaultError FaultKind = "Error"
)

// Fault says how answers fail.
type Fault struct {
	Kind FaultKind
	// Times is the number of answers that fail; 0 fails all until Clear.
	Times int
	// After is the number of events that a stream sends before it fails.
	After int
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
	if fault.Times == 0 {
		return fault
	}
	f.next[0].Times--
	if f.next[0].Times == 0 {
		f.next = f.next[1:]
	}
	return fault
}
