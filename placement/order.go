package placement

import (
	"slices"
	"time"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/target"
)

// OrderKind is what a target is told to do.
type OrderKind string

// The kinds of order.
const (
	// LoadModel has the target load a model and serve a service with it.
	LoadModel OrderKind = "LoadModel"
	// ChangeRole has the target serve with the model that it holds.
	ChangeRole OrderKind = "ChangeRole"
	// Unload has the target serve nothing.
	Unload OrderKind = "Unload"
	// ExportCache has the target hand out the KV cache of chats.
	ExportCache OrderKind = "ExportCache"
	// ImportCache has the target take in the KV cache of chats.
	ImportCache OrderKind = "ImportCache"
)

// Order is one instruction to one incarnation of a target.
type Order struct {
	// ID stays the same when the order is sent again.
	ID string
	// Fence is the fencing number: that of the order's place in the log, or the
	// leader's if that is higher.
	Fence  uint64
	Target string
	// Incarnation is the start of the target that the order is meant for; any
	// other one must not run it.
	Incarnation uint64
	Kind        OrderKind
	Service     string
	Model       string
	Version     string
	Adapters    []string
	Role        target.Role
	// Bytes is the expected size of what is loaded or moved.
	Bytes int64
	// ObserveChats and Peer are the chats to move and the other target of the move.
	Chats []string
	Peer  string
	// Reason says why the order was given.
	Reason Reason
	// RecordedAt is when the order was given to the log, SentAt when it was
	// first sent; zero for not yet. Both are the leader's time.
	RecordedAt time.Time
	SentAt     time.Time
}

// Reason is why a target is to change.
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

// urgency orders the reasons.
var urgency = map[Reason]int{
	ReasonMinimum: 0, ReasonPin: 1, ReasonSpread: 2, ReasonPressure: 3, ReasonRollout: 4, ReasonSurplus: 5, ReasonIdle: 6,
}

// TakesOutOfService reports whether the target serves nothing while it runs the order.
func (o *Order) TakesOutOfService() bool {
	return o.Kind == LoadModel || o.Kind == ChangeRole || o.Kind == Unload
}

// shows reports whether the target's report is what the order asks for.
func (o *Order) shows(state *TargetState) bool {
	if o.Kind == Unload {
		return state.Service == ""
	}
	return state.Service == o.Service && state.Model == o.Model && state.Version == o.Version &&
		sameRole(state.Role, o.Role) && holdsAll(state.Adapters, o.Adapters)
}

// OrderResult is a target's answer to an order.
type OrderResult string

// The answers.
const (
	// Accepted says that the target is at it.
	Accepted OrderResult = "Accepted"
	// Done says that the target has finished.
	Done OrderResult = "Done"
	// Failed says that the target gave up and is as before, or serves nothing.
	Failed OrderResult = "Failed"
	// Refused says that the target has seen a higher fencing number and has not
	// run the order.
	Refused OrderResult = "Refused"
)

// OrderReply answers an order.
type OrderReply struct {
	ID          string
	Target      string
	Incarnation uint64
	Result      OrderResult
	// Reason is the target's text for Failed.
	Reason string
}

// OrderState is how far an order has come.
type OrderState string

// The states of an order.
const (
	// Recording orders wait for the log.
	Recording OrderState = "Recording"
	// Draining orders wait until their target runs nothing.
	Draining OrderState = "Draining"
	// Sent orders have no answer yet.
	Sent OrderState = "Sent"
	// Running orders were accepted.
	Running OrderState = "Running"
	// Confirming orders were answered with Done; the report lags.
	Confirming OrderState = "Confirming"
	// Stuck orders have passed their time. Their target gets no other order
	// until it restarts or shows what was asked for.
	Stuck OrderState = "Stuck"
)

// pending is an order whose end is not known.
type pending struct {
	Order
	state OrderState
	// since is the time of the last change of state.
	since time.Time
	// deadline ends the order; zero before the first send.
	deadline time.Time
	nextSend time.Time
	pause    time.Duration
	// sends counts how often this planner has sent the order.
	sends int
	// adopted is set for an order of an earlier leader, which may have sent it.
	adopted bool
	// slotUntil ends the share of the weight store that an adopted load keeps
	// until it is sent again.
	slotUntil time.Time
	// before is what the target served when the order was first sent.
	before build
	// beforeService is the service of that time; beforeMismatched says that
	// nobody had ordered what the target showed.
	beforeService    string
	beforeMismatched bool
}

// holdsSlot reports whether the load may still take from the weight store.
func (o *pending) holdsSlot(now time.Time) bool {
	if o.adopted && o.SentAt.IsZero() && !now.Before(o.slotUntil) {
		return false
	}
	return o.Kind == LoadModel && o.state != Stuck
}

// sameRole treats no role as mixed.
func sameRole(a, b target.Role) bool {
	return roleOf(a) == roleOf(b)
}

func roleOf(role target.Role) target.Role {
	if role == "" {
		return target.RoleMixed
	}
	return role
}

func holdsAll(have, want []string) bool {
	for _, name := range want {
		if !slices.Contains(have, name) {
			return false
		}
	}
	return true
}

// build is what a service's targets must have loaded.
type build struct {
	model    string
	version  string
	adapters []string
}

func buildOf(service *fleet.Service) build {
	return build{model: service.Model, version: service.Version, adapters: service.Adapters}
}

func (b build) equal(other build) bool {
	return b.model == other.model && b.version == other.version && slices.Equal(b.adapters, other.adapters)
}

// loadedOn reports whether the target holds the build.
func (b build) loadedOn(state *TargetState) bool {
	return state.Model == b.model && state.Version == b.version && holdsAll(state.Adapters, b.adapters)
}
