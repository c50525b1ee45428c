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

	operations operations
	claims     claims
	orders     map[string]Order

	changed changes
}

// changes are the parts of the view that the current command has changed.
type changes struct {
	fleet   bool
	hosts   bool
	owners  bool
	outages bool
}

func (c changes) any() bool {
	return c != changes{}
}

func newState() state {
	return state{
		domainsOut: map[string]bool{},
		targetsOut: map[string]bool{},
		pins:       map[string]string{},
		sessions:   map[uint64]Host{},
		owners:     map[string]Owner{},
		operations: newOperations(),
		claims:     newClaims(),
		orders:     map[string]Order{},
	}
}

// tick moves the clock forward to the time of a command and returns the clock.
func (s *state) tick(commandTime time.Time) time.Time {
	if commandTime.After(s.clock) {
		s.clock = commandTime
	}
	return s.clock
}

// apply executes a command.
func (s *state) apply(index, term uint64, command Command) Result {
	switch command := command.(type) {
	case OpenSession:
		return s.openSession(index, command)
	case CloseSession:
		return s.closeSession(index, term, command)
	case MoveOwner:
		return s.moveOwner(index, command)
	case ApplyFleet:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.applyFleet(index, command) })
	case SetOutage:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.setOutage(index, command) })
	case Pin:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.pin(command) })
	case OpenClaim:
		return s.openClaim(command)
	case FinishClaim:
		return s.finishClaim(index, command)
	case CancelClaim:
		return s.cancelClaim(command)
	case DoubtClaim:
		return s.doubtClaim(command)
	case SettleClaim:
		return s.once(command.Operation, command.fingerprint(), func() Result { return s.settleClaim(command) })
	case ExpireClaims:
		return s.expireClaims(command)
	case RecordOrder:
		return s.recordOrder(index, command)
	case FinishOrder:
		return s.finishOrder(command)
	}
	return refuse(CodeMalformed, "unknown command")
}
