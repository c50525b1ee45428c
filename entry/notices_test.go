package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
)

// A target that says in a response that it is leaving receives no new request from
// this host, whatever the hubs say of it and whether they can be reached. The notice
// ends with the incarnation of the target.
func TestAcquire_TargetLeavingInResponseGetsNoRequests(t *testing.T) {
	f := newFixture(t)
	first, second := f.newRosterEntry("t-1", "treasury", "a", 1), f.newRosterEntry("t-2", "treasury", "b", 1)
	f.applyEntries(first, second)
	permit, _ := f.acquire(t, "r", "treasury")
	require.Equal(t, "t-1", permit.Target)
	f.selector.recordResponse(permit, target.ResponseHeader{Status: 200, Leaving: true})

	check := func(message string) {
		t.Helper()
		for range 20 {
			again, _ := f.acquire(t, "r", "treasury")
			require.Equal(t, "t-2", again.Target, message)
			f.release(again, admission.OutcomeDone)
		}
		_, refusal := f.acquire(t, "r", "treasury", "t-2")
		require.NotNil(t, refusal, "a resend must not go there either: %s", message)
	}
	check("while its first request is in flight")
	f.release(permit, admission.OutcomeDone)
	check("after a success")
	heartbeat := f.newRosterEntry("t-1", "treasury", "a", 2)
	f.applyEntries(heartbeat)
	check("a heartbeat that was sent before does not revoke the notice")
	f.clock.Advance(time.Minute)
	check("out of touch with the hubs")

	// Another target at the same address is not bound, nor is the next start.
	other := f.newRosterEntry("t-3", "treasury", "a", 1)
	other.Address, other.Incarnation = first.Address, 2
	f.applyEntries(other)
	permit, _ = f.acquire(t, "r", "treasury")
	require.Equal(t, "t-3", permit.Target)
	f.release(permit, admission.OutcomeDone)
	restarted := f.newRosterEntry("t-1", "treasury", "a", 1)
	restarted.Incarnation = 3
	f.applyEntries(restarted)
	permit, _ = f.acquire(t, "r", "treasury", "t-2", "t-3")
	require.Equal(t, "t-1", permit.Target)

	// A late response of the former start does not bind the new one.
	late := permit
	late.Incarnation = 1
	f.selector.recordResponse(late, target.ResponseHeader{Status: 200, Leaving: true})
	f.release(permit, admission.OutcomeDone)
	permit, _ = f.acquire(t, "r", "treasury", "t-2", "t-3")
	require.Equal(t, "t-1", permit.Target)
}

// A host that restarts has no notices and uses the target until its next response.
func TestAcquire_NoticesEndWithTheProcess(t *testing.T) {
	f := newFixture(t)
	entry := f.newRosterEntry("t-1", "treasury", "a", 1)
	f.applyEntries(entry)
	permit, _ := f.acquire(t, "r", "treasury")
	f.selector.recordResponse(permit, target.ResponseHeader{Leaving: true})
	_, refusal := f.acquire(t, "r", "treasury")
	require.NotNil(t, refusal)
	f.selector = newTargetSelector(f.daemon)
	f.applyEntries(entry)
	permit, _ = f.acquire(t, "r", "treasury")
	require.Equal(t, "t-1", permit.Target)
}

// A target that refuses a request with a pause receives nothing from this host until
// the pause is over, as the last one of its service too: then callers are refused at
// once, with the time until the first target admits requests again.
func TestAcquire_PausedTargetGetsNoRequestsUntilThePauseIsOver(t *testing.T) {
	const pause, longPause = 2 * time.Second, 5 * time.Second
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1), f.newRosterEntry("t-2", "treasury", "b", 1))
	refuse := func(want string, after time.Duration) {
		t.Helper()
		permit, _ := f.acquire(t, "r", "treasury")
		require.Equal(t, want, permit.Target)
		f.selector.recordResponse(permit, target.ResponseHeader{Status: 503, NotExecuted: true, RetryAfter: after})
		f.release(permit, admission.OutcomeRefused)
	}
	refuse("t-1", longPause)
	for range 10 {
		f.clock.Advance(100 * time.Millisecond)
		permit, _ := f.acquire(t, "r", "treasury")
		require.Equal(t, "t-2", permit.Target)
		f.release(permit, admission.OutcomeDone)
	}
	refuse("t-2", pause)
	for elapsed := time.Duration(0); elapsed < pause; elapsed += 250 * time.Millisecond {
		_, refusal := f.acquire(t, "r", "treasury")
		require.NotNil(t, refusal)
		require.Equal(t, admission.RefusedNoTarget, refusal.Code)
		require.GreaterOrEqual(t, refusal.RetryAfter, pause-elapsed)
		require.LessOrEqual(t, refusal.RetryAfter, 2*pause)
		_, refusal = f.acquire(t, "r", "treasury", "t-1")
		require.NotNil(t, refusal, "a resend")
		f.clock.Advance(250 * time.Millisecond)
	}
	permit, _ := f.acquire(t, "r", "treasury")
	require.Equal(t, "t-2", permit.Target)
	f.release(permit, admission.OutcomeDone)
	f.clock.Advance(longPause)
	permit, _ = f.acquire(t, "r", "treasury")
	require.Equal(t, "t-1", permit.Target)

	// A new start of the target is not bound by the pause of the former one.
	f.selector.recordResponse(permit, target.ResponseHeader{Status: 503, RetryAfter: time.Minute})
	f.release(permit, admission.OutcomeDone)
	restarted := f.newRosterEntry("t-1", "treasury", "a", 1)
	restarted.Incarnation = 2
	f.applyEntries(restarted)
	permit, _ = f.acquire(t, "r", "treasury")
	require.Equal(t, "t-1", permit.Target)
}
