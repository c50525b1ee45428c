package registry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOpenSession_Idempotent(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	require.Equal(t, session, r.mustOpenSession(t, "host-1", "north", 1))
	require.Len(t, r.View().Hosts, 1)
	require.Empty(t, r.View().Closing)
}

// TestOpenSession_NewProcessInheritsNothing: the old process of a host may still be
// running, so its session keeps the service until it is closed.
func TestOpenSession_NewProcessInheritsNothing(t *testing.T) {
	r := newReplica()
	old := r.mustOpenSession(t, "host-1", "north", 1)
	r.applyFleetConfig(t, "op-1", 0, testConfig)
	next := r.mustOpenSession(t, "host-1", "north", 2)
	require.NotEqual(t, old, next)
	view := r.View()
	require.Equal(t, next, view.Hosts["host-1"].Session)
	require.Equal(t, old, view.Closing[old].Session)
	require.Equal(t, old, view.Owners["engines"].Session, "the old lease may still be valid")

	other := r.mustOpenSession(t, "host-2", "south", 3)
	require.Equal(t, old, r.View().Owners["engines"].Session)
	refused := r.applyCommand(t, OpenSession{Host: "host-1", FailureDomain: "north", CanOwn: true, ProcessNonce: 1})
	require.ErrorIs(t, refused.Err(), ErrSuperseded)
	claim := r.applyCommand(t, OpenClaim{Key: testKey, Fingerprint: 1, Session: old, Attempt: 1})
	require.ErrorIs(t, claim.Err(), ErrNoSession, "a closing session gets no new claim")

	r.applyCommand(t, CloseSession{Session: old, Reason: CloseExpired, Term: 1})
	require.Empty(t, r.View().Closing)
	for service, owner := range r.View().Owners {
		require.Contains(t, []uint64{next, other}, owner.Session, service)
	}
}

// TestCloseSession_ExpiryFromAnotherTerm: a leader that proposed an expiry, paused
// and was elected again may have renewed the session in between.
func TestCloseSession_ExpiryFromAnotherTerm(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	r.term = 3
	refused := r.applyCommand(t, CloseSession{Session: session, Reason: CloseExpired, Term: 1})
	require.ErrorIs(t, refused.Err(), ErrWrongTerm)
	require.Contains(t, r.View().Hosts, "host-1")
	require.NoError(t, r.applyCommand(t, CloseSession{Session: session, Reason: CloseExpired, Term: 3}).Err())
	require.NoError(t, r.applyCommand(t, CloseSession{Session: session, Reason: CloseExpired, Term: 3}).Err(), "already closed")
	require.Empty(t, r.View().Hosts)
}

func TestSessions_CountLimit(t *testing.T) {
	r := newReplica()
	for i := range uint64(MaxSessions) {
		r.mustOpenSession(t, "host-1", "north", i+1)
	}
	refused := r.applyCommand(t, OpenSession{Host: "host-2", ProcessNonce: 1})
	require.ErrorIs(t, refused.Err(), ErrFull)
	require.ErrorIs(t, r.applyCommand(t, OpenSession{}).Err(), ErrMalformed)
	require.ErrorIs(t, r.applyCommand(t, CloseSession{Reason: "Bored"}).Err(), ErrMalformed)
}

func TestApply_DuplicateLogEntry(t *testing.T) {
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
