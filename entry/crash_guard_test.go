package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/admission/quarantine"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/peer"
)

// probeSender answers probes of targets.
type probeSender struct {
	protocol.Sender
	err    error
	probed chan string
}

func (s *probeSender) Probe(_ context.Context, address string) error {
	s.probed <- address
	return s.err
}

func samplePrompt(keys ...uint64) *admission.Prompt {
	prompt := &admission.Prompt{}
	for _, key := range keys {
		prompt.Parts = append(prompt.Parts, admission.PromptPart{Key: key, Tokens: 10})
	}
	return prompt
}

func (f *fixture) awaitReport(t testing.TB) quarantine.Report {
	var report quarantine.Report
	require.Eventually(t, func() bool {
		report = f.daemon.crashes.observer.TakeReport()
		return !report.IsEmpty()
	}, 10*time.Second, time.Millisecond)
	return report
}

// The prompt of a request whose target crashed before its response is reported; the
// requests that were lost with a single connection are not.
func TestRelease_CrashBeforeResponseIsReported(t *testing.T) {
	f := newFixture(t)
	sender := &probeSender{probed: make(chan string, 1)}
	f.daemon.crashes.sender = sender
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1), f.newRosterEntry("e-2", "engines", "a", 1))
	for _, test := range []struct {
		name string
		err  error
	}{{"the target accepts connections", nil}, {"the target is down", errors.New("connection refused")}} {
		sender.err = test.err
		permit, refusal := f.acquire(t, test.name, "engines")
		require.Nil(t, refusal)
		f.selector.Release(admission.Release{
			RequestID: permit.RequestID, Service: permit.Service, Target: permit.Target, Incarnation: permit.Incarnation, Outcome: admission.OutcomeFailed,
			Duration: 50 * time.Millisecond, Prompt: samplePrompt(1, 2, 3), ConnectionLost: true,
		})
		require.Equal(t, permit.Address, <-sender.probed)
		f.clock.Advance(time.Minute)
	}
	report := f.awaitReport(t)
	require.Len(t, report.Crashes, 2)
	require.Equal(t, []uint64{1, 2}, []uint64{report.Crashes[0].Subject.Key, report.Crashes[1].Subject.Key})
}

// A request with a part in quarantine is refused without being sent, with the time after which a
// trial may have ended the quarantine. Requests that share its other parts are served.
func TestAcquire_PromptPartInQuarantineIsRefused(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1))
	now := f.clock.Now()
	response := peer.WatchResponse{SuspectsVersion: 3, Suspects: []quarantine.Suspect{
		{Subject: quarantine.PromptPart(2), Crashes: 3, FirstAt: now.Add(-3 * time.Second), LastAt: now, Until: now.Add(time.Minute)},
		{Subject: quarantine.PromptPart(1), Crashes: 2, FirstAt: now.Add(-3 * time.Second), LastAt: now},
	}}
	require.NoError(t, newHubWatcher(f.daemon).applyResponse(response, f.clock.Now(), nil))
	acquire := func(prompt *admission.Prompt, exclude ...string) error {
		_, err := f.selector.Acquire(t.Context(), admission.Request{ID: "r", Service: "engines", Prompt: prompt, Exclude: exclude})
		return err
	}
	for _, exclude := range [][]string{nil, {"e-2"}} {
		var refusal *admission.Refusal
		require.ErrorAs(t, acquire(samplePrompt(1, 2, 9), exclude...), &refusal, "a repeat is refused, too")
		require.Equal(t, admission.RefusedQuarantined, refusal.Code)
		// 5 s until a trial, 2 s for it to come and 1 s after its first byte.
		require.Equal(t, 8*time.Second, refusal.RetryAfter)
	}
	require.NoError(t, acquire(samplePrompt(1, 9)))
	require.NoError(t, acquire(samplePrompt(9, 2)), "the last part belongs to the request")
	require.NoError(t, acquire(nil))
	f.clock.Advance(time.Minute)
	require.NoError(t, acquire(samplePrompt(1, 2, 9)))
}

// Another hub may not know of a part in quarantine. The host keeps it, and tells the hub
// with its next poll, even if the versions of the two lists are equal.
func TestApplyResponse_QuarantineSurvivesChangeOfHub(t *testing.T) {
	f := newFixture(t)
	now := f.clock.Now()
	watcher := newHubWatcher(f.daemon)
	part := quarantine.Suspect{Subject: quarantine.PromptPart(2), Crashes: 3, FirstAt: now, LastAt: now, Until: now.Add(time.Minute)}
	require.NoError(t, watcher.applyResponse(peer.WatchResponse{RosterSource: 1, SuspectsVersion: 3, Suspects: []quarantine.Suspect{part}}, f.clock.Now(), nil))
	require.NoError(t, watcher.applyResponse(peer.WatchResponse{RosterSource: 1, SuspectsVersion: 3}, f.clock.Now(), nil))
	require.Empty(t, f.daemon.crashes.observer.Unlisted(now))
	require.NoError(t, watcher.applyResponse(peer.WatchResponse{RosterSource: 2, SuspectsVersion: 3}, f.clock.Now(), nil))
	require.Equal(t, []quarantine.Suspect{part}, f.daemon.crashes.observer.Unlisted(now))
	require.Error(t, f.daemon.crashes.check(now, &admission.Request{Prompt: samplePrompt(2, 9)}, func() bool { return true }))
}

// A request without a prompt that is in quarantine is refused by its content, and one whose
// target crashed is reported by it.
func TestAcquire_RequestContentInQuarantineIsRefused(t *testing.T) {
	f := newFixture(t)
	sender := &probeSender{probed: make(chan string, 1), err: errors.New("connection refused")}
	f.daemon.crashes.sender = sender
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1))
	acquire := func(key uint64) (admission.Permit, error) {
		return f.selector.Acquire(t.Context(), admission.Request{ID: "r", Service: "treasury", ContentKey: key})
	}
	permit, err := acquire(7)
	require.NoError(t, err)
	f.selector.Release(admission.Release{
		RequestID: permit.RequestID, Service: permit.Service, Target: permit.Target, Incarnation: permit.Incarnation, Outcome: admission.OutcomeFailed,
		Duration: 50 * time.Millisecond, ContentKey: 7, ConnectionLost: true,
	})
	<-sender.probed
	report := f.awaitReport(t)
	require.Len(t, report.Crashes, 1)
	require.Equal(t, quarantine.Request(7), report.Crashes[0].Subject)

	now := f.clock.Now()
	require.NoError(t, newHubWatcher(f.daemon).applyResponse(peer.WatchResponse{SuspectsVersion: 3, Suspects: []quarantine.Suspect{
		{Subject: quarantine.Request(7), Crashes: 3, FirstAt: now, LastAt: now, Until: now.Add(time.Minute)},
	}}, f.clock.Now(), nil))
	_, err = acquire(7)
	var refusal *admission.Refusal
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, admission.RefusedQuarantined, refusal.Code)
	_, err = acquire(8)
	require.NoError(t, err)
}

// Guards against a quarantine that nothing can end but time: its verdict is wrong, and the service
// has nothing else to do. One request is sent with each trial of the hub, and only while another
// target would be left.
func TestAcquire_TrialTestsQuarantine(t *testing.T) {
	f := newFixture(t)
	now := f.clock.Now()
	watcher := newHubWatcher(f.daemon)
	part := quarantine.Suspect{Subject: quarantine.PromptPart(2), Crashes: 3, FirstAt: now.Add(-3 * time.Second), LastAt: now, Until: now.Add(time.Minute)}
	require.NoError(t, watcher.applyResponse(peer.WatchResponse{SuspectsVersion: 3, Suspects: []quarantine.Suspect{part}}, now, nil))
	other := f.newRosterEntry("e-2", "engines", "a", 1)
	other.Silent = true
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1), other)
	acquire := func(id string, attempt int) (admission.Permit, error) {
		return f.selector.Acquire(t.Context(), admission.Request{ID: id, Service: "engines", Prompt: samplePrompt(2, 9), Attempt: attempt})
	}
	requireRefused := func(id string, attempt int) {
		t.Helper()
		var refusal *admission.Refusal
		_, err := acquire(id, attempt)
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, admission.RefusedQuarantined, refusal.Code)
	}
	grant := peer.WatchResponse{Trials: []quarantine.Subject{part.Subject}}
	requireRefused("r-1", 1)
	require.NoError(t, watcher.applyResponse(grant, now, nil))
	requireRefused("r-2", 1)
	require.Empty(t, f.daemon.crashes.observer.TakeRefused(), "no target to spare, so that no trial is asked for")

	other.Silent, other.Sequence = false, 2
	f.applyEntries(other)
	requireRefused("r-3", 2)
	permit, err := acquire("r-4", 1)
	require.NoError(t, err)
	requireRefused("r-5", 1)
	require.Equal(t, []quarantine.Subject{part.Subject}, f.daemon.crashes.observer.TakeRefused())
	require.Empty(t, f.daemon.crashes.observer.TakeReport().Successes)
	f.selector.recordFirstByte(permit, "call", time.Millisecond)
	f.clock.Advance(trialSoundPeriod)
	require.Eventually(t, func() bool { return len(f.daemon.crashes.observer.TakeReport().Successes) == 1 }, 10*time.Second, time.Millisecond, "the response goes on")

	require.NoError(t, watcher.applyResponse(grant, now, nil))
	f.clock.Advance(3 * time.Second)
	requireRefused("r-6", 1)
}
