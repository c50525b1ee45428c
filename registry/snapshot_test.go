package registry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// newPopulatedReplica returns a replica whose state has entries of every kind.
func newPopulatedReplica(t testing.TB) *replica {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	r.mustOpenSession(t, "host-2", "south", 2)
	r.mustOpenSession(t, "host-2", "south", 3)
	r.applyFleetConfig(t, "fleet", 0, testConfig)
	r.applyFleetConfig(t, "loser", 0, testConfig)
	r.applyFleetConfig(t, "typo", 1, "{")
	r.applyCommand(t, SetOutage{Operation: Operation{ID: "out", Time: testStart}, FailureDomain: "north", Out: true})
	r.applyCommand(t, SetOutage{Operation: Operation{ID: "out-2"}, Target: "t-9", Out: true})
	r.applyCommand(t, Pin{Operation: Operation{ID: "pin"}, Target: "t-1", Service: "engines"})
	for i := range 5 {
		key := ClaimKey{Workspace: "rabat", Service: "treasury", Key: fmt.Sprint(i)}
		r.applyCommand(t, OpenClaim{Key: key, Fingerprint: 1 << 63, Session: session, Attempt: uint64(i), Time: testStart})
		if i > 2 {
			r.applyCommand(t, FinishClaim{Key: key, Session: session, Attempt: uint64(i), Response: testResponse, Time: testStart})
		}
	}
	r.applyCommand(t, DoubtClaim{Key: ClaimKey{Workspace: "rabat", Service: "treasury", Key: "1"}, Session: session, Attempt: 1})
	r.applyCommand(t, SettleClaim{Operation: Operation{ID: "settle"}, Key: ClaimKey{Workspace: "rabat", Service: "treasury", Key: "1"}, Note: "no", Ran: true})
	r.applyCommand(t, RecordOrder{ID: "o-1", Target: "t-1", Incarnation: 1, Kind: "Load", Time: testStart})
	return r
}

func TestRestore_CorruptSnapshot(t *testing.T) {
	r := newPopulatedReplica(t)
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	other := newReplica()
	other.mustOpenSession(t, "host-9", "west", 1)
	view := other.View()
	for i := range snapshot {
		corrupt := append([]byte(nil), snapshot...)
		corrupt[i] ^= 0x10
		require.ErrorIs(t, other.Restore(corrupt), ErrSnapshot, "byte %d", i)
		require.ErrorIs(t, other.Restore(snapshot[:i]), ErrSnapshot, "cut at byte %d", i)
	}
	require.Same(t, view, other.View())
	changed := other.Changed()
	require.NoError(t, other.Restore(snapshot))
	<-changed
	require.Equal(t, r.View(), other.View())
}

func TestBackup_RestoreInNewCluster(t *testing.T) {
	r := newPopulatedReplica(t)
	backup, err := r.Backup()
	require.NoError(t, err)
	require.ErrorIs(t, NewMachine().Restore(backup), ErrSnapshot, "a backup must not be accepted as a snapshot")
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	_, err = NewMachine().SnapshotFromBackup(snapshot)
	require.ErrorIs(t, err, ErrBackup)
	_, err = NewMachine().SnapshotFromBackup(backup[:len(backup)-1])
	require.ErrorIs(t, err, ErrBackup)

	initialSnapshot, err := NewMachine().SnapshotFromBackup(backup)
	require.NoError(t, err)
	next := newReplica()
	require.NoError(t, next.Restore(initialSnapshot))
	before, view := r.View(), next.View()
	require.Empty(t, view.Hosts)
	require.Empty(t, view.Owners)
	require.Equal(t, before.FleetConfig, view.FleetConfig)
	require.Equal(t, before.FleetVersion, view.FleetVersion)
	require.Equal(t, before.OutageVersion, view.OutageVersion)
	require.Equal(t, before.DomainsOut, view.DomainsOut)
	require.Equal(t, before.Pins, view.Pins)
	require.Empty(t, next.Claims(ClaimFilter{State: ClaimOpen}))
	require.Len(t, next.Claims(ClaimFilter{State: ClaimInDoubt}), 2, "requests of open claims may have run")
	require.Len(t, next.Claims(ClaimFilter{State: ClaimDone}), 2)
	require.Len(t, next.Claims(ClaimFilter{State: ClaimSettled}), 1)

	session := next.mustOpenSession(t, "host-1", "north", 1)
	sequenceBase := session - next.index
	require.Greater(t, session, r.index, "sequence numbers of the former cluster are not reused")
	require.Greater(t, next.View().Owners["engines"].FencingToken, before.Owners["engines"].FencingToken)
	require.Greater(t, next.View().Revision, before.Revision)
	for _, claim := range next.Claims(ClaimFilter{State: ClaimInDoubt}) {
		finish := FinishClaim{Key: claim.ClaimKey, Session: claim.Dispatcher, Attempt: claim.Attempt}
		require.ErrorIs(t, next.applyCommand(t, finish).Err(), ErrRefused)
	}
	next.restart(t)
	require.Equal(t, session, next.View().Hosts["host-1"].Session)
	third := next.mustOpenSession(t, "host-3", "west", 1)
	require.Equal(t, sequenceBase+next.index, third, "the sequence base is part of the snapshot")
}
