package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// at returns a time in seconds after the epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// crash returns the crash of an incarnation of a target under a request with the part.
func crash(part uint64, target string, sentAt, crashedAt float64) Crash {
	return Crash{Subject: PromptPart(part), Target: target, Incarnation: 1, SentAt: at(sentAt), CrashedAt: at(crashedAt)}
}

func crashes(crashes ...Crash) Report { return Report{Crashes: crashes} }

// record records a report and returns the parts that are then put in quarantine.
func record(b *Board, now time.Time, report Report) []Suspect {
	b.Record(now, report)
	return b.Update(now)
}

func quarantinedKeys(b *Board, now time.Time) []uint64 {
	var keys []uint64
	for _, part := range b.Quarantined(now) {
		keys = append(keys, part.Key)
	}
	return keys
}

func TestBoard_QuarantinesPartAfterConsecutiveCrashes(t *testing.T) {
	b := NewBoard()
	require.Empty(t, record(b, at(1), crashes(crash(7, "a", 0.5, 1))))
	require.Empty(t, record(b, at(2), crashes(crash(7, "b", 1.5, 2))))
	added := record(b, at(3), crashes(crash(7, "c", 2.5, 3)))
	require.Len(t, added, 1)
	require.Equal(t, uint64(7), added[0].Key)
	require.Equal(t, []uint64{7}, quarantinedKeys(b, at(3)))
	require.Equal(t, []uint64{7}, quarantinedKeys(b, at(3).Add(quarantinePeriod-time.Second)))
	require.Empty(t, quarantinedKeys(b, at(3).Add(quarantinePeriod)))
}

// Hosts need some time to learn that a part is suspected and to report the requests with
// it that succeeded.
func TestBoard_QuarantineWaitsForReportsOfSuccess(t *testing.T) {
	b := NewBoard()
	require.Empty(t, record(b, at(2.4), crashes(crash(7, "a", 0.5, 1), crash(7, "b", 1.5, 1.7), crash(7, "c", 1.8, 2.4))))
	require.Empty(t, b.Update(at(1).Add(minSuspicion-time.Millisecond)))
	require.Len(t, b.Update(at(1).Add(minSuspicion)), 1)
}

// Requests that were in flight together tell no more than one of them: several targets
// may have been lost at the same moment.
func TestBoard_SimultaneousCrashesCountOnce(t *testing.T) {
	b := NewBoard()
	for _, target := range []string{"a", "b", "c", "d"} {
		record(b, at(1), crashes(crash(7, target, 0.9, 1)))
	}
	require.Equal(t, 1, b.suspects[PromptPart(7)].Crashes)
}

// Several requests with the part wait on one target, and several hosts report its crash.
func TestBoard_OneCrashReportedTwiceCountsOnce(t *testing.T) {
	b := NewBoard()
	record(b, at(1), crashes(crash(7, "a", 0.5, 1), crash(7, "a", 0.6, 1)))
	record(b, at(2), crashes(crash(7, "a", 1.1, 1.2)))
	require.Equal(t, 1, b.suspects[PromptPart(7)].Crashes)
}

func TestBoard_SuccessAfterFirstCrashClearsPart(t *testing.T) {
	b := NewBoard()
	record(b, at(2), crashes(crash(7, "a", 0.5, 1), crash(7, "b", 1.5, 2)))
	record(b, at(3), Report{Successes: []Success{{Subject: PromptPart(7), SentAt: at(0.9)}}})
	require.Equal(t, 2, b.suspects[PromptPart(7)].Crashes, "the request was sent before the first crash")
	record(b, at(4), Report{Successes: []Success{{Subject: PromptPart(7), SentAt: at(1.1)}}})
	require.Empty(t, record(b, at(5), crashes(crash(7, "c", 4.5, 5))), "crashes are counted anew")
}

// A request that was in flight when its part came into quarantine may still succeed.
func TestBoard_SuccessLiftsQuarantine(t *testing.T) {
	b := NewBoard()
	record(b, at(3), crashes(crash(7, "a", 0.5, 1), crash(7, "b", 1.5, 2), crash(7, "c", 2.5, 3)))
	quarantined := b.Quarantined(at(3))
	require.Len(t, quarantined, 1)
	version, changed := b.UrgentVersion()
	record(b, at(4), Report{Successes: []Success{{Subject: PromptPart(7), SentAt: at(2)}}})
	require.Empty(t, quarantinedKeys(b, at(4)))
	<-changed
	next, _ := b.UrgentVersion()
	require.Greater(t, next, version)
	require.Empty(t, b.Merge(at(4), quarantined), "another hub that does not know of the success yet does not restore it")
	require.Empty(t, quarantinedKeys(b, at(4)))
}

// Sound requests wait on the same targets, and those with a rare part may all fail.
func TestBoard_QuarantinedPartExplainsCrashes(t *testing.T) {
	b := NewBoard()
	for i, target := range []string{"a", "b", "c", "d"} {
		seconds := float64(i)
		b.Record(at(seconds), crashes(crash(7, target, seconds-0.4, seconds)))
		if i > 0 {
			b.Record(at(seconds), crashes(crash(8, target, seconds-0.3, seconds)))
		}
	}
	added := b.Update(at(4))
	require.Len(t, added, 1)
	require.Equal(t, uint64(7), added[0].Key)
	b.Record(at(5), crashes(crash(9, "e", 4.7, 5), crash(7, "e", 4.6, 5)))
	require.Zero(t, b.suspects[PromptPart(8)].Crashes)
	require.Zero(t, b.suspects[PromptPart(9)].Crashes)
}

// The version changes with the list, at most twice a second unless a quarantine changes.
func TestBoard_PublishesChanges(t *testing.T) {
	b := NewBoard()
	_, last := b.Suspects()
	expect := func(changed bool, keys ...uint64) {
		t.Helper()
		parts, version := b.Suspects()
		var listed []uint64
		for _, part := range parts {
			listed = append(listed, part.Key)
		}
		require.Equal(t, keys, listed)
		require.Equal(t, changed, version != last)
		last = version
	}
	record(b, at(1), crashes(crash(7, "a", 0.5, 1)))
	expect(true, 7)
	record(b, at(1.1), crashes(crash(8, "a", 0.5, 1)))
	expect(false, 7)
	b.Update(at(1.5))
	expect(true, 7, 8)
	record(b, at(2), crashes(crash(7, "b", 1.5, 2)))
	expect(true, 7, 8)
	record(b, at(2.4), crashes(crash(8, "d", 2.1, 2.4)))
	expect(false, 7, 8)
	record(b, at(2.8), crashes(crash(7, "c", 2.1, 2.8)))
	expect(true, 7, 8)
	b.Update(at(3))
	expect(true, 7, 8)
	record(b, at(3.1), Report{Successes: []Success{{Subject: PromptPart(7), SentAt: at(2)}}})
	expect(true, 7, 8)
	b.Update(at(4).Add(suspicionTTL + time.Second))
	expect(true)
}

func TestBoard_ListOfSuspectsIsLimited(t *testing.T) {
	b := NewBoard()
	for key := range uint64(10 * maxPublishedParts) {
		record(b, at(1), crashes(crash(key, "a", 0.5, 1)))
	}
	record(b, at(2), crashes(crash(maxPublishedParts+1, "b", 1.5, 2)))
	parts, _ := b.Suspects()
	require.Len(t, parts, maxPublishedParts)
	require.Equal(t, uint64(maxPublishedParts+1), parts[maxPublishedParts-1].Key, "the part with the most crashes is listed")
}

func TestBoard_MergeAddsQuarantineOfAnotherHub(t *testing.T) {
	first, second := NewBoard(), NewBoard()
	record(first, at(3), crashes(crash(7, "a", 0.5, 1), crash(7, "b", 1.5, 2), crash(7, "c", 2.5, 3)))
	record(first, at(3), crashes(crash(8, "c", 2.5, 3)))
	parts, _ := first.Suspects()
	require.Len(t, second.Merge(at(3), parts), 1)
	require.Empty(t, second.Merge(at(3), parts))
	require.Equal(t, []uint64{7}, quarantinedKeys(second, at(3)))
}

func TestBoard_SuspicionExpires(t *testing.T) {
	b := NewBoard()
	record(b, at(2), crashes(crash(7, "a", 0.5, 1), crash(7, "b", 1.5, 2)))
	later := at(2).Add(suspicionTTL + time.Second)
	b.Update(later)
	require.Empty(t, record(b, later, crashes(Crash{Subject: PromptPart(7), Target: "c", Incarnation: 1, SentAt: later.Add(-time.Second), CrashedAt: later})))
	require.Equal(t, 1, b.suspects[PromptPart(7)].Crashes)
}

func TestBoard_NumberOfPartsIsLimited(t *testing.T) {
	b := NewBoard()
	record(b, at(3), crashes(crash(0, "a", 0.5, 1), crash(0, "b", 1.5, 2), crash(0, "c", 2.5, 3)))
	for key := range uint64(maxSuspects + 64) {
		record(b, at(4), crashes(crash(key+1, "d", 3.5, 4+float64(key)/1e6)))
	}
	require.Len(t, b.suspects, maxSuspects)
	require.Equal(t, []uint64{0}, quarantinedKeys(b, at(4)), "parts in quarantine are kept")
}

// While no request succeeds, the part behind the cause is taken for it. Targets go on
// crashing without it, also under the cause, which was in flight at its crashes.
func TestBoard_PartIsReleasedWhenLaterCauseExplainsItsCrashes(t *testing.T) {
	inner, cause := PromptPart(5), PromptPart(3)
	newBoardWithInner := func(causeRidesAlong bool) *Board {
		b := NewBoard()
		for i, target := range []string{"a", "b", "c"} {
			sentAt, crashedAt := float64(i)+0.5, float64(i)+1
			report := crashes(Crash{Subject: inner, Depth: 2, Target: target, Incarnation: 1, SentAt: at(sentAt), CrashedAt: at(crashedAt)})
			if causeRidesAlong {
				report.Crashes = append(report.Crashes, Crash{Subject: cause, Depth: 1, Target: target, Incarnation: 1, SentAt: at(sentAt), CrashedAt: at(crashedAt)})
			}
			b.Record(at(crashedAt), report)
		}
		require.Equal(t, []Subject{inner}, subjectsOf(b.Update(at(4))))
		for i, target := range []string{"d", "e", "f"} {
			sentAt, crashedAt := float64(i)+4.5, float64(i)+5
			b.Record(at(crashedAt), crashes(Crash{Subject: cause, Depth: 1, Target: target, Incarnation: 1, SentAt: at(sentAt), CrashedAt: at(crashedAt)}))
		}
		return b
	}
	b := newBoardWithInner(true)
	other := NewBoard()
	other.Merge(at(4), b.Quarantined(at(4)))
	require.Equal(t, []Subject{cause}, subjectsOf(b.Update(at(8))))
	require.Equal(t, []Subject{cause}, subjectsOf(b.Quarantined(at(8))))
	require.Empty(t, b.Merge(at(8.1), other.Quarantined(at(8.1))), "another hub that has not released it yet")
	suspects, _ := b.Suspects()
	require.Len(t, suspects, 2, "hosts are told of the release")

	b = newBoardWithInner(false)
	require.Equal(t, []Subject{cause}, subjectsOf(b.Update(at(8))))
	require.ElementsMatch(t, []Subject{cause, inner}, subjectsOf(b.Quarantined(at(8))), "two causes")
}
