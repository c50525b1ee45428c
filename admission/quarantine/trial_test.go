package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crashTogether reports crashes of all targets under requests with a part, one after the other.
func crashTogether(b *Board, start time.Time, crashes int) (last time.Time) {
	for i := range crashes {
		last = start.Add(time.Duration(i) * 1400 * time.Millisecond)
		b.Record(last, Report{Crashes: []Crash{{Subject: PromptPart(7), Target: "t", Incarnation: uint64(i + 1), SentAt: last.Add(-time.Millisecond), CrashedAt: last}}})
	}
	return last
}

// Trials come seldom enough that a part which does crash targets costs few of them, and only one
// hub grants each.
func TestGrantTrials_BecomeRareWithEachCrash(t *testing.T) {
	first, second := NewBoard(), NewBoard()
	now := crashTogether(first, epoch, maxCrashes)
	added := first.Update(now)
	require.Len(t, added, 1)
	second.Merge(now, added)
	subjects := []Subject{PromptPart(7), PromptPart(8)}
	turn := func(n int) func(Subject) int { return func(Subject) int { return n } }

	var granted []time.Duration
	for at := now; at.Before(now.Add(time.Minute)); at = at.Add(100 * time.Millisecond) {
		trials := first.GrantTrials(at, subjects, turn(0))
		require.Empty(t, second.GrantTrials(at, subjects, turn(1)))
		if len(trials) == 0 {
			continue
		}
		granted = append(granted, at.Sub(now))
		second.Merge(at, trials)
		crash := Report{Crashes: []Crash{{Subject: PromptPart(7), Target: "u", Incarnation: uint64(len(granted)), SentAt: at.Add(time.Millisecond), CrashedAt: at.Add(50 * time.Millisecond)}}}
		first.Record(at, crash)
		second.Record(at, crash)
	}
	require.Equal(t, []time.Duration{5 * time.Second, 20 * time.Second}, granted)
	require.Len(t, second.GrantTrials(now.Add(20*time.Second+45*time.Second+trialTurn), subjects, turn(1)), 1, "the other hub grants it in its turn")
}

// A verdict that was reached beside successes of other requests is tested later.
func TestGrantTrials_ComparedSuspectWaitsLonger(t *testing.T) {
	b := NewBoard()
	b.Record(epoch, Report{Crashes: []Crash{{Subject: PromptPart(8), Target: "s", Incarnation: 1, SentAt: epoch, CrashedAt: epoch}}})
	now := crashTogether(b, epoch, maxCrashes)
	b.Record(now, Report{Successes: []Success{{Subject: PromptPart(8), SentAt: epoch.Add(time.Second)}}})
	require.Len(t, b.Update(now), 1)
	turn := func(Subject) int { return 0 }
	require.Empty(t, b.GrantTrials(now.Add(comparedTrialDelay-1), []Subject{PromptPart(7)}, turn))
	require.Len(t, b.GrantTrials(now.Add(comparedTrialDelay), []Subject{PromptPart(7)}, turn), 1)
}

// A trial tells nothing while targets crash for another cause.
func TestGrantTrials_WaitForQuiet(t *testing.T) {
	b := NewBoard()
	now := crashTogether(b, epoch, maxCrashes)
	require.Len(t, b.Update(now), 1)
	due := now.Add(firstTrialDelay)
	b.Record(due, Report{Crashes: []Crash{{Subject: PromptPart(8), Target: "s", Incarnation: 1, SentAt: due, CrashedAt: due}}})
	turn := func(Subject) int { return 0 }
	require.Empty(t, b.GrantTrials(due.Add(trialQuiet-1), []Subject{PromptPart(7)}, turn))
	require.Len(t, b.GrantTrials(due.Add(trialQuiet), []Subject{PromptPart(7)}, turn), 1)
}
