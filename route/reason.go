package route

// Reason is why a candidate was chosen or skipped.
type Reason uint8

// The reasons. Available to CircuitOpen describe whether a target admits new requests,
// Excluded to AtBound why it cannot get one request, and Warm to LeastLoaded a choice.
const (
	// Available: the target admits new requests and, where load is considered, has
	// capacity for one more.
	Available Reason = iota
	// Unannounced: the target is known only from permits.
	Unannounced
	// OtherService: the target now belongs to another service.
	OtherService
	// Leaving: the target has announced that it admits no new requests.
	Leaving
	// DomainOut: the target's failure domain is out of service.
	DomainOut
	// TargetOut: the target is out of service.
	TargetOut
	// Suspect: heartbeats are missing.
	Suspect
	// Gone: heartbeats have been missing for a long time.
	Gone
	// CircuitOpen: the circuit breaker is open after failed requests.
	CircuitOpen
	// Excluded: the request has already tried the target.
	Excluded
	// OtherVersion: the request needs a target of another software version.
	OtherVersion
	// AtLimit: the target has reached its own limit.
	AtLimit
	// Warming: the target is cold or warming up and has reached its reduced limit.
	Warming
	// AtBound: one more request would exceed the load bound.
	AtBound
	// Warm: the chat ran there last.
	Warm
	// Uncertain: the chat ran there last, but cache events of the target have been
	// lost since.
	Uncertain
	// Home: the chat was warm there before the target was out of service. In a choice by
	// ChooseLocal, the target is the home of the prompt.
	Home
	// Second: the target holds an older cached context of the chat.
	Second
	// Hashed: chosen by rendezvous hashing and load.
	Hashed
	// LeastLoaded: chosen by load, since the request has no chat.
	LeastLoaded
)

var reasonNames = [...]string{
	Available:    "Open",
	Unannounced:  "Unannounced",
	OtherService: "OtherService",
	Leaving:      "Leaving",
	DomainOut:    "DomainOut",
	TargetOut:    "TargetOut",
	Suspect:      "Suspect",
	Gone:         "Gone",
	CircuitOpen:  "CircuitOpen",
	Excluded:     "Excluded",
	OtherVersion: "OtherVersion",
	AtLimit:      "AtLimit",
	Warming:      "Warming",
	AtBound:      "AtBound",
	Warm:         "Warm",
	Uncertain:    "Uncertain",
	Home:         "Home",
	Second:       "Second",
	Hashed:       "Hashed",
	LeastLoaded:  "LeastLoaded",
}

// String returns the reason's name.
func (r Reason) String() string {
	return reasonNames[r]
}
