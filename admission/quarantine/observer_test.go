package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
)

// promptOf returns the content of a request with the given parts of its prompt.
func promptOf(keys ...uint64) Content {
	prompt := &admission.Prompt{}
	for _, key := range keys {
		prompt.Parts = append(prompt.Parts, admission.PromptPart{Key: key, Tokens: 100})
	}
	return Content{Prompt: prompt}
}

func lostBeforeResponse(target string, content Content) Lost {
	return Lost{Content: content, Target: target, Incarnation: 1, SentAt: at(1), LostAt: at(2)}
}

func TestObserver_ReportsSharedPartsOfLostRequestOnceTargetIsDown(t *testing.T) {
	o := NewObserver()
	require.True(t, o.RecordLost(lostBeforeResponse("a", promptOf(1, 2, 3))))
	require.False(t, o.RecordLost(lostBeforeResponse("a", promptOf(1, 4, 5))), "the target is being checked")
	report := o.TakeReport()
	require.True(t, report.IsEmpty())
	o.RecordCheck(at(2), "a", 1, true)
	require.False(t, o.RecordLost(lostBeforeResponse("a", promptOf(6, 7))), "the target is known to be down")
	report = o.TakeReport()
	var parts []uint64
	for _, crash := range report.Crashes {
		parts = append(parts, crash.Subject.Key)
	}
	require.ElementsMatch(t, []uint64{1, 2, 4, 6}, parts, "a part that waited twice is reported once")
	report = o.TakeReport()
	require.True(t, report.IsEmpty())
}

// A target that resets single connections goes on serving others.
func TestObserver_TargetThatAcceptsConnectionsHasNotCrashed(t *testing.T) {
	o := NewObserver()
	require.True(t, o.RecordLost(lostBeforeResponse("a", promptOf(1, 2))))
	o.RecordCheck(at(2), "a", 1, false)
	report := o.TakeReport()
	require.True(t, report.IsEmpty())
}

func TestObserver_ResponseThatHadBegunIsNoEvidence(t *testing.T) {
	for _, test := range []struct {
		firstByte time.Duration
		expected  bool
	}{
		{0, true},
		{900 * time.Millisecond, true},
		{500 * time.Millisecond, false},
	} {
		lost := lostBeforeResponse("a", promptOf(1, 2))
		lost.FirstByte = test.firstByte
		require.Equal(t, test.expected, NewObserver().RecordLost(lost), test.firstByte)
	}
	require.False(t, NewObserver().RecordLost(lostBeforeResponse("a", promptOf(1))), "the only part belongs to the request")
	require.False(t, NewObserver().RecordLost(lostBeforeResponse("a", Content{})))
}

func TestObserver_ReportsSuccessWithSuspectedPartOnce(t *testing.T) {
	o := NewObserver()
	o.Apply(at(2), []Suspect{{Subject: PromptPart(1), Crashes: 1, FirstAt: at(1), LastAt: at(1)}}, 4)
	o.RecordSuccess(at(3), promptOf(1, 2), at(0.5))
	o.RecordSuccess(at(3), promptOf(2, 1), at(1.5))
	report := o.TakeReport()
	require.True(t, report.IsEmpty(), "sent before the crash; the last part of the prompt")
	o.RecordSuccess(at(3), promptOf(1, 2), at(1.5))
	o.RecordSuccess(at(3), promptOf(1, 3), at(1.6))
	report = o.TakeReport()
	require.Equal(t, []Success{{Subject: PromptPart(1), SentAt: at(1.5)}}, report.Successes)
	o.RestoreReport(report)
	report = o.TakeReport()
	require.Len(t, report.Successes, 1, "a report that was not delivered is sent again")
	o.Apply(at(4), []Suspect{{Subject: PromptPart(1), Crashes: 1, FirstAt: at(3), LastAt: at(3), ClearedAt: at(1.5)}}, 5)
	o.RecordSuccess(at(3), promptOf(1, 2), at(3.5))
	report = o.TakeReport()
	require.Len(t, report.Successes, 1, "a new crash needs a new success")
}

// The last part of a prompt belongs to its request or session, and is never in
// quarantine.
func TestObserver_RefusesSharedPartsInQuarantine(t *testing.T) {
	o := NewObserver()
	added, _ := o.Apply(at(2), []Suspect{
		{Subject: PromptPart(1), Crashes: 3, FirstAt: at(1), LastAt: at(2), Until: at(60)},
		{Subject: PromptPart(2), Crashes: 2, FirstAt: at(1), LastAt: at(2)},
	}, 4)
	require.Len(t, added, 1)
	for _, test := range []struct {
		content  Content
		expected bool
	}{
		{promptOf(5, 1, 6), true},
		{promptOf(1, 6), true},
		{promptOf(5, 1), false},
		{promptOf(2, 6), false},
		{promptOf(1), false},
		{Content{}, false},
	} {
		_, found := o.Quarantined(at(3), test.content)
		require.Equal(t, test.expected, found, "%+v", test.content)
	}
	_, found := o.Quarantined(at(60), promptOf(1, 6))
	require.False(t, found, "the quarantine is over")
}

// A hub that has restarted knows no part. Hosts keep what is in quarantine and tell it.
func TestObserver_QuarantineSurvivesRestartOfHub(t *testing.T) {
	o := NewObserver()
	part := Suspect{Subject: PromptPart(1), Crashes: 3, FirstAt: at(1), LastAt: at(2), Until: at(60)}
	o.Apply(at(2), []Suspect{part}, 4)
	require.Empty(t, o.Unlisted(at(2)))
	o.Apply(at(3), nil, 1)
	_, found := o.Quarantined(at(3), promptOf(1, 6))
	require.True(t, found)
	require.Equal(t, []Suspect{part}, o.Unlisted(at(3)))
	hub := NewBoard()
	hub.Merge(at(3), o.Unlisted(at(3)))
	parts, version := hub.Suspects()
	added, released := o.Apply(at(3), parts, version)
	require.Empty(t, added)
	require.Empty(t, released)
	require.Empty(t, o.Unlisted(at(3)))
}

// A hub that lifted a quarantine lists the part as cleared.
func TestObserver_LiftedQuarantineEnds(t *testing.T) {
	o := NewObserver()
	o.Apply(at(2), []Suspect{{Subject: PromptPart(1), Crashes: 3, FirstAt: at(1), LastAt: at(2), Until: at(60)}}, 4)
	added, released := o.Apply(at(3), []Suspect{{Subject: PromptPart(1), FirstAt: at(1), LastAt: at(2), ClearedAt: at(1.5)}}, 5)
	_, found := o.Quarantined(at(3), promptOf(1, 6))
	require.False(t, found)
	require.Empty(t, added)
	require.Equal(t, []Subject{PromptPart(1)}, []Subject{released[0].Subject})
}
