package registry

import "time"

// Command is one change of the replicated state. Commands are values; the state
// reads no clock, so each carries the times that it needs, by the clock of the
// leader that proposes it.
type Command interface {
	isCommand()
}

// Operation names an operator's command, so that it can be sent again after a
// lost answer and get the same answer. The answers to the newest MaxOperations
// commands are remembered.
type Operation struct {
	// ID is unique to the operation: 1 to MaxIdentifierBytes bytes.
	ID string
	// Time is when the leader proposed the operation.
	Time time.Time
}

// OpenSession opens a session for the process of a host. A process that lost its
// session, or the answer, uses the same Start again.
type OpenSession struct {
	Host          string
	FailureDomain string
	PeerAddress   string
	CallerAddress string
	CanOwn        bool
	// ProcessNonce is a random number that the process draws when it starts. It tells
	// a command that is sent again from one of the host's next process.
	ProcessNonce uint64
}

// CloseReason says why a session ends.
type CloseReason string

// The reasons to close a session.
const (
	// CloseGraceful is proposed by the session's own process, which has stopped
	// granting and dispatching.
	CloseGraceful CloseReason = "Graceful"
	// CloseExpired is proposed by the leader, one margin after the session's
	// lease must have ended.
	CloseExpired CloseReason = "Expired"
)

// CloseSession ends a session. Its services get new owners and its open claims
// become in doubt with the same command.
type CloseSession struct {
	Session uint64
	Reason  CloseReason
	// Term is the term in which the leader decided that the lease has ended. A
	// CloseExpired that is committed in another term has no effect: the
	// session may have been renewed in between.
	Term uint64
}

// MoveOwner gives a service to another host. Only the owner's own session
// proposes it, after it has stopped granting. Sent again, it gets the same
// answer until the service moves on.
//
// The sender may grant again only after CodeNoCandidate. After CodeNotOwner its
// grant is over, and after an unknown outcome it may be: it sends the command
// again until it gets an answer.
type MoveOwner struct {
	Service string
	Session uint64
	// Fence is the fence of the grant that is given up.
	Fence uint64
}

// ApplyFleet replaces the fleet text.
type ApplyFleet struct {
	Operation Operation
	// BaseVersion is the version that the text was made from.
	BaseVersion uint64
	Config      []byte
	// Force accepts a text that removes services in use.
	Force bool
}

// ApplyVersionedFleet replaces the fleet text by one that carries its operators' own
// version. The highest version wins; an older one changes nothing, and the same
// one is taken only with the same text.
type ApplyVersionedFleet struct {
	Version uint64
	Config  []byte
}

// SetOutage takes a failure domain or a target out or brings it back. Just one
// of both is named.
type SetOutage struct {
	Operation     Operation
	FailureDomain string
	Target        string
	Out           bool
	// BaseVersion is the OutageVersion that the operator has seen; 0 for any.
	BaseVersion uint64
}

// Pin binds a target to a service; an empty service releases it.
type Pin struct {
	Operation Operation
	Target    string
	Service   string
}

// OpenClaim asks for the right to dispatch a request that runs at most once.
type OpenClaim struct {
	Key ClaimKey
	// Fingerprint is the hash of the call and its body.
	Fingerprint uint64
	// Session and Attempt name the dispatcher. Attempts of a session rise; the
	// same attempt sent again gets the same answer.
	Session uint64
	Attempt uint64
	Time    time.Time
}

// FinishClaim records that the request has run, and its answer.
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

// MarkClaimInDoubt records that the request may have run.
type MarkClaimInDoubt struct {
	Key     ClaimKey
	Session uint64
	Attempt uint64
	Time    time.Time
}

// SettleClaim is an operator's verdict on a claim in doubt.
type SettleClaim struct {
	Operation Operation
	Key       ClaimKey
	// Ran says whether the request ran, as the operator found out.
	Ran  bool
	Note string
}

// ExpireClaims forgets the claims that ended before a time. Open claims and
// claims in doubt are kept.
type ExpireClaims struct {
	// Now is the leader's time. A state whose clock is ahead of it by more than
	// MaxClockSkew was led by a wrong clock once and goes back to it.
	Now    time.Time
	Before time.Time
	// MinSweeps is the number of earlier ExpireClaims that must have found a claim
	// ended: a leader whose clock is days ahead then forgets nothing early.
	MinSweeps uint64
}

// RecordOrder records an order to a target before it is sent.
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

// FinishOrder records how an order ended.
type FinishOrder struct {
	ID string
	// State is OrderDone or OrderFailed.
	State OrderState
	Time  time.Time
}

func (OpenSession) isCommand()         {}
func (CloseSession) isCommand()        {}
func (MoveOwner) isCommand()           {}
func (ApplyFleet) isCommand()          {}
func (ApplyVersionedFleet) isCommand() {}
func (SetOutage) isCommand()           {}
func (Pin) isCommand()                 {}
func (OpenClaim) isCommand()           {}
func (FinishClaim) isCommand()         {}
func (CancelClaim) isCommand()         {}
func (MarkClaimInDoubt) isCommand()    {}
func (SettleClaim) isCommand()         {}
func (ExpireClaims) isCommand()        {}
func (RecordOrder) isCommand()         {}
func (FinishOrder) isCommand()         {}
