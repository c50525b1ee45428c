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

// MoveChats notifies the owner of the service that chats are now warm on another
// target.
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

// Alarm is a condition that needs an operator's attention. It is emitted once, when
// the condition starts.
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
	OutcomeDone      Outcome = "Done"
	OutcomeFailed    Outcome = "Failed"
	OutcomeMismatch  Outcome = "Mismatch"
	OutcomeRestarted Outcome = "Restarted"
	OutcomeCancelled Outcome = "Cancelled"
	OutcomeGone      Outcome = "Gone"
)

// Failed reports whether the target did not do what the order requested. The log
// should keep such orders, so that the next leader can call RestoreFailure.
func (o Outcome) Failed() bool {
	return o == OutcomeFailed || o == OutcomeMismatch
}

// AlarmKind identifies a condition. It is also used as a metric tag.
type AlarmKind string

// The alarms.
const (
	AlarmWishImpossible AlarmKind = "WishImpossible"
	AlarmSpreadUnmet    AlarmKind = "SpreadUnmet"
	AlarmBelowMinimum   AlarmKind = "BelowMinimum"
	AlarmPinImpossible  AlarmKind = "PinImpossible"
	AlarmOrderStuck     AlarmKind = "OrderStuck"
	AlarmOrderFailed    AlarmKind = "OrderFailed"
	AlarmOrderMismatch  AlarmKind = "OrderMismatch"
	AlarmDrainStuck     AlarmKind = "DrainStuck"
	AlarmRollStopped    AlarmKind = "RollStopped"
	AlarmRollBlocked    AlarmKind = "RollBlocked"
	AlarmBadReport      AlarmKind = "BadReport"
	AlarmStaleReport    AlarmKind = "StaleReport"
	AlarmOldFence       AlarmKind = "OldFence"
)
