package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestCrash returns the crash of a target under a request with the content.
func requestCrash(key uint64, target string, sentAt, crashedAt float64) Crash {
	return Crash{Subject: Request(key), Target: target, Incarnation: 1, SentAt: at(sentAt), CrashedAt: at(crashedAt)}
}

// burst is what is reported of a request that crashed three targets within a moment, as one
// host went on with it to the second one.
func burst(key uint64) []Crash {
	return []Crash{requestCrash(key, "a", 0.9, 1), requestCrash(key, "b", 1.01, 1.1), requestCrash(key, "c", 0.95, 1.05)}
}

// Repeats of a request crash all targets of a small service at once, and again as soon as
// they are back. There is no time to wait for crashes that are farther apart.
func TestBoard_RequestIsQuarantinedAfterOneBurst(t *testing.T) {
	b := NewBoard()
	require.Empty(t, record(b, at(1.2), crashes(burst(7)...)))
	require.Empty(t, b.Update(at(1.05).Add(minSuspicion-time.Millisecond)), "hosts may still report a success")
	added := b.Update(at(1.05).Add(minSuspicion))
	require.Len(t, added, 1)
	require.Equal(t, Request(7), added[0].Subject)
	suspects, _ := b.Suspects()
	require.Len(t, suspects, 1)
}

// A sound request that repeats often is in flight at each of the crashes. It has succeeded
// before the first.
func TestBoard_FrequentRequestIsSpared(t *testing.T) {
	b := NewBoard()
	record(b, at(1.2), crashes(burst(7)...))
	record(b, at(1.2), crashes(burst(8)...))
	b.Record(at(1.5), Report{Successes: []Success{{Subject: Request(8), SentAt: at(0.2)}}})
	added := b.Update(at(4))
	require.Len(t, added, 1)
	require.Equal(t, Request(7), added[0].Subject)

	// Without the cause it takes crashes that are independent of each other, and no success.
	b = NewBoard()
	record(b, at(1.2), crashes(burst(8)...))
	b.Record(at(1.5), Report{Successes: []Success{{Subject: Request(8), SentAt: at(0.2)}}})
	require.Empty(t, b.Update(at(4)))
	require.Empty(t, record(b, at(5), crashes(requestCrash(8, "d", 4.5, 5))))
	require.Len(t, record(b, at(6), crashes(requestCrash(8, "e", 5.5, 6))), 1)
}

// All targets of a service are lost at one moment, with several copies of a new request in
// flight: none of them was sent after a crash.
func TestBoard_CopiesInFlightAtOneMomentAreSpared(t *testing.T) {
	b := NewBoard()
	record(b, at(1.2), crashes(requestCrash(7, "a", 0.9, 1), requestCrash(7, "b", 0.95, 1.01), requestCrash(7, "c", 0.96, 1.02)))
	require.Empty(t, b.Update(at(4)))
}

// A request that rides along with the one that crashes targets is explained by it, also if
// it was lost at all of the crashes.
func TestBoard_CompanionIsExplainedByCrashingRequest(t *testing.T) {
	b := NewBoard()
	record(b, at(1.2), crashes(burst(8)...))
	record(b, at(1.2), crashes(append(burst(7), requestCrash(7, "a", 0.91, 1))...))
	require.Equal(t, []Subject{Request(7)}, subjectsOf(b.Update(at(4))))
	require.Empty(t, b.Update(at(5)), "its crashes are not counted for the companion")
	require.Empty(t, record(b, at(6), crashes(requestCrash(7, "d", 5, 6), requestCrash(8, "d", 5, 6))))
}

func subjectsOf(suspects []Suspect) []Subject {
	var subjects []Subject
	for _, suspect := range suspects {
		subjects = append(subjects, suspect.Subject)
	}
	return subjects
}

// A caller repeats a request whose prompt has a crashing part. The part was in flight at
// crashes of other requests, too, so that it is the cause.
func TestBoard_PartOfSeveralRequestsGoesBeforeOneOfThem(t *testing.T) {
	b := NewBoard()
	for i, target := range []string{"a", "b", "c", "d"} {
		sentAt, crashedAt := float64(i)+0.5, float64(i)+1
		report := crashes(crash(3, target, sentAt, crashedAt))
		if target != "b" {
			report.Crashes = append(report.Crashes, requestCrash(7, target, sentAt, crashedAt))
		}
		b.Record(at(crashedAt), report)
	}
	require.Equal(t, []Subject{PromptPart(3)}, subjectsOf(b.Update(at(6.5))))

	// With no other request in flight, the content goes first and explains the crashes of
	// its parts, which other requests share.
	b = NewBoard()
	for i, target := range []string{"a", "b", "c"} {
		sentAt, crashedAt := float64(i)+0.5, float64(i)+1
		b.Record(at(crashedAt), crashes(crash(3, target, sentAt, crashedAt), requestCrash(7, target, sentAt, crashedAt)))
	}
	require.Equal(t, []Subject{Request(7)}, subjectsOf(b.Update(at(6))))
	require.Empty(t, b.Update(at(7)))
}

// Hosts tell what they know of a listed request: a success that clears it, or an earlier
// one. A part is cleared only by a later one.
func TestObserver_ReportsEarlierSuccessOfRequest(t *testing.T) {
	o := NewObserver()
	content := promptOf(1, 2)
	content.Key = 7
	o.RecordSuccess(at(1), content, at(0.5))
	o.Apply(at(3), []Suspect{
		{Subject: PromptPart(1), Crashes: 1, FirstAt: at(2), LastAt: at(2)}, {Subject: Request(7), Crashes: 1, FirstAt: at(2), LastAt: at(2)},
	}, 1)
	require.Equal(t, Report{Successes: []Success{{Subject: Request(7), SentAt: at(0.5)}}}, o.TakeReport())
	o.Apply(at(3), []Suspect{{Subject: Request(7), Crashes: 1, FirstAt: at(2), LastAt: at(2)}}, 2)
	report := o.TakeReport()
	require.True(t, report.IsEmpty(), "it was reported")
	o.RecordSuccess(at(5), content, at(4))
	require.Equal(t, Report{Successes: []Success{{Subject: Request(7), SentAt: at(4)}}}, o.TakeReport())
}

// A request without a prompt is reported by its content, one with a prompt by both.
func TestObserver_ReportsContentOfLostRequest(t *testing.T) {
	o := NewObserver()
	require.True(t, o.RecordLost(lostBeforeResponse("a", Content{Key: 7})))
	both := promptOf(1, 2)
	both.Key = 8
	o.RecordLost(lostBeforeResponse("a", both))
	o.RecordCheck(at(2), "a", 1, true)
	var subjects []Subject
	for _, crash := range o.TakeReport().Crashes {
		subjects = append(subjects, crash.Subject)
	}
	require.ElementsMatch(t, []Subject{Request(7), PromptPart(1), Request(8)}, subjects)

	o.Apply(at(3), []Suspect{{Subject: Request(7), Crashes: 3, FirstAt: at(2), LastAt: at(2), Until: at(60)}}, 1)
	suspect, found := o.Quarantined(at(4), Content{Key: 7})
	require.True(t, found)
	require.Equal(t, Request(7), suspect.Subject)
	_, found = o.Quarantined(at(4), promptOf(7, 7))
	require.False(t, found, "a prompt part with the same key")
	_, found = o.Quarantined(at(4), Content{})
	require.False(t, found)
}
