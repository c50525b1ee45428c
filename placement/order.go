package placement

import (
	"slices"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

// OrderKind is the action that an order requests.
type OrderKind string

// The kinds of order.
const (
	// LoadModel loads a model and serves a service with it.
	LoadModel OrderKind = "LoadModel"
	// ChangeRole serves with the model that is already loaded.
	ChangeRole OrderKind = "ChangeRole"
	// Unload makes the target serve nothing.
	Unload OrderKind = "Unload"
	// ExportCache exports the KV cache of chats.
	ExportCache OrderKind = "ExportCache"
	// ImportCache imports the KV cache of chats.
	ImportCache OrderKind = "ImportCache"
)

// Order is an instruction to one incarnation of a target.
type Order struct {
	// ID stays the same when the order is resent.
	ID string
	// Fence is the fencing token: the order's index in the log or the leader's
	// token, whichever is higher.
	Fence  uint64
	Target string
	// Incarnation identifies the start of the target that the order is for. The
	// target must not run it in another incarnation.
	Incarnation uint64
	Kind        OrderKind
	Service     string
	Model       string
	Version     string
	Adapters    []string
	Role        target.Role
	// Bytes is the expected size of the model or the caches.
	Bytes int64
	// Chats are the chats to move, Peer is the other target of the move.
	Chats []string
	Peer  string
	// Reason is why the order was issued.
	Reason Reason
	// RecordedAt is when the order was passed to the log, SentAt when it was first
	// sent; zero if not yet. Both are in the leader's time.
	RecordedAt time.Time
	SentAt     time.Time
}

// Reason is why a target should change.
type Reason string

// The reasons, most urgent first.
const (
	ReasonMinimum  Reason = "below its minimum"
	ReasonPin      Reason = "pinned by an operator"
	ReasonSpread   Reason = "too few failure domains"
	ReasonPressure Reason = "queue pressure"
	ReasonRollout  Reason = "new version"
	ReasonSurplus  Reason = "above its maximum"
	ReasonIdle     Reason = "idle target"
	ReasonHandover Reason = "leaving target"
)

// urgency ranks the reasons; 0 is the most urgent.
var urgency = map[Reason]int{
	ReasonMinimum: 0, ReasonPin: 1, ReasonSpread: 2, ReasonPressure: 3, ReasonRollout: 4, ReasonSurplus: 5, ReasonIdle: 6,
}

// TakesOutOfService reports whether the target serves nothing during the order.
func (o *Order) TakesOutOfService() bool {
	return o.Kind == LoadModel || o.Kind == ChangeRole || o.Kind == Unload
}

// isFulfilledBy reports whether the target reports the ordered state.
func (o *Order) isFulfilledBy(state *TargetState) bool {
	if o.Kind == Unload {
		return state.Service == ""
	}
	return state.Service == o.Service && state.Model == o.Model && state.Version == o.Version &&
		sameRole(state.Role, o.Role) && containsAll(state.Adapters, o.Adapters)
}

// OrderResult is a target's answer to an order.
type OrderResult string

// The answers.
const (
	// Accepted means that the target is running the order.
	Accepted OrderResult = "Accepted"
	// Done means that the target has completed the order.
	Done OrderResult = "Done"
	// Failed means that the target gave up. It is in its previous state or serves
	// nothing.
	Failed OrderResult = "Failed"
	// Refused means that the target has seen a higher fencing token and has not
	// run the order.
	Refused OrderResult = "Refused"
)

// OrderReply is a target's answer to an order.
type OrderReply struct {
	ID          string
	Target      string
	Incarnation uint64
	Result      OrderResult
	// Reason is the target's message for Failed.
	Reason string
}

// OrderState is the progress of an order.
type OrderState string

// The states of an order.
const (
	// Recording orders are not yet committed to the log.
	Recording OrderState = "Recording"
	// Draining orders wait until their target has no requests in flight.
	Draining OrderState = "Draining"
	// Sent orders have no answer yet.
	Sent OrderState = "Sent"
	// Running orders were accepted by the target.
	Running OrderState = "Running"
	// Confirming orders were answered with Done but do not show in the target's
	// report yet.
	Confirming OrderState = "Confirming"
	// Stuck orders have exceeded their deadline. Their target gets no other order
	// until it restarts or reports the ordered state.
	Stuck OrderState = "Stuck"
)

// pendingOrder is an order whose outcome is not known yet.
type pendingOrder struct {
	Order
	state OrderState
	// since is the time of the last change of state.
	since time.Time
	// deadline is when the order becomes stuck; zero before the first send.
	deadline       time.Time
	nextSend       time.Time
	resendInterval time.Duration
	// sendCount is how often this planner has sent the order.
	sendCount int
	// adopted is set for an order of a former leader, which may have sent it.
	adopted bool
	// slotUntil is how long an adopted load keeps its slot in the load limiter
	// before it is sent again.
	slotUntil time.Time
	// previousBuild is what the target had loaded when the order was first sent.
	previousBuild build
	// previousService is what the target served at that time. previousMismatched
	// is set if the target reported a state that was not ordered.
	previousService    string
	previousMismatched bool
}

// holdsSlot reports whether the load may still be reading from the weight store.
func (o *pendingOrder) holdsSlot(now time.Time) bool {
	if o.adopted && o.SentAt.IsZero() && !now.Before(o.slotUntil) {
		return false
	}
	return o.Kind == LoadModel && o.state != Stuck
}

// sameRole compares two roles; an empty role is the mixed role.
func sameRole(a, b target.Role) bool {
	return normalizeRole(a) == normalizeRole(b)
}

func normalizeRole(role target.Role) target.Role {
	if role == "" {
		return target.RoleMixed
	}
	return role
}

func containsAll(list, required []string) bool {
	for _, name := range required {
		if !slices.Contains(list, name) {
			return false
		}
	}
	return true
}

// build identifies what a service's targets must have loaded.
type build struct {
	model    string
	version  string
	adapters []string
}

func configuredBuild(service *fleet.Service) build {
	return build{model: service.Model, version: service.Version, adapters: service.Adapters}
}

func (b build) equal(other build) bool {
	return b.model == other.model && b.version == other.version && slices.Equal(b.adapters, other.adapters)
}

// loadedOn reports whether the target has loaded the build.
func (b build) loadedOn(state *TargetState) bool {
	return state.Model == b.model && state.Version == b.version && containsAll(state.Adapters, b.adapters)
}
