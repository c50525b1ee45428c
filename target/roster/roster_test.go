package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
)

var start = time.Unix(1_000_000, 0)

func word(name, address string, born, sequence uint64, state State) Entry {
	return Entry{
		Announcement: target.Announcement{
			Name: name, Address: address, Service: "Reviews",
			Stamp: target.Stamp{Incarnation: born, Sequence: sequence},
		},
		State: state,
	}
}

func TestALateWordChangesNothing(t *testing.T) {
	table := NewTable()
	require.True(t, table.Merge(start, word("a", "x", 1, 5, Leaving)))
	require.False(t, table.Merge(start, word("a", "x", 1, 4, Ready)))
	require.False(t, table.Merge(start, word("a", "x", 1, 6, Ready)), "a start that leaves is never ready again")
	entry, _ := table.Get("a")
	require.Equal(t, Leaving, entry.State)
	require.True(t, table.Merge(start, word("a", "x", 2, 1, Ready)), "the next start is")
}

func TestAReusedAddressBelongsToTheLaterStart(t *testing.T) {
	table := NewTable()
	table.Merge(start, word("old", "x", 1, 5, Ready))
	require.True(t, table.Merge(start, word("new", "x", 2, 1, Ready)))
	old, _ := table.Get("old")
	require.Equal(t, Gone, old.State)
	require.False(t, table.Merge(start, word("old", "x", 1, 6, Ready)), "an announcement delayed by a partition")
	entry, _ := table.Get("new")
	require.Equal(t, Ready, entry.State)
}

func TestASignOfLifeIsNoChange(t *testing.T) {
	table := NewTable()
	table.Merge(start, word("a", "x", 1, 1, Ready))
	version, changed := table.Version()
	require.False(t, table.Merge(start.Add(time.Second), word("a", "x", 1, 2, Ready)))
	table.Sweep(start.Add(3*time.Second), 3*time.Second)
	now, _ := table.Version()
	require.Equal(t, version, now)
	select {
	case <-changed:
		require.Fail(t, "no change was made")
	default:
	}
	table.Sweep(start.Add(5*time.Second), 3*time.Second)
	entries, _ := table.ChangedSince(version)
	require.Len(t, entries, 1)
	require.True(t, entries[0].Silent)
	require.True(t, table.Merge(start.Add(6*time.Second), word("a", "x", 1, 3, Ready)), "it speaks again")
}

func TestAColdTargetIsAChange(t *testing.T) {
	table := NewTable()
	table.Merge(start, word("a", "x", 1, 1, Ready))
	cold := word("a", "x", 1, 2, Ready)
	cold.WarmUpRemaining = 3 * time.Second
	require.True(t, table.Merge(start.Add(time.Second), cold))
	warmer := word("a", "x", 1, 3, Ready)
	warmer.WarmUpRemaining = 2 * time.Second
	require.False(t, table.Merge(start.Add(2*time.Second), warmer), "the same end of the warm-up")
	entry, _ := table.Get("a")
	require.Equal(t, start.Add(4*time.Second), entry.ColdUntil())
}

// Two tables that take the same words in different orders agree.
func TestTheOrderOfWordsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		words := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Entry {
			return word(
				rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"), "x",
				rapid.Uint64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 3).Draw(t, "sequence"), Ready,
			)
		}), 1, 8).Draw(t, "words")
		shuffled := rapid.Permutation(words).Draw(t, "shuffled")
		highest := words[0].Stamp
		for _, w := range words {
			if w.After(highest) {
				highest = w.Stamp
			}
		}
		for _, order := range [][]Entry{words, shuffled} {
			table := NewTable()
			for _, w := range order {
				table.Merge(start, w)
			}
			ready := 0
			entries, _ := table.ChangedSince(0)
			for _, entry := range entries {
				if entry.State == Ready && entry.Incarnation == highest.Incarnation {
					ready++
				}
				require.False(t, entry.State == Ready && entry.Incarnation < highest.Incarnation, "a start that was replaced")
			}
			require.Positive(t, ready)
		}
	})
}
