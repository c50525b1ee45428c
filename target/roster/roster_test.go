package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
)

var baseTime = time.Unix(1_000_000, 0)

func newEntry(name, address string, incarnation, sequence uint64, state State) Entry {
	return Entry{
		Announcement: target.Announcement{
			Name: name, Address: address, Service: "Reviews",
			Stamp: target.Stamp{Incarnation: incarnation, Sequence: sequence},
		},
		State: state,
	}
}

func TestMerge_IgnoresOldAnnouncement(t *testing.T) {
	table := NewTable()
	require.True(t, table.Merge(baseTime, newEntry("a", "x", 1, 5, Leaving)))
	require.False(t, table.Merge(baseTime, newEntry("a", "x", 1, 4, Ready)))
	require.False(t, table.Merge(baseTime, newEntry("a", "x", 1, 6, Ready)), "a leaving incarnation is never ready again")
	entry, _ := table.Get("a")
	require.Equal(t, Leaving, entry.State)
	require.True(t, table.Merge(baseTime, newEntry("a", "x", 2, 1, Ready)), "the next incarnation is ready")
}

func TestMerge_ReusedAddressBelongsToLaterIncarnation(t *testing.T) {
	table := NewTable()
	table.Merge(baseTime, newEntry("old", "x", 1, 5, Ready))
	require.True(t, table.Merge(baseTime, newEntry("new", "x", 2, 1, Ready)))
	old, _ := table.Get("old")
	require.Equal(t, Gone, old.State)
	require.False(t, table.Merge(baseTime, newEntry("old", "x", 1, 6, Ready)), "an announcement delayed by a partition")
	entry, _ := table.Get("new")
	require.Equal(t, Ready, entry.State)
}

// A target that turns to another kind or loads another model under its name must reach
// the hosts, which place requests by both.
func TestMerge_ChangedKindOrModelIsAChange(t *testing.T) {
	table := NewTable()
	entry := newEntry("a", "x", 1, 1, Ready)
	entry.Kind, entry.Model = target.KindPlain, "small"
	table.Merge(baseTime, entry)
	entry.Sequence, entry.Kind = 2, target.KindModel
	require.True(t, table.Merge(baseTime, entry), "kind")
	entry.Sequence, entry.Model = 3, "large"
	require.True(t, table.Merge(baseTime, entry), "model")
	entry.Sequence = 4
	require.False(t, table.Merge(baseTime, entry))
}

func TestMerge_HeartbeatIsNoChange(t *testing.T) {
	table := NewTable()
	table.Merge(baseTime, newEntry("a", "x", 1, 1, Ready))
	version, changed := table.Version()
	require.False(t, table.Merge(baseTime.Add(time.Second), newEntry("a", "x", 1, 2, Ready)))
	table.Sweep(baseTime.Add(3*time.Second), 3*time.Second)
	newVersion, _ := table.Version()
	require.Equal(t, version, newVersion)
	select {
	case <-changed:
		require.Fail(t, "nothing has changed")
	default:
	}
	table.Sweep(baseTime.Add(5*time.Second), 3*time.Second)
	entries, _ := table.ChangedSince(version)
	require.Len(t, entries, 1)
	require.True(t, entries[0].Silent)
	require.True(t, table.Merge(baseTime.Add(6*time.Second), newEntry("a", "x", 1, 3, Ready)), "the target is no longer silent")
}

func TestMerge_WarmUpIsChange(t *testing.T) {
	table := NewTable()
	table.Merge(baseTime, newEntry("a", "x", 1, 1, Ready))
	cold := newEntry("a", "x", 1, 2, Ready)
	cold.WarmUpRemaining = 3 * time.Second
	require.True(t, table.Merge(baseTime.Add(time.Second), cold))
	warmer := newEntry("a", "x", 1, 3, Ready)
	warmer.WarmUpRemaining = 2 * time.Second
	require.False(t, table.Merge(baseTime.Add(2*time.Second), warmer), "the warm-up ends at the same time")
	entry, _ := table.Get("a")
	require.Equal(t, baseTime.Add(4*time.Second), entry.ColdUntil())
}

// Two tables that merge the same entries in different orders agree on which
// targets are ready.
func TestMerge_OrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drawn := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return newEntry(
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), "x",
				rapid.Uint64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 3).Draw(t, "sequence"), Ready,
			)
		}), 1, 8).Draw(t, "words")
		shuffled := rapid.Permutation(drawn).Draw(t, "shuffled")
		highest := drawn[0].Stamp
		for _, entry := range drawn {
			if entry.After(highest) {
				highest = entry.Stamp
			}
		}
		for _, order := range [][]Entry{drawn, shuffled} {
			table := NewTable()
			for _, entry := range order {
				table.Merge(baseTime, entry)
			}
			ready := 0
			entries, _ := table.ChangedSince(0)
			for _, entry := range entries {
				if entry.State == Ready && entry.Incarnation == highest.Incarnation {
					ready++
				}
				require.False(t, entry.State == Ready && entry.Incarnation < highest.Incarnation, "the earlier incarnation was replaced")
			}
			require.Positive(t, ready)
		}
	})
}
