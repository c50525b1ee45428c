package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func viewWithSessions(sessions ...uint64) *View {
	view := emptyView()
	for _, session := range sessions {
		view.Hosts[string(rune('a'+session))] = Host{Session: session}
	}
	return view
}

func TestLeases_ExpireAfterMargin(t *testing.T) {
	leases := NewLeases()
	now := testStart
	require.False(t, leases.Renew(1, now))
	require.Empty(t, leases.Expired(now))
	leases.StartTerm(now)
	leases.SyncSessions(viewWithSessions(1, 2), now)
	now = now.Add(10 * time.Second)
	require.True(t, leases.Renew(1, now))
	require.True(t, leases.Renew(1, now.Add(-time.Second)), "a delayed renewal must not shorten the lease")
	require.Equal(t, []uint64{2}, leases.Expired(now))
	require.False(t, leases.Renew(2, now), "no renewal once the expiry may be in flight")
	require.Equal(t, []uint64{2}, leases.Expired(now), "returned until the session is closed")
	leases.SyncSessions(viewWithSessions(1, 3), now)
	end := now.Add(DefaultLeaseDuration + DefaultMargin)
	require.Empty(t, leases.Expired(end.Add(-1)))
	require.Equal(t, []uint64{1, 3}, leases.Expired(end))
}

func TestLeases_SupersededSessionNotRenewed(t *testing.T) {
	leases := NewLeases(WithLeaseDuration(time.Second), WithMargin(time.Millisecond), WithElectionTimeout(0))
	leases.StartTerm(testStart)
	leases.SyncSessions(viewWithSessions(1), testStart)
	view := viewWithSessions(2)
	view.Closing[1] = Host{Session: 1, Closing: true}
	leases.SyncSessions(view, testStart)
	require.False(t, leases.Renew(1, testStart))
	require.True(t, leases.Renew(2, testStart))
	require.Empty(t, leases.Expired(testStart.Add(time.Second)), "its lease may still be valid")
	require.Equal(t, []uint64{1, 2}, leases.Expired(testStart.Add(time.Second+time.Millisecond)))
}

// TestLeases_NoExpiryDuringValidLease runs two leaders. The former one renews
// leases until it notices the loss of its quorum, at most one election timeout
// after the new one is elected. Renewals are delayed by the network. The new leader
// must not expire a session whose lease is still valid.
func TestLeases_NoExpiryDuringValidLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease, timeout, margin = 3 * time.Second, time.Second, 500 * time.Millisecond
		options := []LeaseOption{WithLeaseDuration(lease), WithElectionTimeout(timeout), WithMargin(margin)}
		old, next := NewLeases(options...), NewLeases(options...)
		now := testStart
		old.StartTerm(now)
		old.SyncSessions(viewWithSessions(1), now)
		now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "first lead")) * time.Millisecond)
		elected := now
		hostEnd := testStart.Add(lease)
		if old.Renew(1, elected) {
			hostEnd = elected.Add(lease)
		}
		next.StartTerm(elected)
		next.SyncSessions(viewWithSessions(1), elected)
		oldMayAnswer := true
		lost := rapid.IntRange(0, 10).Draw(t, "steps until the host is lost")
		for step := range 30 {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "passed")) * time.Millisecond)
			oldMayAnswer = oldMayAnswer && !now.After(elected.Add(timeout))
			sent := now.Add(-time.Duration(rapid.IntRange(0, 800).Draw(t, "way")) * time.Millisecond)
			leader := next
			if oldMayAnswer && rapid.Bool().Draw(t, "at the old leader") {
				leader = old
			}
			if step < lost && rapid.Bool().Draw(t, "renew") && leader.Renew(1, now) && sent.Add(lease).After(hostEnd) {
				hostEnd = sent.Add(lease)
			}
			if len(next.Expired(now)) > 0 {
				require.False(t, now.Before(hostEnd.Add(margin)), "expired %s before the end of the lease", hostEnd.Sub(now))
				require.False(t, next.Renew(1, now))
				return
			}
		}
		require.Equal(t, []uint64{1}, next.Expired(now.Add(lease+margin+timeout)), "the session of a lost host expires eventually")
	})
}
