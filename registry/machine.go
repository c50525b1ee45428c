package registry

import (
	"slices"
	"sync"
	"sync/atomic"

	"comfreytiller.dev/fleet"
)

// Machine is the replicated state machine. Apply, Snapshot and Restore must be
// called from one goroutine; all other methods are safe for concurrent use.
type Machine struct {
	// mutex protects state against concurrent readers.
	mutex   sync.RWMutex
	state   state
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
	history history
	deltas  deltaCache
}

// FleetParser parses and validates a fleet configuration. Every replica and host
// of a cluster must use the same parser.
type FleetParser func(config []byte) (*fleet.Fleet, error)

// MachineOption configures a Machine.
type MachineOption func(*Machine)

// WithFleetParser sets the parser of the fleet configuration. It defaults to
// fleet.Parse.
func WithFleetParser(parse FleetParser) MachineOption {
	return func(m *Machine) { m.state.parseFleet = parse }
}

// NewMachine returns a machine with an empty state.
func NewMachine(options ...MachineOption) *Machine {
	machine := &Machine{state: newState(fleet.Parse)}
	for _, option := range options {
		option(machine)
	}
	machine.publish(emptyView())
	return machine
}

// Apply executes a committed command and returns its encoded Result. A log entry
// that has already been applied has no effect and returns CodeStale.
func (m *Machine) Apply(index, term uint64, command []byte) []byte {
	decoded, err := DecodeCommand(command)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if index <= m.state.applied {
		return EncodeResult(Result{Code: CodeStale})
	}
	m.state.applied = index
	if err != nil {
		return EncodeResult(refuse(CodeMalformed, err.Error()))
	}
	m.state.changed = viewChanges{}
	sequence := m.state.sequenceBase + index
	result := m.state.apply(sequence, term, decoded)
	if m.state.changed.any() {
		m.state.revision = sequence
		m.publish(m.state.nextView(m.view.Load()))
	}
	return EncodeResult(result)
}

// publish makes the view the current one and notifies the receivers of Changed.
func (m *Machine) publish(view *View) {
	m.history.add(view)
	m.view.Store(view)
	next := make(chan struct{})
	if previous := m.changed.Swap(&next); previous != nil {
		close(*previous)
	}
}

// View returns the current view.
func (m *Machine) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed when the next view is published. Get
// the channel before the view, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} {
	return *m.changed.Load()
}

// Session returns the open or closing session with the given number.
func (m *Machine) Session(number uint64) (Host, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	session, exists := m.state.sessions[number]
	return session, exists
}

// Claim returns the claim with the given key.
func (m *Machine) Claim(key ClaimKey) (Claim, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	claim := m.state.claims.byKey[key]
	if claim == nil {
		return Claim{}, false
	}
	return *claim, true
}

// ClaimFilter selects claims; an empty field matches all claims.
type ClaimFilter struct {
	Workspace string
	Service   string
	State     ClaimState
	// Limit is the maximum number of claims returned; 0 means no limit.
	Limit int
}

func (f ClaimFilter) matches(claim *Claim) bool {
	return (f.Workspace == "" || f.Workspace == claim.Workspace) &&
		(f.Service == "" || f.Service == claim.Service) &&
		(f.State == "" || f.State == claim.State)
}

// Claims returns the selected claims, sorted by key.
func (m *Machine) Claims(filter ClaimFilter) []Claim {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var selected []Claim
	for _, claim := range m.state.claims.byKey {
		if filter.matches(claim) {
			selected = append(selected, *claim)
		}
	}
	slices.SortFunc(selected, func(a, b Claim) int { return compareClaimKeys(a.ClaimKey, b.ClaimKey) })
	if filter.Limit > 0 && len(selected) > filter.Limit {
		selected = selected[:filter.Limit]
	}
	return selected
}

// Orders returns the newest order of each target, sorted by fencing token.
func (m *Machine) Orders() []Order {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return sortedOrders(m.state.orders)
}
