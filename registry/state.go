package registry

import (
	"time"

	"comfreytiller.dev/fleet"
)

// state holds the replicated data. Its methods are deterministic.
type state struct {
	// applied is the log index of the last command; revision is the sequence
	// number of the last command that changed the view.
	applied  uint64
	revision uint64
	// sequenceBase is added to the log index to form sequence numbers. It keeps
	// them unique across this cluster and the clusters whose backups it continues.
	sequenceBase uint64
	// clock is the latest time of any command. Commands only move it forward, so
	// a host with a slow clock cannot shorten the retention of its claims.
	// ExpireClaims resets it when it is more than MaxClockSkew ahead.
	clock time.Time

	fleetVersion uint64
	fleetConfig  []byte
	fleet        *fleet.Fleet

	// outageVersion is incremented with each change of outages or pins.
	outageVersion uint64
	domainsOut    map[string]bool
	targetsOut    map[string]bool
	pins          map[string]string

	// sessions is keyed by session number, owners by service name.
	sessions map[uint64]Host
	owners   map[string]Owner
	// lastMoves holds the last move of each service, so that a resent MoveOwner
	// gets the same result.
	lastMoves map[string]ownerMove

	operations operations
	claims     claims
	// orders holds the latest order of each target, at most maxOrders.
	// pendingOrders holds the targets whose order is pending.
	orders        map[string]Order
	maxOrders     int
	pendingOrders map[string]bool
	// rollouts holds the last rollout of each service.
	rollouts map[string]Rollout

	changed viewChanges
	// parseFleet parses and validates a fleet configuration.
	parseFleet FleetParser
}

// viewChanges marks the parts of the view that the current command has changed.
type viewChanges struct {
	fleet    bool
	hosts    bool
	owners   bool
	outages  bool
	orders   bool
	rollouts bool
}

func (c viewChanges) any() bool {
	return c != viewChanges{}
}

func newState(parse FleetParser) state {
	return state{
		parseFleet:    parse,
		domainsOut:    map[string]bool{},
		targetsOut:    map[string]bool{},
		pins:          map[string]string{},
		sessions:      map[uint64]Host{},
		owners:        map[string]Owner{},
		lastMoves:     map[string]ownerMove{},
		operations:    newOperations(),
		claims:        newClaims(),
		orders:        map[string]Order{},
		maxOrders:     MaxOrders,
		pendingOrders: map[string]bool{},
		rollouts:      map[string]Rollout{},
	}
}

// advanceClock moves the clock forward to the time of a command, if that is
// later, and returns the clock.
func (s *state) advanceClock(commandTime time.Time) time.Time {
	if commandTime.After(s.clock) {
		s.clock = commandTime
	}
	return s.clock
}

// apply executes a command. The sequence number is that of its log entry.
func (s *state) apply(sequence, term uint64, command Command) Result {
	switch command := command.(type) {
	case OpenSession:
		return s.openSession(sequence, command)
	case CloseSession:
		return s.closeSession(sequence, term, command)
	case MoveOwner:
		return s.moveOwner(sequence, command)
	case ApplyFleet:
		return s.executeOnce(command.Operation, command.fingerprint(), func() Result { return s.applyFleet(sequence, command) })
	case NumberFleet:
		return s.applyVersionedFleet(sequence, command)
	case SetOutage:
		return s.executeOnce(command.Operation, command.fingerprint(), func() Result { return s.setOutage(sequence, command) })
	case Pin:
		return s.executeOnce(command.Operation, command.fingerprint(), func() Result { return s.setPin(command) })
	case OpenClaim:
		return s.openClaim(sequence, command)
	case FinishClaim:
		return s.finishClaim(sequence, command)
	case CancelClaim:
		return s.cancelClaim(sequence, command)
	case DoubtClaim:
		return s.markClaimInDoubt(command)
	case SettleClaim:
		return s.executeOnce(command.Operation, command.fingerprint(), func() Result { return s.settleClaim(command) })
	case ExpireClaims:
		return s.expireClaims(command)
	case RecordOrder:
		return s.recordOrder(sequence, command)
	case FinishOrder:
		return s.finishOrder(command)
	case StartRollout:
		return s.startRollout(sequence, command)
	case StepRollout:
		return s.stepRollout(command)
	}
	return reject(CodeMalformed, "unknown command")
}
