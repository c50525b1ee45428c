package registry

import "time"

// Command is a change of the replicated state. Commands are plain values. The
// state machine reads no clock, so each command carries the times that it needs,
// taken from the clock of the leader that proposes it.
type Command interface {
	isCommand()
}

// Operation identifies an operator command, which makes it idempotent: resent
// after a lost reply, it gets the same result. The results of the latest
// MaxOperations commands are kept.
type Operation struct {
	// ID is the unique ID of the operation, 1 to MaxIdentifierBytes bytes long.
	ID string
	// Time is when the leader proposed the operation.
	Time time.Time
}

// OpenSession opens a session for the process of a host. A process that lost its
// session, or the reply, uses the same ProcessNonce again.
type OpenSession struct {
	Host          string
	FailureDomain string
	PeerAddress   string
	CallerAddress string
	CanOwn        bool
	// ProcessNonce is a random number that the process generates when it starts.
	// It distinguishes a resent command from a command of the host's next
	// process.
	ProcessNonce uint64
}

// CloseReason is the reason to close a session.
type CloseReason string

// Reasons to close a session.
const (
	// CloseGraceful is proposed by the session's own process, after it has
	// stopped granting permits and dispatching requests.
	CloseGraceful CloseReason = "Graceful"
	// CloseExpired is proposed by the leader, one safety margin after the latest
	// time at which the session's lease can end.
	CloseExpired CloseReason = "Expired"
)

// CloseSession closes a session. The same command assigns new owners to its
// services and marks its open claims as in doubt.
type CloseSession struct {
	Session uint64
	Reason  CloseReason
	// Term is the term in which the leader found the lease expired. A
	// CloseExpired that is committed in another term has no effect, since the
	// session may have been renewed in between.
	Term uint64
}

// MoveOwner moves a service to another host. Only the owner's session proposes
// it, after it has stopped granting permits. A resent command gets the same
// result until the service moves again.
//
// The sender may grant permits again only after CodeNoCandidate. After
// CodeNotOwner its ownership has ended, and after an unknown outcome it may have
// ended: it resends the command until it gets a result.
type MoveOwner struct {
	Service string
	Session uint64
	// FencingToken is the fencing token of the ownership that is released.
	FencingToken uint64
}

// ApplyFleet replaces the fleet configuration and increments its version.
type ApplyFleet struct {
	Operation Operation
	// BaseVersion is the version that the new configuration is based on.
	BaseVersion uint64
	Config      []byte
	// Force accepts a configuration that removes services in use.
	Force bool
}

// NumberFleet replaces the fleet configuration by one whose version is set by
// the operators. The highest version wins: an older one has no effect, and the
// current one is accepted only with the same content.
type NumberFleet struct {
	Version uint64
	Config  []byte
}

// SetOutage takes a failure domain or a target out of service or restores it.
// Exactly one of FailureDomain and Target must be set.
type SetOutage struct {
	Operation     Operation
	FailureDomain string
	Target        string
	Out           bool
	// BaseVersion is the OutageVersion that the change is based on; 0 for any.
	BaseVersion uint64
}

// Pin binds a target to a service; an empty service removes the pin.
type Pin struct {
	Operation Operation
	Target    string
	Service   string
}

// OpenClaim requests permission to dispatch a request that runs at most once.
type OpenClaim struct {
	Key ClaimKey
	// Fingerprint is the hash of the call and its body.
	Fingerprint uint64
	// Session and Attempt identify the dispatcher. The attempt numbers of a
	// session increase; a resent command of an attempt gets the same result.
	Session uint64
	Attempt uint64
	Time    time.Time
}

// FinishClaim records that the request has run, and its response.
type FinishClaim struct {
	Key      ClaimKey
	Session  uint64
	Attempt  uint64
	Response Response
	Time     time.Time
}

// CancelClaim records that the request was never sent and never will be.
type CancelClaim struct {
	Key         ClaimKey
	Fingerprint uint64
	Session     uint64
	Attempt     uint64
	Time        time.Time
}

// DoubtClaim marks a claim as in doubt: its request may have run, and its
// response is unknown.
type DoubtClaim struct {
	Key     ClaimKey
	Session uint64
	Attempt uint64
	Time    time.Time
}

// SettleClaim resolves a claim in doubt by decision of an operator.
type SettleClaim struct {
	Operation Operation
	Key       ClaimKey
	// Ran reports whether the request has run, according to the operator.
	Ran  bool
	Note string
}

// ExpireClaims removes the claims that were resolved before a given time. Open
// claims and claims in doubt are kept.
type ExpireClaims struct {
	// Now is the leader's time. If the state's clock is ahead of it by more than
	// MaxClockSkew, an earlier leader had a wrong clock, and the state's clock is
	// reset to Now.
	Now    time.Time
	Before time.Time
	// MinSweeps is the number of earlier ExpireClaims commands that must have
	// found a claim resolved. It keeps a leader whose clock is days ahead from
	// removing claims early.
	MinSweeps uint64
}

// RecordOrder records an order to a target; it is committed before the order is
// sent.
type RecordOrder struct {
	ID          string
	Target      string
	Incarnation uint64
	Kind        string
	Service     string
	Model       string
	Version     string
	Adapters    []string
	Role        string
	Time        time.Time
}

// FinishOrder records the outcome of an order.
type FinishOrder struct {
	ID string
	// State is OrderDone or OrderFailed.
	State OrderState
	Time  time.Time
}

// StartRollout begins a rollout. It succeeds without effect if the service's last rollout has
// the same version, whatever its state.
type StartRollout struct {
	Service  string
	Version  string
	Duration time.Duration
	// Share is the share of the requests that the version gets at first.
	Share float64
	// BaseNumber is the number of the service's last rollout, 0 for none. A command that is
	// committed after another rollout began has no effect.
	BaseNumber uint64
}

// StepRollout changes the share or the state of a rollout. The leader proposes it. It has no
// effect unless the rollout is serving and at step BaseStep.
type StepRollout struct {
	Service  string
	Number   uint64
	BaseStep uint64
	State    RolloutState
	Share    float64
	// PromptShare is the share of the prompts that belong to the version.
	PromptShare float64
	// Elapsed is the time since the order, by the leader's monotonic clock.
	Elapsed time.Duration
	Counts  RolloutCounts
}

func (OpenSession) isCommand()  {}
func (CloseSession) isCommand() {}
func (MoveOwner) isCommand()    {}
func (ApplyFleet) isCommand()   {}
func (NumberFleet) isCommand()  {}
func (SetOutage) isCommand()    {}
func (Pin) isCommand()          {}
func (OpenClaim) isCommand()    {}
func (FinishClaim) isCommand()  {}
func (CancelClaim) isCommand()  {}
func (DoubtClaim) isCommand()   {}
func (SettleClaim) isCommand()  {}
func (ExpireClaims) isCommand() {}
func (RecordOrder) isCommand()  {}
func (FinishOrder) isCommand()  {}
func (StartRollout) isCommand() {}
func (StepRollout) isCommand()  {}
