package registry

import (
	"math"

	"github.com/go-faster/errors"

	"comfreytiller.dev/registry/registrypb"
)

// Encode encodes the delta for transmission.
func (d Delta) Encode() []byte {
	wire := &registrypb.Delta{
		From:           d.FromRevision,
		To:             d.ToRevision,
		FleetVersion:   d.FleetVersion,
		OutageVersion:  d.OutageVersion,
		ClosedSessions: d.ClosedSessions,
		RemovedOwners:  d.RemovedOwners,
		DomainsOut:     d.DomainsOut,
		DomainsIn:      d.DomainsRestored,
		TargetsOut:     d.TargetsOut,
		TargetsIn:      d.TargetsRestored,
		Pins:           pinsToWire(d.Pins),
		Unpinned:       d.Unpinned,
		Ordered:        d.OrdersStarted,
		Unordered:      d.OrdersEnded,
		Rollouts:       rolloutsToWire(d.Rollouts),
	}
	if d.ConfigPatch != nil {
		middle, deflated := compressMiddle(d.ConfigPatch)
		wire.Text = &registrypb.TextPatch{
			Base:     d.ConfigPatch.BaseVersion,
			Prefix:   uint64(d.ConfigPatch.Prefix),
			Suffix:   uint64(d.ConfigPatch.Suffix),
			Middle:   middle,
			Deflated: deflated,
			Checksum: d.ConfigPatch.Checksum,
		}
	}
	for _, session := range d.Sessions {
		wire.Sessions = append(wire.Sessions, sessionToWire(session))
	}
	for _, service := range sortedKeys(d.Owners) {
		wire.Owners = append(wire.Owners, ownerToWire(service, d.Owners[service]))
	}
	return encode(wire)
}

// DecodeDelta is the inverse of Delta.Encode. Errors wrap ErrMalformed. A
// compressed patch is decompressed when the delta is applied.
func DecodeDelta(encoded []byte) (Delta, error) {
	var wire registrypb.Delta
	if err := decode(encoded, &wire); err != nil {
		return Delta{}, err
	}
	patch, err := configPatchFromWire(wire.GetText())
	if err != nil {
		return Delta{}, err
	}
	delta := Delta{
		FromRevision:    wire.GetFrom(),
		ToRevision:      wire.GetTo(),
		FleetVersion:    wire.GetFleetVersion(),
		ConfigPatch:     patch,
		OutageVersion:   wire.GetOutageVersion(),
		ClosedSessions:  wire.GetClosedSessions(),
		RemovedOwners:   wire.GetRemovedOwners(),
		DomainsOut:      wire.GetDomainsOut(),
		DomainsRestored: wire.GetDomainsIn(),
		TargetsOut:      wire.GetTargetsOut(),
		TargetsRestored: wire.GetTargetsIn(),
		Unpinned:        wire.GetUnpinned(),
		OrdersStarted:   wire.GetOrdered(),
		OrdersEnded:     wire.GetUnordered(),
	}
	for _, session := range wire.GetSessions() {
		delta.Sessions = append(delta.Sessions, sessionFromWire(session))
	}
	delta.Owners = mapFromWire(wire.GetOwners(), (*registrypb.Owner).GetService, ownerFromWire)
	delta.Pins = mapFromWire(wire.GetPins(), (*registrypb.PinnedTarget).GetTarget, (*registrypb.PinnedTarget).GetService)
	delta.Rollouts = mapFromWire(wire.GetRollouts(), (*registrypb.Rollout).GetService, rolloutFromWire)
	return delta, nil
}

// mapFromWire converts repeated messages to a map. It returns nil for an empty
// list.
func mapFromWire[W, V any](wire []W, key func(W) string, value func(W) V) map[string]V {
	if len(wire) == 0 {
		return nil
	}
	entries := make(map[string]V, len(wire))
	for _, element := range wire {
		entries[key(element)] = value(element)
	}
	return entries
}

func configPatchFromWire(wire *registrypb.TextPatch) (*ConfigPatch, error) {
	if wire == nil {
		return nil, nil
	}
	if wire.GetPrefix() > math.MaxInt32 || wire.GetSuffix() > math.MaxInt32 {
		return nil, errors.Wrap(ErrMalformed, "patch keeps more bytes than any configuration has")
	}
	return &ConfigPatch{
		BaseVersion:      wire.GetBase(),
		Prefix:           int(wire.GetPrefix()),
		Suffix:           int(wire.GetSuffix()),
		Middle:           bytesFromWire(wire.GetMiddle()),
		compressedChunks: wire.GetDeflated(),
		Checksum:         wire.GetChecksum(),
	}, nil
}
