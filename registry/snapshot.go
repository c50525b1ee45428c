package registry

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"comfreytiller.dev/registry/registrypb"
)

// ErrSnapshot is what errors.Is finds when the bytes are not a whole snapshot.
var ErrSnapshot = errors.New("corrupt registry snapshot")

// snapshotMark begins a snapshot; its last byte is the version of the format.
const snapshotMark = "CFRS\x01"

const checksumBytes = 8

// Snapshot returns the whole state. The same state gives the same bytes.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return seal(snapshotMark, m.state.toWire())
}

// Restore replaces the whole state. On an error nothing has changed; it wraps
// ErrSnapshot.
func (m *Machine) Restore(snapshot []byte) error {
	wire, err := open(snapshotMark, snapshot)
	if err != nil {
		return errors.Wrap(ErrSnapshot, err.Error())
	}
	restored, err := stateFromWire(wire, m.state.read)
	if err != nil {
		return errors.Wrap(ErrSnapshot, err.Error())
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state = restored
	m.history = history{}
	m.state.changed = changes{fleet: true, hosts: true, owners: true, outages: true, orders: true}
	m.publish(m.state.next(emptyView()))
	return nil
}

// seal adds the mark and the checksum.
func seal(mark string, wire *registrypb.State) ([]byte, error) {
	header := append([]byte(mark), make([]byte, checksumBytes)...)
	sealed, err := appendWire(header, wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode the registry's state")
	}
	body := sealed[len(header):]
	binary.BigEndian.PutUint64(sealed[len(mark):], xxhash.Sum64(body))
	return sealed, nil
}

func open(mark string, sealed []byte) (*registrypb.State, error) {
	if len(sealed) < len(mark)+checksumBytes || string(sealed[:len(mark)]) != mark {
		return nil, errors.New("the mark is missing or of an unknown format")
	}
	body := sealed[len(mark)+checksumBytes:]
	if binary.BigEndian.Uint64(sealed[len(mark):]) != xxhash.Sum64(body) {
		return nil, errors.New("the checksum does not match")
	}
	var wire registrypb.State
	if err := decode(body, &wire); err != nil {
		return nil, err
	}
	return &wire, nil
}

func (s *state) toWire() *registrypb.State {
	wire := &registrypb.State{
		Applied:       s.applied,
		NumberBase:    s.base,
		Revision:      s.revision,
		Clock:         timeToWire(s.clock),
		FleetVersion:  s.fleetVersion,
		FleetText:     s.fleetText,
		OutageVersion: s.outageVersion,
		DomainsOut:    sortedKeys(s.domainsOut),
		TargetsOut:    sortedKeys(s.targetsOut),
		Pins:          pinsToWire(s.pins),
	}
	for _, number := range sortedKeys(s.sessions) {
		wire.Sessions = append(wire.Sessions, sessionToWire(s.sessions[number]))
	}
	for _, service := range sortedKeys(s.owners) {
		wire.Owners = append(wire.Owners, ownerToWire(service, s.owners[service]))
	}
	for _, service := range sortedKeys(s.moves) {
		last := s.moves[service]
		wire.Moves = append(wire.Moves, &registrypb.Move{
			Service: service, Session: last.session, Fence: last.fence, NextFence: last.nextFence,
		})
	}
	for _, id := range s.operations.order {
		wire.Operations = append(wire.Operations, doneToWire(s.operations.byID[id]))
	}
	for _, claim := range s.claims.sorted() {
		wire.Claims = append(wire.Claims, claimToWire(claim))
	}
	for _, order := range sortedOrders(s.orders) {
		wire.Orders = append(wire.Orders, orderToWire(order))
	}
	return wire
}

func stateFromWire(wire *registrypb.State, read FleetParser) (state, error) {
	s := newState(read)
	s.applied = wire.GetApplied()
	s.base = wire.GetNumberBase()
	s.revision = wire.GetRevision()
	s.clock = timeFromWire(wire.GetClock())
	s.fleetVersion = wire.GetFleetVersion()
	s.fleetText = bytesFromWire(wire.GetFleetText())
	s.outageVersion = wire.GetOutageVersion()
	if s.fleetVersion > 0 {
		parsed, err := read(s.fleetText)
		if err != nil {
			return state{}, errors.Wrap(err, "the fleet text")
		}
		s.fleet = parsed
	}
	for _, session := range wire.GetSessions() {
		s.sessions[session.GetNumber()] = sessionFromWire(session)
	}
	for _, owner := range wire.GetOwners() {
		s.owners[owner.GetService()] = ownerFromWire(owner)
	}
	for _, last := range wire.GetMoves() {
		s.moves[last.GetService()] = move{session: last.GetSession(), fence: last.GetFence(), nextFence: last.GetNextFence()}
	}
	setAll(s.domainsOut, wire.GetDomainsOut())
	setAll(s.targetsOut, wire.GetTargetsOut())
	for _, pin := range wire.GetPins() {
		s.pins[pin.GetTarget()] = pin.GetService()
	}
	for _, done := range wire.GetOperations() {
		s.operations.add(doneFromWire(done))
	}
	s.claims = claimsFromWire(wire.GetClaims())
	for _, order := range wire.GetOrders() {
		restored := orderFromWire(order)
		s.orders[restored.Target] = restored
		if restored.State == OrderPending {
			s.pending[restored.Target] = true
		}
	}
	return s, nil
}

func claimsFromWire(wire []*registrypb.Claim) claims {
	restored := newClaims()
	for _, wireClaim := range wire {
		claim := claimFromWire(wireClaim)
		restored.put(claim)
		if len(claim.Response.Body) > 0 {
			restored.stored = append(restored.stored, claim.ClaimKey)
			restored.storedBytes += len(claim.Response.Body)
		}
	}
	slices.SortFunc(restored.stored, func(a, b ClaimKey) int {
		return cmp.Compare(restored.byKey[a].FinishedSequence, restored.byKey[b].FinishedSequence)
	})
	return restored
}

// sorted returns the claims in the order in which they were opened.
func (c *claims) sorted() []*Claim {
	sorted := slices.Collect(maps.Values(c.byKey))
	slices.SortFunc(sorted, func(a, b *Claim) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return sorted
}

func doneToWire(done doneOperation) *registrypb.DoneOperation {
	return &registrypb.DoneOperation{
		Id:          done.ID,
		Time:        timeToWire(done.Time),
		Fingerprint: done.fingerprint,
		Result:      resultToWire(done.result),
	}
}

func doneFromWire(wire *registrypb.DoneOperation) doneOperation {
	return doneOperation{
		Operation:   Operation{ID: wire.GetId(), Time: timeFromWire(wire.GetTime())},
		fingerprint: wire.GetFingerprint(),
		result:      resultFromWire(wire.GetResult()),
	}
}

func pinsToWire(pins map[string]string) []*registrypb.PinnedTarget {
	var wire []*registrypb.PinnedTarget
	for _, target := range sortedKeys(pins) {
		wire = append(wire, &registrypb.PinnedTarget{Target: target, Service: pins[target]})
	}
	return wire
}

func sortedOrders(orders map[string]Order) []Order {
	return slices.SortedFunc(maps.Values(orders), func(a, b Order) int {
		return cmp.Or(cmp.Compare(a.Fence, b.Fence), cmp.Compare(a.Target, b.Target))
	})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func setAll(set map[string]bool, names []string) {
	for _, name := range names {
		set[name] = true
	}
}
