package peer

import (
	"math"
	"time"

	"comfreytiller.dev/peer/peerpb"
	"comfreytiller.dev/target/roster"
)

// renewalsToWire sends ages instead of timestamps, as entriesToWire does.
func renewalsToWire(renewals []roster.Renewal, now time.Time) *peerpb.Renewals {
	if len(renewals) == 0 {
		return nil
	}
	wire := &peerpb.Renewals{
		Fingerprints: make([]uint64, len(renewals)), Sequences: make([]uint64, len(renewals)), Ages: make([]uint32, len(renewals)),
	}
	for i, renewal := range renewals {
		wire.Fingerprints[i], wire.Sequences[i] = uint64(renewal.Fingerprint), renewal.Sequence
		age := now.Sub(renewal.LastSeen).Milliseconds()
		wire.Ages[i] = uint32(min(max(age, 0), math.MaxUint32))
	}
	return wire
}

// renewalsFromWire ignores fingerprints without a sequence number or an age.
func renewalsFromWire(wire *peerpb.Renewals, now time.Time) []roster.Renewal {
	count := min(len(wire.GetFingerprints()), len(wire.GetSequences()), len(wire.GetAges()))
	if count == 0 {
		return nil
	}
	renewals := make([]roster.Renewal, count)
	for i := range renewals {
		age := time.Duration(wire.Ages[i]) * time.Millisecond
		renewals[i] = roster.Renewal{Fingerprint: roster.Fingerprint(wire.Fingerprints[i]), Sequence: wire.Sequences[i], LastSeen: now.Add(-age)}
	}
	return renewals
}

func fingerprintsToWire(fingerprints []roster.Fingerprint) []uint64 {
	var wire []uint64
	for _, fingerprint := range fingerprints {
		wire = append(wire, uint64(fingerprint))
	}
	return wire
}

func fingerprintsFromWire(wire []uint64) []roster.Fingerprint {
	var fingerprints []roster.Fingerprint
	for _, fingerprint := range wire {
		fingerprints = append(fingerprints, roster.Fingerprint(fingerprint))
	}
	return fingerprints
}
