package placement

import "time"

// Effect is an action that the host performs for the planner: RecordOrder,
// SendOrder, CloseOrder, MoveChats, Log or Alarm.
type Effect interface {
	effect()
}

// RecordOrder asks the host to commit the order to the log and then call
// OrderRecorded or OrderNotRecorded.
type RecordOrder struct {
	Order Order
}

// SendOrder asks the host to send the order. The host must check Until after the
// last step that can block, and must not send the order once it has passed.
type SendOrder struct {
	Order Order
	Until time.Time
}

// CloseOrder asks the host to remove the order from the log.
type CloseOrder struct {
	ID      string
	Target  string
	Outcome Outcome
}

// MoveChats asks the host to notify the owner of the service that the contexts of
// chats are now cached on another target.
type MoveChats struct {
	Service string
	Chats   []string
	From    string
	To      string
}

// Log is a log line about a decision, with the prefix "placement: ".
type Log struct {
	Line string
}

// Alarm is a condition or an event that needs an operator's attention. For a
// condition it is emitted once, when the condition starts.
type Alarm struct {
	Kind    AlarmKind
	Service string
	Target  string
	Message string
}

func (RecordOrder) effect() {}
func (SendOrder) effect()   {}
func (CloseOrder) effect()  {}
func (MoveChats) effect()   {}
func (Log) effect()         {}
func (Alarm) effect()       {}

// Outcome is the result of an order that has ended.
type Outcome string

// The outcomes.
const (
	// OutcomeDone means that the target reports the ordered state or has completed
	// the cache transfer.
	OutcomeDone Outcome = "Done"
	// OutcomeFailed means that the target failed or refused the order.
	OutcomeFailed Outcome = "Failed"
	// OutcomeMismatch means that the target reports a state that was not ordered.
	OutcomeMismatch Outcome = "Mismatch"
	// OutcomeRestarted means that the target has restarted since the order.
	OutcomeRestarted Outcome = "Restarted"
	// OutcomeCancelled means that the order could not be sent or is no longer needed.
	OutcomeCancelled Outcome = "Cancelled"
	// OutcomeGone means that the target went missing after the order was sent.
	OutcomeGone Outcome = "Gone"
)

// Failed reports whether the target did not do what the order requested. The log
// should keep such orders, so that the next leader can call RestoreFailure.
func (o Outcome) Failed() bool {
	return o == OutcomeFailed || o == OutcomeMismatch
}

// AlarmKind identifies a condition or an event. It is also used as a metric tag.
type AlarmKind string

// The alarms. The values appear in metrics and in the status for operators, so they do
// not follow the names.
const (
	// AlarmMinimumUnsatisfiable: no target can be spared to reach the minimum.
	AlarmMinimumUnsatisfiable AlarmKind = "WishImpossible"
	// AlarmSpreadUnmet: the targets are in too few failure domains.
	AlarmSpreadUnmet AlarmKind = "SpreadUnmet"
	// AlarmBelowMinimum: fewer targets than the minimum serve now.
	AlarmBelowMinimum AlarmKind = "BelowMinimum"
	// AlarmPinImpossible: a target is pinned to a service without a model.
	AlarmPinImpossible AlarmKind = "PinImpossible"
	// AlarmOrderStuck: an order has exceeded its deadline with an unknown outcome.
	AlarmOrderStuck AlarmKind = "OrderStuck"
	// AlarmOrderFailed: a target failed an order, or a cache transfer timed out.
	AlarmOrderFailed AlarmKind = "OrderFailed"
	// AlarmOrderMismatch: a target reports a state that was not ordered.
	AlarmOrderMismatch AlarmKind = "OrderMismatch"
	// AlarmDrainStuck: a target has requests in flight after DrainTimeout.
	AlarmDrainStuck AlarmKind = "DrainStuck"
	// AlarmRolloutStopped: a rollout stopped after a failure.
	AlarmRolloutStopped AlarmKind = "RollStopped"
	// AlarmRolloutBlocked: a service at its minimum gets no spare for its rollout.
	AlarmRolloutBlocked AlarmKind = "RollBlocked"
	// AlarmBadReport: a target's report is invalid.
	AlarmBadReport AlarmKind = "BadReport"
	// AlarmStaleReport: a report is from an earlier incarnation of the target.
	AlarmStaleReport AlarmKind = "StaleReport"
	// AlarmOldFencingToken: a target has seen a higher fencing token than the order's.
	AlarmOldFencingToken AlarmKind = "OldFence"
)
