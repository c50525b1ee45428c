package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
)

// Requests wait for a target that is silent, and none of them has failed. New requests go
// to another target until the silent one responds or nothing waits for it any more. If
// there is no other one, they go there, too.
func TestAcquire_SilentTargetIsAvoidedUntilItResponds(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1), f.newRosterEntry("t-2", "treasury", "b", 1))
	silent, _ := f.acquire(t, "r", "treasury")
	require.Equal(t, "t-1", silent.Target)
	acquired := func(exclude ...string) string {
		permit, refusal := f.acquire(t, "r", "treasury", exclude...)
		require.Nil(t, refusal)
		f.release(permit, admission.OutcomeUnsent)
		return permit.Target
	}
	f.selector.recordSilence(silent)
	require.Equal(t, "t-2", acquired())
	require.Equal(t, "t-1", acquired("t-2"), "the last target")
	f.clock.Advance(silentPeriod / 2)
	f.selector.recordSilence(silent)
	f.clock.Advance(silentPeriod / 2)
	require.Equal(t, "t-2", acquired(), "the request waits on")

	f.selector.recordResponse(silent, target.ResponseHeader{})
	require.Equal(t, "t-2", acquired(), "no response")
	other := silent
	other.Incarnation++
	f.selector.recordResponse(other, target.ResponseHeader{Status: 200})
	require.Equal(t, "t-2", acquired(), "the response of another start")
	isAvoided := func() bool { return f.selector.byName[silent.Target].isAvoided(f.clock.Now()) }
	f.selector.recordResponse(silent, target.ResponseHeader{Status: 200})
	require.False(t, isAvoided(), "it has responded")

	f.selector.recordSilence(silent)
	require.True(t, isAvoided())
	f.clock.Advance(silentPeriod)
	require.False(t, isAvoided(), "nothing waits for it any more")
	f.selector.recordSilence(silent)
	f.release(silent, admission.OutcomeDone)
	require.False(t, isAvoided(), "a response that was silent for a while is complete")
}
