package registry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestARepeatedOpenGivesTheSameSession(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	require.Equal(t, session, r.open(t, "host-1", "north", 1))
	require.Len(t, r.View().Hosts, 1)
	require.Empty(t, r.View().Closing)
}

// TestANewProcessInheritsNothing: the old process of the host may be alive, so
// the service stays with its session until that is closed.
func TestANewProcessInheritsNothing(t *testing.T) {
	r := newReplica()
	old := r.open(t, "host-1", "north", 1)
	r.applyText(t, "op-1", 0, testText)
	next := r.open(t, "host-1", "north", 2)
	require.NotEqual(t, old, next)
	view := r.View()
	require.Equal(t, next, view.Hosts["host-1"].Session)
	require.Equal(t, old, view.Closing[old].Session)
	require.Equal(t, old, view.Owners["engines"].Session, "the old lease may be live")

	other := r.open(t, "host-2", "south", 3)
	require.Equal(t, old, r.View().Owners["engines"].Session)
	refused := r.do(t, OpenSession{Host: "host-1", FailureDomain: "north", CanOwn: true, ProcessNonce: 1})
	require.ErrorIs(t, refused.Err(), ErrSuperseded)
	claim := r.do(t, OpenClaim{Key: testKey, Fingerprint: 1, Session: old, Attempt: 1})
	require.ErrorIs(t, claim.Err(), ErrNoSession, "a closing session gets no new claim")

	r.do(t, CloseSession{Session: old, Reason: CloseExpired, Term: 1})
	require.Empty(t, r.View().Closing)
	for service, owner := range r.View().Owners {
		require.Contains(t, []uint64{next, other}, owner.Session, service)
	}
}

// TestAnExpiryOfAnotherTermHasNoEffect: a leader that decided, paused and was
// elected again may have renewed the session in between.
func TestAnExpiryOfAnotherTermHasNoEffect(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	r.term = 3
	refused := r.do(t, CloseSession{Session: session, Reason: CloseExpired, Term: 1})
	require.ErrorIs(t, refused.Err(), ErrWrongTerm)
	require.Contains(t, r.View().Hosts, "host-1")
	require.NoError(t, r.do(t, CloseSession{Session: session, Reason: CloseExpired, Term: 3}).Err())
	require.NoError(t, r.do(t, CloseSession{Session: session, Reason: CloseExpired, Term: 3}).Err(), "closed before")
	require.Empty(t, r.View().Hosts)
}

func TestSessionsAreBounded(t *testing.T) {
	r := newReplica()
	for i := range uint64(MaxSessions) {
		r.open(t, "host-1", "north", i+1)
	}
	refused := r.do(t, OpenSession{Host: "host-2", ProcessNonce: 1})
	require.ErrorIs(t, refused.Err(), ErrFull)
	require.ErrorIs(t, r.do(t, OpenSession{}).Err(), ErrMalformed)
	require.ErrorIs(t, r.do(t, CloseSession{Reason: "Bored"}).Err(), ErrMalformed)
}

func TestAnEntryThatTheStateHoldsHasNoEffect(t *testing.T) {
	r := newReplica()
	command := EncodeCommand(OpenSession{Host: "host-1", ProcessNonce: 1})
	r.Apply(7, 1, command)
	result, err := DecodeResult(r.Apply(7, 1, EncodeCommand(OpenSession{Host: "host-2", ProcessNonce: 1})))
	require.NoError(t, err)
	require.ErrorIs(t, result.Err(), ErrStale)
	require.NotContains(t, r.View().Hosts, "host-2")
	result, err = DecodeResult(r.Apply(8, 1, []byte{0xff}))
	require.NoError(t, err)
	require.ErrorIs(t, result.Err(), ErrMalformed)
}
