package registry

import (
	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry/registrypb"
)

// ErrBackup is what errors.Is finds when the bytes are not a whole backup.
var ErrBackup = errors.New("corrupt registry backup")

// backupMark begins a backup; its last byte is the version of the format. It is
// not that of a snapshot, so that no backup is taken for one: what a cluster
// decided after the backup would silently be undone.
const backupMark = "CFRB\x01"

// numberGap is more than the commands that a cluster can have applied after its
// backup. Sessions, fences and revisions of the new cluster are higher than any
// of the former one, so that targets and hosts tell old from new.
const numberGap = 1 << 40

// Backup returns what outlives the cluster: the fleet text with its version,
// outages, pins and claims. Sessions, owners, orders and the operators'
// answers are left out.
func (m *Machine) Backup() ([]byte, error) {
	m.mutex.RLock()
	defer m.mutex.RUnlock()
	return seal(backupMark, m.state.toBackup())
}

func (s *state) toBackup() *registrypb.State {
	wire := s.toWire()
	wire.NumberBase = s.base + s.applied + numberGap
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

// SnapshotFromBackup returns the first snapshot of a new cluster that continues from a
// backup. The new cluster needs a new identity: the hosts of the former one
// hold later revisions and versions, and what it did after the backup is not
// in the claims. Its error wraps ErrBackup.
func SnapshotFromBackup(backup []byte) (snapshot []byte, err error) {
	wire, err := open(backupMark, backup)
	if err != nil {
		return nil, errors.Wrap(ErrBackup, err.Error())
	}
	if _, err := stateFromWire(wire, fleet.Parse); err != nil {
		return nil, errors.Wrap(ErrBackup, err.Error())
	}
	return seal(snapshotMark, wire)
}
