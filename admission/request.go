package admission

import "time"

// Request asks for the right to run one call on one target of a service.
type Request struct {
	// ID is unique to the request and its attempt.
	ID string
	// Host is the entry host that asks, and that sends the call itself.
	Host      string
	Service   string
	Workspace string
	// Chat names the returning chat; empty for none.
	Chat string
	// Priority is passed on to the engine; a higher number goes first within a
	// workspace.
	Priority int
	// Deadline is when the caller gives up. A request still queued then is
	// refused.
	Deadline time.Time
	// Exclude names targets that this request has already tried.
	Exclude []string
	// Started is when the request arrived, Objective the time to the first byte
	// that its caller expects; 0 for unknown.
	Started   time.Time
	Objective time.Duration
	// Prompt describes the work for an engine; nil for unknown. Neither it nor
	// the two above reach the owner of a service on another host.
	Prompt *Prompt
}

// Prompt is what an engine has to read and may have to write.
type Prompt struct {
	// Parts are the parts of the prompt in order. A part that an engine keeps
	// need not be read again if all before it are kept, too.
	Parts []PromptPart
	// Tokens is the length of the whole prompt, Output the longest answer.
	Tokens          int
	MaxOutputTokens int
}

// PromptPart is a part that other prompts may share.
type PromptPart struct {
	Key    uint64
	Tokens int
}

// Permit is the right to send one request to one target. The target counts it
// as in flight until its release.
type Permit struct {
	RequestID string
	// Host is the entry host that holds the permit.
	Host        string
	Service     string
	Workspace   string
	Chat        string
	Target      string
	Incarnation uint64
	// Address is the target's IP:port.
	Address string
	// Fence is the fencing number of the owner that granted the permit.
	Fence uint64
	// ValidFor bounds the time from asking to sending the first byte. After it
	// the permit must be released unsent.
	ValidFor time.Duration
	// Warm is set when the chat's context is believed to be on the target.
	Warm bool
	// Waited is the time spent in the owner's queue.
	Waited time.Duration
	// Reason says in a word why this target was chosen.
	Reason string
	// ChecksFence and Resumes repeat what the target announced.
	ChecksFence bool
	Resumes     bool
	// CacheFrom is the IP:port of the target that holds the chat's newest
	// context, when that is another one and both move KV cache; else empty.
	CacheFrom string
	// Inputs are what decided the choice, for the log; nil where the owner logs
	// its own decisions.
	Inputs *DecisionInputs
}

// DecisionInputs are what a host that decides by itself knew of the target it chose.
type DecisionInputs struct {
	// FleetVersion is the version of the fleet text in force.
	FleetVersion uint64
	// Candidates is the number of targets that took work.
	Candidates int
	// Running and Waiting are estimates over all hosts, from a report of LoadReportAge
	// ago; LoadReportAge is negative for none.
	Running       float64
	Waiting       float64
	LoadReportAge time.Duration
	// OwnInFlight is the number of this host's requests on the target.
	OwnInFlight int
	// CachedTokens is the number of prompt tokens believed to be kept there.
	CachedTokens int
	Cold         bool
	// LastSeenAge is the time since the target's last word.
	LastSeenAge time.Duration
}

// RefusalCode says why a request got no permit.
type RefusalCode string

// The refusal codes.
const (
	// RefusedNoTarget: no target of the service may take work at all.
	RefusedNoTarget RefusalCode = "NoTarget"
	// RefusedQueueFull: the workspace's queue is full.
	RefusedQueueFull RefusalCode = "QueueFull"
	// RefusedDeadline: the deadline passed in the queue.
	RefusedDeadline RefusalCode = "Deadline"
	// RefusedUnknownService: the service is not in the fleet text.
	RefusedUnknownService RefusalCode = "UnknownService"
	// RefusedUnknownWorkspace: the workspace is not in the fleet text or may
	// not use the service.
	RefusedUnknownWorkspace RefusalCode = "UnknownWorkspace"
	// RefusedNotOwner: this host does not own the service now.
	RefusedNotOwner RefusalCode = "NotOwner"
	// RefusedDependency: a service that this one depends on cannot serve.
	RefusedDependency RefusalCode = "Dependency"
	// RefusedCancelled: the request was cancelled by the host that asked.
	RefusedCancelled RefusalCode = "Cancelled"
)

// Refusal says that a request got no permit, so that no part of it ran.
type Refusal struct {
	RequestID string
	Code      RefusalCode
	Message   string
	// RetryAfter is when asking again may help.
	RetryAfter time.Duration
}

// Error makes a refusal usable as an error.
func (r *Refusal) Error() string {
	return "request " + r.RequestID + " refused: " + string(r.Code) + ": " + r.Message
}

// Outcome tells how a permit ended.
type Outcome string

// The outcomes of a permit.
const (
	// OutcomeDone: the whole answer arrived.
	OutcomeDone Outcome = "Done"
	// OutcomeFailed: the target failed or went silent.
	OutcomeFailed Outcome = "Failed"
	// OutcomeUnreachable: no connection to the target could be opened.
	OutcomeUnreachable Outcome = "Unreachable"
	// OutcomeCancelled: the caller went away.
	OutcomeCancelled Outcome = "Cancelled"
	// OutcomeRefused: the target said that it did not run the request.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnsent: no byte was sent to the target.
	OutcomeUnsent Outcome = "Unsent"
)

// Release gives a permit back.
type Release struct {
	RequestID string
	Service   string
	// Target is the permit's target; empty where the permit was granted but its
	// answer never arrived.
	Target  string
	Outcome Outcome
	// FirstByte is the time from sending to the answer's first byte; 0 if none
	// came.
	FirstByte time.Duration
}
