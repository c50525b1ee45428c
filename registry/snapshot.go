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

// ErrSnapshot is returned for bytes that are not a complete, valid snapshot.
var ErrSnapshot = errors.New("corrupt registry snapshot")

// snapshotMagic is the header of a snapshot; its last byte is the format version.
const snapshotMagic = "CFRS\x01"

const checksumBytes = 8

// Snapshot returns the encoded state. Equal states have equal encodings.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return encodeWithChecksum(snapshotMagic, m.state.toWire())
}

// Restore replaces the state by that of a snapshot. On error the state is
// unchanged. Errors wrap ErrSnapshot.
func (m *Machine) Restore(snapshot []byte) error {
	wire, err := decodeWithChecksum(snapshotMagic, snapshot)
	if err != nil {
		return errors.Wrap(ErrSnapshot, err.Error())
	}
	restored, err := stateFromWire(wire, m.state.parseFleet)
	if err != nil {
		return errors.Wrap(ErrSnapshot, err.Error())
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.state = restored
	m.history = history{}
	m.state.changed = viewChanges{fleet: true, hosts: true, owners: true, outages: true, orders: true, rollouts: true}
	m.publish(m.state.nextView(emptyView()))
	return nil
}

// encodeWithChecksum encodes the state after a header of magic and checksum.
func encodeWithChecksum(magic string, wire *registrypb.State) ([]byte, error) {
	header := append([]byte(magic), make([]byte, checksumBytes)...)
	encoded, err := appendWire(header, wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode the registry's state")
	}
	body := encoded[len(header):]
	binary.BigEndian.PutUint64(encoded[len(magic):], xxhash.Sum64(body))
	return encoded, nil
}

// decodeWithChecksum is the inverse of encodeWithChecksum.
func decodeWithChecksum(magic string, encoded []byte) (*registrypb.State, error) {
	if len(encoded) < len(magic)+checksumBytes || string(encoded[:len(magic)]) != magic {
		return nil, errors.New("the mark is missing or of an unknown format")
	}
	body := encoded[len(magic)+checksumBytes:]
	if binary.BigEndian.Uint64(encoded[len(magic):]) != xxhash.Sum64(body) {
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
		NumberBase:    s.sequenceBase,
		Revision:      s.revision,
		Clock:         timeToWire(s.clock),
		FleetVersion:  s.fleetVersion,
		FleetText:     s.fleetConfig,
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
	for _, service := range sortedKeys(s.lastMoves) {
		last := s.lastMoves[service]
		wire.Moves = append(wire.Moves, &registrypb.Move{
			Service: service, Session: last.session, Fence: last.fencingToken, NextFence: last.nextFencingToken,
		})
	}
	for _, id := range s.operations.evictionOrder {
		wire.Operations = append(wire.Operations, completedOperationToWire(s.operations.byID[id]))
	}
	for _, claim := range s.claims.sortedBySequence() {
		wire.Claims = append(wire.Claims, claimToWire(claim))
	}
	for _, order := range sortedOrders(s.orders) {
		wire.Orders = append(wire.Orders, orderToWire(order))
	}
	wire.Rollouts = rolloutsToWire(s.rollouts)
	return wire
}

func stateFromWire(wire *registrypb.State, parse FleetParser) (state, error) {
	s := newState(parse)
	s.applied = wire.GetApplied()
	s.sequenceBase = wire.GetNumberBase()
	s.revision = wire.GetRevision()
	s.clock = timeFromWire(wire.GetClock())
	s.fleetVersion = wire.GetFleetVersion()
	s.fleetConfig = bytesFromWire(wire.GetFleetText())
	s.outageVersion = wire.GetOutageVersion()
	if s.fleetVersion > 0 {
		parsed, err := parse(s.fleetConfig)
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
		s.lastMoves[last.GetService()] = ownerMove{session: last.GetSession(), fencingToken: last.GetFence(), nextFencingToken: last.GetNextFence()}
	}
	addAll(s.domainsOut, wire.GetDomainsOut())
	addAll(s.targetsOut, wire.GetTargetsOut())
	for _, pin := range wire.GetPins() {
		s.pins[pin.GetTarget()] = pin.GetService()
	}
	for _, done := range wire.GetOperations() {
		s.operations.add(completedOperationFromWire(done))
	}
	s.claims = claimsFromWire(wire.GetClaims())
	s.rollouts = rolloutsFromWire(wire.GetRollouts())
	for _, order := range wire.GetOrders() {
		restored := orderFromWire(order)
		s.orders[restored.Target] = restored
		if restored.State == OrderPending {
			s.pendingOrders[restored.Target] = true
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
			restored.storedResponseKeys = append(restored.storedResponseKeys, claim.ClaimKey)
			restored.storedResponseBytes += len(claim.Response.Body)
		}
	}
	slices.SortFunc(restored.storedResponseKeys, func(a, b ClaimKey) int {
		return cmp.Compare(restored.byKey[a].FinishedSequence, restored.byKey[b].FinishedSequence)
	})
	return restored
}

// sortedBySequence returns the claims in the order in which they were opened.
func (c *claims) sortedBySequence() []*Claim {
	sorted := slices.Collect(maps.Values(c.byKey))
	slices.SortFunc(sorted, func(a, b *Claim) int { return cmp.Compare(a.Sequence, b.Sequence) })
	return sorted
}

func completedOperationToWire(done completedOperation) *registrypb.DoneOperation {
	return &registrypb.DoneOperation{
		Id:          done.ID,
		Time:        timeToWire(done.Time),
		Fingerprint: done.fingerprint,
		Result:      resultToWire(done.result),
	}
}

func completedOperationFromWire(wire *registrypb.DoneOperation) completedOperation {
	return completedOperation{
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
		return cmp.Or(cmp.Compare(a.FencingToken, b.FencingToken), cmp.Compare(a.Target, b.Target))
	})
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func addAll(set map[string]bool, names []string) {
	for _, name := range names {
		set[name] = true
	}
}
