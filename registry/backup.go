package registry

import (
	"github.com/go-faster/errors"

	"comfreytiller.dev/registry/registrypb"
)

// ErrBackup is returned for bytes that are not a complete, valid backup.
var ErrBackup = errors.New("corrupt registry backup")

// backupMagic is the header of a backup; its last byte is the format version.
// It differs from snapshotMagic so that a running cluster cannot restore a
// backup as a snapshot, which would silently undo every later change.
const backupMagic = "CFRB\x01"

// sequenceGap exceeds the number of commands that a cluster can apply after its
// backup. Sessions, fencing tokens and revisions of the new cluster are thus
// higher than any of the former one, and targets and hosts reject the old ones.
const sequenceGap = 1 << 40

// Backup returns the encoded state that outlives the cluster: the fleet
// configuration and its version, outages, pins and claims. Sessions, owners,
// orders and the results of operator commands are left out. Claims that are open
// become in doubt.
func (m *Machine) Backup() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return encodeWithChecksum(backupMagic, m.state.toBackup())
}

func (s *state) toBackup() *registrypb.State {
	wire := s.toWire()
	wire.NumberBase = s.sequenceBase + s.applied + sequenceGap
	wire.Applied, wire.Revision = 0, 0
	wire.Sessions, wire.Owners, wire.Moves, wire.Orders, wire.Operations = nil, nil, nil, nil, nil
	for _, claim := range wire.GetClaims() {
		if ClaimState(claim.GetState()) == ClaimOpen {
			claim.State = string(ClaimInDoubt)
		}
		claim.Dispatcher, claim.Attempt = 0, 0
	}
	return wire
}

// SnapshotFromBackup returns the initial snapshot of a new cluster that is
// restored from a backup, whose fleet configuration must be valid for the
// machine's parser. The state of the machine stays unchanged. The new cluster needs a new identity: hosts of the
// former cluster hold later revisions and versions, and the claims lack its
// changes after the backup. Errors wrap ErrBackup.
func (m *Machine) SnapshotFromBackup(backup []byte) (snapshot []byte, err error) {
	wire, err := decodeWithChecksum(backupMagic, backup)
	if err != nil {
		return nil, errors.Wrap(ErrBackup, err.Error())
	}
	if _, err := stateFromWire(wire, m.state.parseFleet); err != nil {
		return nil, errors.Wrap(ErrBackup, err.Error())
	}
	return encodeWithChecksum(snapshotMagic, wire)
}
