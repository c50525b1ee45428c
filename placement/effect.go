package placement

import "time"

// Effect is something that the host does for the planner: RecordOrder,
// SendOrder, CloseOrder, MoveChats, Log or Alarm.
type Effect interface {
	effect()
}

// RecordOrder asks the host to commit the order and then call OrderRecorded.
type RecordOrder struct {
	Order Order
}

// SendOrder asks the host to send the order, unless Until has passed by the time
// that the last step which may block is behind it.
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

// MoveChats tells the owner of the service where chats are warm now.
type MoveChats struct {
	Service string
	Chats   []string
	From    string
	To      string
}

// Log is one line on a decision, with the prefix of this part.
type Log struct {
	Line string
}

// Alarm is a condition that an operator should see. It is given once when the
// condition starts.
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

// Outcome is how an order ended.
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

// Failed reports whether the target did not do what the order asked for. The log
// should keep such an order, for RestoreFailure of the next leader.
func (o Outcome) Failed() bool {
	return o == OutcomeFailed || o == OutcomeMismatch
}

// AlarmKind names a condition; it serves as the metric's tag.
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
