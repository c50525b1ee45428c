package roster

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
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

// limitAt returns a rate limit that a target named some seconds after baseTime.
func limitAt(seconds int, perSecond float64) ratelimit.Limit {
	return ratelimit.New(baseTime.Add(time.Duration(seconds)*time.Second), &perSecond)
}

// Announcements don't tell the rate limit of a target, so that it must outlast them, and
// it must reach the other hubs and the hosts with the entry.
func TestMerge_RateLimitOutlastsAnnouncements(t *testing.T) {
	table, other := NewTable(), NewTable()
	table.Merge(baseTime, newEntry("a", "x", 1, 1, Ready))
	other.Merge(baseTime, newEntry("a", "x", 1, 1, Ready))
	require.True(t, table.RecordRateLimit(baseTime, ratelimit.Report{Target: "a", Incarnation: 1, Limit: limitAt(1, 5)}))
	require.False(t, table.RecordRateLimit(baseTime, ratelimit.Report{Target: "a", Incarnation: 1, Limit: limitAt(2, 5.01)}), "nearly the same")
	require.False(t, table.RecordRateLimit(baseTime, ratelimit.Report{Target: "a", Incarnation: 2, Limit: limitAt(3, 9)}), "of another start")
	require.False(t, table.RecordRateLimit(baseTime, ratelimit.Report{Target: "b", Incarnation: 1, Limit: limitAt(3, 9)}))
	require.False(t, table.Merge(baseTime, newEntry("a", "x", 1, 2, Ready)))
	entry, _ := table.Get("a")
	require.True(t, entry.RateLimit.IsLimited)

	require.True(t, other.Merge(baseTime, entry), "a later announcement with a limit")
	require.False(t, other.Merge(baseTime, entry))
	received, _ := other.Get("a")
	require.Equal(t, entry.RateLimit, received.RateLimit)
	entry.RateLimit = ratelimit.New(baseTime.Add(4*time.Second), nil)
	require.True(t, other.Merge(baseTime, entry), "the same announcement, and the end of the limit")
	require.False(t, other.Merge(baseTime, received), "delayed")
	received, _ = other.Get("a")
	require.False(t, received.RateLimit.IsLimited)

	require.True(t, table.Merge(baseTime, newEntry("a", "y", 2, 1, Ready)))
	entry, _ = table.Get("a")
	require.False(t, entry.RateLimit.IsLimited, "a new start has named no limit")
}

// A host that missed what another one learned later must get it, although nothing has
// changed since; and a target whose responses contradict each other must not occupy all
// hosts with changes.
func TestRecordRateLimit_RefutedReportAndContradictions(t *testing.T) {
	table := NewTable()
	table.Merge(baseTime, newEntry("a", "x", 1, 1, Ready))
	record := func(at time.Duration, limit ratelimit.Limit) bool {
		return table.RecordRateLimit(baseTime.Add(at), ratelimit.Report{Target: "a", Incarnation: 1, Limit: limit})
	}
	require.True(t, record(0, limitAt(5, 5)))
	version, _ := table.Version()
	require.False(t, record(time.Second, ratelimit.New(baseTime.Add(3*time.Second), nil)))
	entries, next := table.ChangedSince(version)
	require.Len(t, entries, 1, "the host gets the limit")
	require.True(t, entries[0].RateLimit.IsLimited)

	for i := range 20 {
		record(2*time.Second, limitAt(6+i, float64(10*(i%2))))
	}
	version, _ = table.Version()
	require.LessOrEqual(t, version-next, uint64(1))
	require.True(t, record(3*time.Second, limitAt(60, 33)), "reported again")
}
