package admission

import (
	"time"

	"comfreytiller.dev/fleet"
)

// Request asks for a permit to run one call on one target of a service.
type Request struct {
	// ID is unique to the request and its attempt.
	ID string
	// Host is the entry host that asks for the permit and sends the call.
	Host      string
	Service   string
	Workspace string
	// Chat names the returning chat; empty for none.
	Chat string
	// Priority is passed on to the engine. Within a workspace, higher numbers are
	// served first.
	Priority int
	// Deadline is when the caller gives up. A request that is still queued then is
	// refused.
	Deadline time.Time
	// Exclude names targets that this request has already tried.
	Exclude []string
	// Version is the software version that the target must have, if RequiresVersion is set:
	// what two versions write of one response does not fit together.
	Version         string
	RequiresVersion bool
	// Attempt is the number of the attempt, 1 for the first; 0 for unknown. It is not sent to the
	// owner of a service on another host.
	Attempt int
	// Started is when the request arrived. Objective is the time to first byte that
	// its caller expects; 0 for unknown.
	Started   time.Time
	Objective time.Duration
	// ServiceConfig is the service in the fleet configuration under which the request
	// arrived; nil for unknown. A request that has arrived may still run on the targets
	// of a service that has left the configuration since.
	ServiceConfig *fleet.Service
	// Prompt describes the work for an engine; nil for unknown.
	Prompt *Prompt
	// ContentKey is a hash of what the request and its repeats have in common; 0 for
	// unknown. ContentKey, Prompt, Started, Objective, ServiceConfig, Idempotent and
	// BodyBytes are not sent to the owner of a service on another host.
	ContentKey uint64
	// Idempotent is set if the request may run more than once. BodyBytes is the length of
	// its body.
	Idempotent bool
	BodyBytes  int
}

// Prompt describes the tokens that an engine has to process and may have to generate.
type Prompt struct {
	// Parts are the parts of the prompt in order. An engine need not process a part
	// again if it has cached it and all parts before it.
	Parts []PromptPart
	// Tokens is the length of the whole prompt, MaxOutputTokens the maximum length of
	// the response.
	Tokens          int
	MaxOutputTokens int
}

// PromptPart is a part of a prompt that other prompts may share.
type PromptPart struct {
	Key    uint64
	Tokens int
}

// Permit is the right to send one request to one target. It counts as in flight on the
// target until its release.
type Permit struct {
	RequestID string
	// Host is the entry host that holds the permit.
	Host        string
	Service     string
	Workspace   string
	Chat        string
	Target      string
	Incarnation uint64
	// Version is the target's software version; empty if it announces none.
	Version string
	// Address is the target's IP:port.
	Address string
	// FencingToken identifies the ownership under which the permit was granted.
	FencingToken uint64
	// ValidFor bounds the time from the request for the permit to the first byte sent.
	// Afterwards the permit must be released unsent.
	ValidFor time.Duration
	// Warm is set if the target is expected to hold a cached context of the chat.
	Warm bool
	// Waited is the time spent in the owner's queue.
	Waited time.Duration
	// Reason is the name of the reason for choosing this target.
	Reason string
	// ChecksFencingToken and SupportsResume are copied from the target's announcement.
	ChecksFencingToken bool
	SupportsResume     bool
	// CacheSource is the IP:port of the target that holds the latest cached context of
	// the chat, if that is another target and both support cache transfer; else empty.
	CacheSource string
	// Inputs are the inputs of the decision, for the log; nil if the owner logs its
	// own decisions.
	Inputs *DecisionInputs
}

// DecisionInputs is what an entry host that makes its own decisions knows of the chosen
// target.
type DecisionInputs struct {
	// FleetVersion is the version of the fleet configuration in force.
	FleetVersion uint64
	// Candidates is the number of targets that admitted new requests.
	Candidates int
	// InFlight is the estimated number of requests of all hosts that are in flight on
	// the target, and Queued the number of them in its queue. They are based on a load
	// report of age LoadReportAge, which is negative if there was none.
	InFlight      float64
	Queued        float64
	LoadReportAge time.Duration
	// OwnInFlight is the number of this host's requests on the target.
	OwnInFlight int
	// CachedTokens is the number of prompt tokens that the target is expected to have
	// cached.
	CachedTokens int
	Cold         bool
	// LastSeenAge is the time since the target's last message.
	LastSeenAge time.Duration
	// Slowdown is how long work takes on the target, as a multiple of the usual time, as
	// it counted in the decision; 0 for unknown. ToldSlowdown is what the target reported
	// last, MeasuredSlowdown what its response times say of the targets compared with each
	// other; 0 for unknown.
	Slowdown         float64
	ToldSlowdown     float64
	MeasuredSlowdown float64
	// HeldTokens is the estimated number of tokens of prompts and responses in the
	// target's memory; 0 for unknown.
	HeldTokens float64
}

// RefusalCode is the reason why a request got no permit.
type RefusalCode string

// The refusal codes.
const (
	// RefusedNoTarget: no target of the service admits new requests, or all of those
	// that do have been tried.
	RefusedNoTarget RefusalCode = "NoTarget"
	// RefusedQueueFull: the workspace's queue is full.
	RefusedQueueFull RefusalCode = "QueueFull"
	// RefusedDeadline: the deadline passed in the queue.
	RefusedDeadline RefusalCode = "Deadline"
	// RefusedUnknownService: the service is not in the fleet configuration.
	RefusedUnknownService RefusalCode = "UnknownService"
	// RefusedUnknownWorkspace: the workspace is not in the fleet configuration or may
	// not use the service.
	RefusedUnknownWorkspace RefusalCode = "UnknownWorkspace"
	// RefusedNotOwner: this host does not own the service now.
	RefusedNotOwner RefusalCode = "NotOwner"
	// RefusedDependency: a service that this one depends on is unavailable.
	RefusedDependency RefusalCode = "Dependency"
	// RefusedQuarantined: the prompt has a part in quarantine, since requests with it
	// crashed targets.
	RefusedQuarantined RefusalCode = "Quarantined"
	// RefusedCancelled: the requesting host cancelled the request.
	RefusedCancelled RefusalCode = "Cancelled"
)

// Refusal is the reply to a request that got no permit. No part of the request was run.
type Refusal struct {
	RequestID string
	Code      RefusalCode
	Message   string
	// RetryAfter is the time after which a retry may succeed.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return "request " + r.RequestID + " refused: " + string(r.Code) + ": " + r.Message
}

// Outcome is how the use of a permit ended.
type Outcome string

// The outcomes of a permit.
const (
	// OutcomeDone: the complete response arrived.
	OutcomeDone Outcome = "Done"
	// OutcomeFailed: the target failed or stopped responding.
	OutcomeFailed Outcome = "Failed"
	// OutcomeUnreachable: no connection to the target could be opened.
	OutcomeUnreachable Outcome = "Unreachable"
	// OutcomeCancelled: the caller disconnected.
	OutcomeCancelled Outcome = "Cancelled"
	// OutcomeRefused: the target reported that it did not run the request.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnsent: no byte was sent to the target.
	OutcomeUnsent Outcome = "Unsent"
)

// Release ends a permit.
type Release struct {
	RequestID string
	Service   string
	// Target is the permit's target; empty if the permit was granted but never reached
	// the host.
	Target  string
	Outcome Outcome
	// FirstByte is the time from sending the request to the first byte of the response;
	// 0 if none arrived.
	FirstByte time.Duration
	// Hosts that decide by themselves use the fields below; owners don't get them.

	// Duration is the time from sending the request to the end of its response; 0 if it
	// was not sent.
	Duration time.Duration
	// Incarnation is that of the target.
	Incarnation uint64
	// Prompt and ContentKey are those of the request; nil and 0 for unknown.
	Prompt     *Prompt
	ContentKey uint64
	// Succeeded is set if the response was complete and reported success, ConnectionLost
	// if the target closed the connection before the response was complete.
	Succeeded      bool
	ConnectionLost bool
	// Route is the name of the call. Status is that of the response; 0 if none began.
	Route  string
	Status int
	// Inputs are those of the permit; nil for unknown.
	Inputs *DecisionInputs
}
