package route

// Reason is why a candidate was chosen or skipped.
type Reason uint8

// The reasons. Open to AtBound describe availability, Warm to LeastLoaded a choice.
const (
	// Open: the target takes new requests.
	Open Reason = iota
	// Unannounced: the target is known only from permits.
	Unannounced
	// OtherService: the target now belongs to another service.
	OtherService
	// Leaving: the target has announced that it takes no new requests.
	Leaving
	// DomainOut: the target's failure domain is taken out of service.
	DomainOut
	// TargetOut: the target is taken out of service.
	TargetOut
	// Suspect: heartbeats are missing.
	Suspect
	// Gone: heartbeats have been missing for a long time.
	Gone
	// CircuitOpen: the circuit breaker is open after failed requests.
	CircuitOpen
	// Excluded: the request has already tried the target.
	Excluded
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
	// Home: the chat was warm there before the target was taken out.
	Home
	// Second: the target holds an older copy of the chat's context.
	Second
	// Hashed: chosen by rendezvous hashing and load.
	Hashed
	// LeastLoaded: chosen by load, since the request has no chat.
	LeastLoaded
)

var reasonNames = [...]string{
	Open:         "Open",
	Unannounced:  "Unannounced",
	OtherService: "OtherService",
	Leaving:      "Leaving",
	DomainOut:    "DomainOut",
	TargetOut:    "TargetOut",
	Suspect:      "Suspect",
	Gone:         "Gone",
	CircuitOpen:  "CircuitOpen",
	Excluded:     "Excluded",
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
