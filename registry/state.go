package registry

import (
	"time"

	"comfreytiller.dev/fleet"
)

// state is everything that the replicas agree on. Its methods are
// deterministic.
type state struct {
	// applied is the index of the last command, revision that of the last one
	// that changed the view.
	applied  uint64
	revision uint64
	// base is added to the log index to get a number that has never been used,
	// neither in this cluster nor in one that this one continues from.
	base uint64
	// clock is the latest time of any command. It only rises, so that a host
	// with a slow clock cannot shorten the retention of its claims.
	clock time.Time

	fleetVersion uint64
	fleetText    []byte
	fleet        *fleet.Fleet

	// outageVersion counts the changes of outages and pins.
	outageVersion uint64
	domainsOut    map[string]bool
	targetsOut    map[string]bool
	pins          map[string]string

	sessions map[uint64]Host
	owners   map[string]Owner
	// moves holds the last move of each service, so that a MoveOwner that is
	// sent again gets the same answer.
	moves map[string]move

	operations operations
	claims     claims
	// orders holds the newest order of each target, at most orderLimit; pending
	// are the targets whose order has not ended.
	orders     map[string]Order
	orderLimit int
	pending    map[string]bool

	changed changes
	// read gives the meaning of a fleet text.
	read FleetParser
}

// changes are the parts of the view that the current command has changed.
type changes struct {
	fleet   bool
	hosts   bool
	owners  bool
	outages bool
	orders  bool
}

func (c changes) any() bool {
	return c != changes{}
}

func newState(read FleetParser) state {
	return state{
		read:       read,
		domainsOut: map[string]bool{},
		targetsOut: map[string]bool{},
		pins:       map[string]string{},
		sessions:   map[uint64]Host{},
		owners:     map[string]Owner{},
		moves:      map[string]move{},
		operations: newOperations(),
		claims:     newClaims(),
		orders:     map[string]Order{},
		orderLimit: MaxOrders,
		pending:    map[string]bool{},
	}
}

// tick moves the clock forward to the time of a command and returns the clock.
func (s *state) tick(commandTime time.Time) time.Time {
	if commandTime.After(s.clock) {
		s.clock = commandTime
	}
	return s.clock
}

// apply executes a command. The number is that of its log entry.
func (s *state) apply(number, term uint64, command Command) Result {
	switch command := command.(type) {
	case OpenSession:
		return s.openSession(number, command)
	case CloseSession:
		return s.closeSession(number, term, command)
	case MoveOwner:
		return s.moveOwner(number, command)
	case ApplyFleet:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.applyFleet(number, command) })
	case ApplyVersionedFleet:
		return s.numberFleet(number, command)
	case SetOutage:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.setOutage(number, command) })
	case Pin:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.pin(command) })
	case OpenClaim:
		return s.openClaim(number, command)
	case FinishClaim:
		return s.finishClaim(number, command)
	case CancelClaim:
		return s.cancelClaim(number, command)
	case MarkClaimInDoubt:
		return s.doubtClaim(command)
	case SettleClaim:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.settleClaim(command) })
	case ExpireClaims:
		return s.expireClaims(command)
	case RecordOrder:
		return s.recordOrder(number, command)
	case FinishOrder:
		return s.finishOrder(command)
	}
	return refuse(CodeMalformed, "unknown command")
}
