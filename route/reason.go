package route

// Reason says why a candidate was chosen or passed over.
type Reason uint8

// The reasons.
const (
	// Open: the candidate takes work.
	Open Reason = iota
	// Unannounced: permits on it are known, but not the target itself.
	Unannounced
	// OtherService: it now serves another service.
	OtherService
	// Leaving: it takes no new work from now on.
	Leaving
	// DomainOut: its failure domain is taken out.
	DomainOut
	// TargetOut: the target itself is taken out.
	TargetOut
	// Suspect: its heartbeat stopped.
	Suspect
	// Gone: its heartbeat stopped long ago.
	Gone
	// CircuitOpen: its last requests failed.
	CircuitOpen
	// Excluded: the request has tried it already.
	Excluded
	// AtLimit: it has as many in flight as it may have.
	AtLimit
	// Warming: it is cold or still warming up and has as many as it can bear.
	Warming
	// AtBound: one more would be beyond the set multiple of the mean.
	AtBound
	// Warm: the chat ran there last.
	Warm
	// Uncertain: the chat ran there last, but events of it were lost since.
	Uncertain
	// Home: the chat was warm there before the target was out.
	Home
	// Second: an older copy of the chat's context is there.
	Second
	// Hashed: first by rendezvous hashing and load.
	Hashed
	// LeastLoaded: the request has no chat.
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
