package quorum

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A crash while a leader's snapshot is installed never makes the entries that it
// replaces count as committed.
func TestCrashWhileInstallingASnapshot(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}}
	for writes := range 4 {
		j := newMemoryJournal()
		storage := NewJournalStorage(j)
		state := HardState{Cluster: "c", ID: "a", Host: "h", Term: 2, Commit: 1}
		require.NoError(t, storage.Save(state, entriesOf(1, 1, 2, 3, 4)))
		state.Term, state.Commit = 5, 3
		j.left = writes
		r := &Replica{storage: storage, machine: &register{}}
		_ = r.save(&Ready{MustSave: true, HardState: state, InstallSnapshot: &Snapshot{Index: 3, Term: 5, Members: members, Data: []byte(`["x"]`)}})
		loaded, snapshot, entries, err := storage.Load()
		require.NoError(t, err)
		n := NewNode(NodeConfig{}, loaded, snapshot, entries)
		if n.CommitIndex() > 1 {
			require.Equal(t, uint64(3), snapshot.Index)
			require.Equal(t, uint64(3), n.LastIndex())
			require.Equal(t, uint64(5), n.Term())
		}
	}
}

// A leader that removed itself and restarted campaigns until the change is
// committed, since only it may hold the change.
func TestRemovedLeaderCampaignsUntilTheChangeCommits(t *testing.T) {
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}}
	removal := Entry{Index: 2, Term: 1, Kind: EntryMembers, Data: EncodeMembers(members[1:])}
	state := HardState{Cluster: "c", ID: "a", Host: "h", Term: 1}
	for _, committed := range []bool{false, true} {
		if committed {
			state.Commit = 2
		}
		n := NewNode(NodeConfig{}, state, Snapshot{Index: 1, Term: 1, Members: members}, []Entry{removal})
		for range DefaultElectionTicks + DefaultElectionJitterTicks {
			n.Tick()
		}
		require.Equal(t, !committed, n.Role() == PreCandidate)
	}
}

// A single voter leads only once its own vote is durable.
func TestOwnVoteCountsOnceDurable(t *testing.T) {
	state := HardState{Cluster: "c", ID: "a", Host: "h", Term: 1}
	n := NewNode(NodeConfig{}, state, Snapshot{Index: 1, Term: 1, Members: []Member{{ID: "a", Voter: true}}}, nil)
	for range DefaultElectionTicks + DefaultElectionJitterTicks {
		n.Tick()
	}
	require.Equal(t, Candidate, n.Role())
	require.True(t, n.HasReady())
	ready := n.Ready()
	require.True(t, ready.MustSave)
	require.Equal(t, "a", ready.HardState.Vote)
	require.Equal(t, Candidate, n.Role())
	n.Advance()
	require.Equal(t, Leader, n.Role())
}
