package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
)

// drawEntry draws an entry of one of six targets.
func drawEntry(t *rapid.T, now time.Time) Entry {
	name := fmt.Sprint("t-", rapid.IntRange(0, 5).Draw(t, "target"))
	entry := newEntry(name, "at-"+name, rapid.Uint64Range(1, 2).Draw(t, "incarnation"), rapid.Uint64Range(1, 30).Draw(t, "sequence"),
		rapid.SampledFrom([]State{Ready, Ready, Ready, Leaving, Gone}).Draw(t, "state"))
	entry.LastSeen = now
	entry.Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
	entry.WarmUpRemaining = time.Duration(rapid.IntRange(0, 1).Draw(t, "warm-up")) * time.Second
	if rapid.IntRange(0, 9).Draw(t, "limited") == 0 {
		entry.RateLimit = ratelimit.New(now, nil)
	}
	return entry
}

// drawTable merges drawn entries into each of the tables, all of them or some.
func drawTable(t *rapid.T, now *time.Time, tables ...*Table) {
	for range rapid.IntRange(1, 30).Draw(t, "steps") {
		*now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
		entry := drawEntry(t, *now)
		for _, table := range tables {
			if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
				table.Merge(*now, entry)
			}
			table.Sweep(*now, 4*time.Second)
		}
	}
}

// Guards against a renewal that does something else than the entry that it replaces: another hub
// would keep a target that leaves, or forget one that is there.
func TestRenew_SameAsMergeOfTheEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := baseTime
		sender, byRenewal, byEntry := NewTable(), NewTable(), NewTable()
		drawTable(t, &now, sender)
		for range rapid.IntRange(0, 20).Draw(t, "steps") {
			entry := drawEntry(t, now)
			byRenewal.Merge(now, entry)
			byEntry.Merge(now, entry)
		}
		for name, current := range sender.byName {
			renewal, renewable := sender.Renewal(name)
			if !renewable {
				continue
			}
			before, _ := byEntry.Get(name)
			changed := byEntry.Merge(now, current.Entry)
			_, known, renewed := byRenewal.Renew(now, renewal)
			if !known {
				require.NotEqual(t, before.fingerprint(), current.fingerprint, "a table that has the entry knows its renewal")
				byRenewal.Merge(now, sender.WithFingerprints([]Fingerprint{renewal.Fingerprint})[0])
			} else {
				require.Equal(t, changed, renewed)
			}
			one, _ := byEntry.Get(name)
			other, _ := byRenewal.Get(name)
			require.Equal(t, one, other)
		}
	})
}

// Guards against a host that goes to another hub and lacks a change that this hub has: its target
// would get requests although it leaves, or none.
func TestMissingFrom_HostHasWhatTheHubHas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := baseTime
		host, hub := NewTable(), NewTable()
		drawTable(t, &now, host, hub)
		missing, version, few := hub.MissingFrom(host.Summary())
		if !few {
			missing, version = hub.ChangedSince(0)
		}
		expected, _ := hub.Version()
		require.Equal(t, expected, version)
		all := NewTable()
		for _, entries := range [][]Entry{host.all(), hub.all()} {
			for _, entry := range entries {
				all.Merge(now, entry)
			}
		}
		for _, entry := range missing {
			host.Merge(now, entry)
		}
		for name := range hub.byName {
			one, other := host.byName[name], all.byName[name]
			require.Equal(t, other.State, one.State, name)
			require.Equal(t, other.Incarnation, one.Incarnation, name)
			require.Equal(t, other.Version, one.Version, name)
			require.Equal(t, other.Silent, one.Silent, name)
			require.Equal(t, other.RateLimit, one.RateLimit, name)
		}
	})
}

// all returns all entries of the table.
func (t *Table) all() []Entry {
	entries, _ := t.ChangedSince(0)
	return entries
}

// A host that went to another hub got the whole roster, 90 KB for 3,000 targets, although nothing
// differed.
func TestMissingFrom_FewDifferencesAreFewEntries(t *testing.T) {
	host, hub := NewTable(), NewTable()
	for i := range 3000 {
		entry := newEntry(fmt.Sprint("t-", i), fmt.Sprint("a-", i), 1, 1, Ready)
		host.Merge(baseTime, entry)
		entry.Sequence = 7
		hub.Merge(baseTime, entry)
	}
	missing, _, few := hub.MissingFrom(host.Summary())
	require.True(t, few)
	require.Empty(t, missing)
	hub.MarkGone(baseTime, "t-7")
	hub.Merge(baseTime, newEntry("t-8", "a-8", 2, 1, Ready))
	missing, _, few = hub.MissingFrom(host.Summary())
	require.True(t, few)
	require.LessOrEqual(t, len(missing), 3*100)
	_, _, few = hub.MissingFrom(NewTable().Summary())
	require.False(t, few)
	_, _, few = hub.MissingFrom(nil)
	require.False(t, few)
}

// Guards against a history that grows with each change, or that loses the latest change of a
// target.
func TestChangedSince_HistoryHoldsTheLatestChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := baseTime
		table := NewTable()
		follower := map[string]Entry{}
		var version uint64
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			drawTable(t, &now, table)
			var entries []Entry
			count, _ := table.PendingChanges(version)
			entries, version = table.ChangedSince(version)
			require.Len(t, entries, count)
			for _, entry := range entries {
				follower[entry.Name] = entry
			}
			for name, current := range table.byName {
				require.Equal(t, current.State, follower[name].State)
				require.Equal(t, current.Incarnation, follower[name].Incarnation)
				require.Equal(t, current.Silent, follower[name].Silent)
			}
			require.LessOrEqual(t, len(table.history), 2*len(table.byName)+64)
		}
	})
}

// Guards against a host that gets changes in parts and misses one, or gets one without end.
func TestNextChanges_PartsAreAllChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := baseTime
		table, follower := NewTable(), map[string]Entry{}
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		var version uint64
		follow := func() bool {
			entries, next := table.NextChanges(version, limit)
			require.LessOrEqual(t, len(entries), limit)
			require.GreaterOrEqual(t, next, version)
			for _, entry := range entries {
				follower[entry.Name] = entry
			}
			version = next
			return len(entries) > 0
		}
		for range rapid.IntRange(1, 10).Draw(t, "rounds") {
			drawTable(t, &now, table)
			follow()
		}
		for range 2 * len(table.byName) {
			follow()
		}
		require.False(t, follow(), "it has all changes")
		for name, current := range table.byName {
			require.Equal(t, current.State, follower[name].State)
			require.Equal(t, current.Incarnation, follower[name].Incarnation)
			require.Equal(t, current.Silent, follower[name].Silent)
		}
	})
}

func TestPendingChanges_LeavingAndColdTargetsAreUrgent(t *testing.T) {
	table := NewTable()
	table.Merge(baseTime, Entry{Announcement: target.Announcement{Name: "a", Stamp: target.Stamp{Incarnation: 1}}, State: Ready})
	count, urgent := table.PendingChanges(0)
	require.Equal(t, 1, count)
	require.False(t, urgent)
	version, _ := table.Version()
	table.MarkGone(baseTime, "a")
	_, urgent = table.PendingChanges(version)
	require.True(t, urgent)
	version, _ = table.Version()
	table.Merge(baseTime, Entry{Announcement: target.Announcement{Name: "b", Stamp: target.Stamp{Incarnation: 1}}, State: Ready, WarmUpRemaining: time.Second})
	_, urgent = table.PendingChanges(version)
	require.True(t, urgent)
}
