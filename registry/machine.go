package registry

import (
	"slices"
	"sync"
	"sync/atomic"

	"comfreytiller.dev/fleet"
)

// Machine is the replicated state machine. Apply, Snapshot and Restore are
// called from one goroutine; every other method is safe from any goroutine.
type Machine struct {
	// mutex guards state against the readers.
	mutex   sync.RWMutex
	state   state
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
	history history
	deltas  sharedDeltas
}

// FleetParser gives the meaning of a fleet text and checks it. Every replica and
// host of a cluster must use the same one.
type FleetParser func(text []byte) (*fleet.Fleet, error)

// MachineOption changes a machine.
type MachineOption func(*Machine)

// WithFleetParser sets the language of the fleet text; the default is that of
// fleet.Parse.
func WithFleetParser(read FleetParser) MachineOption {
	return func(m *Machine) { m.state.read = read }
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

// Apply executes a committed command and returns its encoded Result. An entry
// that the state already holds has no effect.
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
	m.state.changed = changes{}
	number := m.state.base + index
	result := m.state.apply(number, term, decoded)
	if m.state.changed.any() {
		m.state.revision = number
		m.publish(m.state.next(m.view.Load()))
	}
	return EncodeResult(result)
}

// publish makes the view the current one and wakes those who wait for it.
func (m *Machine) publish(view *View) {
	m.history.add(view)
	m.view.Store(view)
	next := make(chan struct{})
	if last := m.changed.Swap(&next); last != nil {
		close(*last)
	}
}

// View returns the current view.
func (m *Machine) View() *View {
	return m.view.Load()
}

// Changed returns a channel that is closed when the next view is there. Take
// the channel before the view, so that no change is missed.
func (m *Machine) Changed() <-chan struct{} {
	return *m.changed.Load()
}

// Session returns the session of that number, open or closing.
func (m *Machine) Session(number uint64) (Host, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	session, exists := m.state.sessions[number]
	return session, exists
}

// Claim returns the claim of that key.
func (m *Machine) Claim(key ClaimKey) (Claim, bool) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	claim := m.state.claims.byKey[key]
	if claim == nil {
		return Claim{}, false
	}
	return *claim, true
}

// ClaimFilter selects claims; empty fields select all.
type ClaimFilter struct {
	Workspace string
	Service   string
	State     ClaimState
	// Limit is the largest number of claims returned; 0 for all.
	Limit int
}

func (f ClaimFilter) selects(claim *Claim) bool {
	return (f.Workspace == "" || f.Workspace == claim.Workspace) &&
		(f.Service == "" || f.Service == claim.Service) &&
		(f.State == "" || f.State == claim.State)
}

// Claims returns the selected claims in the order of their keys.
func (m *Machine) Claims(filter ClaimFilter) []Claim {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	var selected []Claim
	for _, claim := range m.state.claims.byKey {
		if filter.selects(claim) {
			selected = append(selected, *claim)
		}
	}
	slices.SortFunc(selected, func(a, b Claim) int { return compareClaimKeys(a.ClaimKey, b.ClaimKey) })
	if filter.Limit > 0 && len(selected) > filter.Limit {
		selected = selected[:filter.Limit]
	}
	return selected
}

// Orders returns the newest order of each target, in the order of their fences.
func (m *Machine) Orders() []Order {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return sortedOrders(m.state.orders)
}
