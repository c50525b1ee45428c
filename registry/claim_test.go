package registry

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testKey = ClaimKey{Workspace: "rabat", Service: "treasury", Key: "payment-17"}

var testAnswer = Response{Status: 200, ContentType: "application/json", Body: []byte(`{"Protocol": 4711}`)}

func openTestClaim(session, attempt uint64) OpenClaim {
	return OpenClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: attempt, Time: testStart}
}

// TestClaim_DispatcherCrashAtEachStep stops the dispatcher after each step between
// claiming, sending, receiving and recording the response, and expires its
// session. A request that may have run must not be granted again, neither to the
// same attempt nor to another host.
func TestClaim_DispatcherCrashAtEachStep(t *testing.T) {
	finish := func(session uint64) Command {
		return FinishClaim{Key: testKey, Session: session, Attempt: 1, Response: testAnswer, Time: testStart}
	}
	tests := []struct {
		name          string
		steps         []func(session uint64) Command
		before, after ClaimState
	}{
		{"claimed, not sent or sent", nil, ClaimOpen, ClaimInDoubt},
		{"never sent and cancelled", []func(uint64) Command{func(session uint64) Command {
			return CancelClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: 1}
		}}, ClaimCancelled, ClaimCancelled},
		{"answer lost", []func(uint64) Command{func(session uint64) Command {
			return MarkClaimInDoubt{Key: testKey, Session: session, Attempt: 1}
		}}, ClaimInDoubt, ClaimInDoubt},
		{"answered and recorded", []func(uint64) Command{finish}, ClaimDone, ClaimDone},
		{"recorded twice", []func(uint64) Command{finish, finish}, ClaimDone, ClaimDone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newReplica()
			session, other := r.mustOpenSession(t, "host-1", "north", 1), r.mustOpenSession(t, "host-2", "south", 2)
			require.True(t, r.applyCommand(t, openTestClaim(session, 1)).Granted)
			for _, step := range test.steps {
				require.NoError(t, r.applyCommand(t, step(session)).Err())
			}
			claim, _ := r.Claim(testKey)
			require.Equal(t, test.before, claim.State)
			r.applyCommand(t, CloseSession{Session: session, Reason: CloseExpired, Term: 1})
			require.False(t, r.applyCommand(t, openTestClaim(session, 1)).Granted, "an attempt of a closed session is not granted again")
			resent := r.applyCommand(t, openTestClaim(other, 1))
			if test.after == ClaimCancelled {
				require.True(t, resent.Granted, "a request that was never sent may be retried")
				return
			}
			require.False(t, resent.Granted)
			require.Equal(t, test.after, resent.Claim.State)
			if test.after == ClaimDone {
				require.Equal(t, testAnswer, resent.Claim.Response, "a retry gets the stored response")
			}
		})
	}
}

func TestClaim_SingleDispatcherPerKey(t *testing.T) {
	r := newReplica()
	session, other := r.mustOpenSession(t, "host-1", "north", 1), r.mustOpenSession(t, "host-2", "south", 2)
	require.True(t, r.applyCommand(t, openTestClaim(session, 1)).Granted)
	require.True(t, r.applyCommand(t, openTestClaim(session, 1)).Granted, "the same attempt retries after a lost response")
	require.False(t, r.applyCommand(t, openTestClaim(session, 2)).Granted, "another attempt of the same host")
	require.False(t, r.applyCommand(t, openTestClaim(other, 1)).Granted, "another host")
	conflict := openTestClaim(other, 1)
	conflict.Fingerprint = 98
	require.ErrorIs(t, r.applyCommand(t, conflict).Err(), ErrConflict)
	for _, command := range []Command{
		CancelClaim{Key: testKey, Fingerprint: 99, Session: other, Attempt: 1},
		CancelClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: 2},
		FinishClaim{Key: testKey, Session: other, Attempt: 1},
		MarkClaimInDoubt{Key: testKey, Session: session, Attempt: 2},
		SettleClaim{Operation: Operation{ID: "early"}, Key: testKey},
	} {
		require.ErrorIs(t, r.applyCommand(t, command).Err(), ErrRefused, "%T", command)
	}
	claim, _ := r.Claim(testKey)
	require.Equal(t, ClaimOpen, claim.State)
	require.ErrorIs(t, r.applyCommand(t, openTestClaim(77, 1)).Err(), nil, "an unknown session may read the state of an existing claim")
	unknown := ClaimKey{Service: "treasury", Key: "other"}
	require.ErrorIs(t, r.applyCommand(t, OpenClaim{Key: unknown, Session: 77}).Err(), ErrNoSession)
	require.ErrorIs(t, r.applyCommand(t, FinishClaim{Key: unknown, Session: session}).Err(), ErrUnknown)
	require.ErrorIs(t, r.applyCommand(t, OpenClaim{Session: session}).Err(), ErrMalformed)
}

// TestCancelClaim_CommittedBeforeOpen: a host lost the response to OpenClaim and
// reported the request as not run, but its OpenClaim is committed later. The
// OpenClaim must not be granted.
func TestCancelClaim_CommittedBeforeOpen(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	cancel := CancelClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: 5}
	require.NoError(t, r.applyCommand(t, cancel).Err())
	late := r.applyCommand(t, openTestClaim(session, 5))
	require.False(t, late.Granted)
	require.Equal(t, ClaimCancelled, late.Claim.State)
	require.True(t, r.applyCommand(t, openTestClaim(session, 6)).Granted)
	require.ErrorIs(t, r.applyCommand(t, cancel).Err(), ErrRefused, "a delayed duplicate must not cancel the next attempt")
}

// TestSettleClaim_LateOutcomeRejected: the late outcome of a paused dispatcher is
// accepted while the claim is in doubt, but must not override the decision of an
// operator.
func TestSettleClaim_LateOutcomeRejected(t *testing.T) {
	r := newReplica()
	session, other := r.mustOpenSession(t, "host-1", "north", 1), r.mustOpenSession(t, "host-2", "south", 2)
	r.applyCommand(t, openTestClaim(session, 1))
	r.applyCommand(t, CloseSession{Session: session, Reason: CloseExpired, Term: 1})
	cancel := r.applyCommand(t, CancelClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: 1})
	require.ErrorIs(t, cancel.Err(), ErrRefused, "a closed session cannot cancel a claim in doubt")
	settle := SettleClaim{Operation: Operation{ID: "settle", Time: testStart}, Key: testKey, Ran: false, Note: "bank says no"}
	require.NoError(t, r.applyCommand(t, settle).Err())
	require.NoError(t, r.applyCommand(t, settle).Err(), "the same operation gets the same result")
	settle.Operation.ID = "settle-2"
	require.ErrorIs(t, r.applyCommand(t, settle).Err(), ErrRefused)
	late := FinishClaim{Key: testKey, Session: session, Attempt: 1, Response: testAnswer}
	require.ErrorIs(t, r.applyCommand(t, late).Err(), ErrRefused)
	require.False(t, r.applyCommand(t, openTestClaim(other, 1)).Granted, "a settled claim never runs")
	claim, _ := r.Claim(testKey)
	require.Equal(t, ClaimSettled, claim.State)
	require.Equal(t, "bank says no", claim.Note)

	key := ClaimKey{Service: "treasury", Key: "late"}
	r.applyCommand(t, OpenClaim{Key: key, Session: other, Attempt: 2})
	r.applyCommand(t, CloseSession{Session: other, Reason: CloseExpired, Term: 1})
	require.NoError(t, r.applyCommand(t, FinishClaim{Key: key, Session: other, Attempt: 2, Response: testAnswer}).Err())
	claim, _ = r.Claim(key)
	require.Equal(t, ClaimDone, claim.State, "a late outcome resolves the doubt")
}

func TestStoredResponses_SizeLimit(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	store := func(i, size int) Response {
		key := ClaimKey{Service: "treasury", Key: fmt.Sprint(i)}
		r.applyCommand(t, OpenClaim{Key: key, Session: session, Attempt: uint64(i)})
		r.applyCommand(t, FinishClaim{Key: key, Session: session, Attempt: uint64(i), Response: Response{Status: 200, Body: make([]byte, size)}})
		claim, _ := r.Claim(key)
		return claim.Response
	}
	require.Equal(t, Response{Status: 200, Truncated: true}, store(1, MaxResponseBytes+1))
	kept := MaxStoredResponseBytes / MaxResponseBytes
	for i := range kept {
		require.Len(t, store(i+2, MaxResponseBytes).Body, MaxResponseBytes)
	}
	oldest, _ := r.Claim(ClaimKey{Service: "treasury", Key: "2"})
	require.Len(t, oldest.Response.Body, MaxResponseBytes)
	r.restart(t)
	store(kept+2, 1)
	oldest, _ = r.Claim(ClaimKey{Service: "treasury", Key: "2"})
	require.Equal(t, Response{Status: 200, Truncated: true}, oldest.Response, "the oldest body is dropped")
	require.Equal(t, ClaimDone, oldest.State)
	next, _ := r.Claim(ClaimKey{Service: "treasury", Key: "3"})
	require.Len(t, next.Response.Body, MaxResponseBytes)
}

func TestClaims_CountLimit(t *testing.T) {
	r := newReplica()
	r.state.claims.maxClaims = 2
	session := r.mustOpenSession(t, "host-1", "north", 1)
	for i := range 2 {
		r.applyCommand(t, OpenClaim{Key: ClaimKey{Service: "treasury", Key: fmt.Sprint(i)}, Session: session, Attempt: 1})
	}
	require.ErrorIs(t, r.applyCommand(t, openTestClaim(session, 2)).Err(), ErrFull)
	require.NoError(t, r.applyCommand(t, CancelClaim{Key: testKey, Session: session, Attempt: 2}).Err(), "the request cannot have run")
	require.Len(t, r.Claims(ClaimFilter{}), 2)
}

// TestClaim_ResponseHiddenFromOtherRequests checks that results of a conflict or
// refusal do not contain the stored response.
func TestClaim_ResponseHiddenFromOtherRequests(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	r.applyCommand(t, openTestClaim(session, 1))
	r.applyCommand(t, FinishClaim{Key: testKey, Session: session, Attempt: 1, Response: testAnswer})
	other := openTestClaim(session, 2)
	other.Fingerprint++
	require.Empty(t, r.applyCommand(t, other).Claim.Response)
	settle := r.applyCommand(t, SettleClaim{Operation: Operation{ID: "s"}, Key: testKey})
	require.ErrorIs(t, settle.Err(), ErrRefused)
	require.Empty(t, settle.Claim.Response, "the results of operator commands are retained, so they must not contain responses")
	require.Equal(t, testAnswer, r.applyCommand(t, openTestClaim(session, 3)).Claim.Response)
}

func TestExpireClaims_Retention(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	states := []ClaimState{ClaimOpen, ClaimDone, ClaimInDoubt, ClaimCancelled, ClaimSettled}
	key := func(state ClaimState) ClaimKey { return ClaimKey{Service: "treasury", Key: string(state)} }
	for i, state := range states {
		attempt := uint64(i + 1)
		r.applyCommand(t, OpenClaim{Key: key(state), Session: session, Attempt: attempt, Time: testStart})
		switch state {
		case ClaimDone:
			r.applyCommand(t, FinishClaim{Key: key(state), Session: session, Attempt: attempt, Response: testAnswer})
		case ClaimCancelled:
			r.applyCommand(t, CancelClaim{Key: key(state), Session: session, Attempt: attempt})
		case ClaimInDoubt, ClaimSettled:
			r.applyCommand(t, MarkClaimInDoubt{Key: key(state), Session: session, Attempt: attempt})
		}
	}
	r.applyCommand(t, SettleClaim{Operation: Operation{ID: "s"}, Key: key(ClaimSettled), Ran: true})
	slow := ClaimKey{Service: "treasury", Key: "slow"}
	r.applyCommand(t, OpenClaim{Key: slow, Session: session, Attempt: 9, Time: testStart.Add(time.Hour)})
	r.applyCommand(t, FinishClaim{Key: slow, Session: session, Attempt: 9, Time: testStart.Add(-48 * time.Hour)})
	require.Zero(t, r.applyCommand(t, ExpireClaims{Before: testStart}).Count, "a slow clock must not shorten the retention")
	require.Equal(t, uint64(3), r.applyCommand(t, ExpireClaims{Before: testStart.Add(time.Minute)}).Count)
	require.Zero(t, r.state.claims.storedResponseBytes)
	require.Empty(t, r.state.claims.storedResponses)
	require.Len(t, r.Claims(ClaimFilter{State: ClaimOpen}), 1)
	require.Len(t, r.Claims(ClaimFilter{State: ClaimInDoubt}), 1)
	require.Len(t, r.Claims(ClaimFilter{Service: "treasury", Limit: 2}), 2)
	require.Empty(t, r.Claims(ClaimFilter{Workspace: "none"}))

	// A clock that was temporarily years ahead must not retain claims for years.
	far := ClaimKey{Service: "treasury", Key: "far"}
	r.applyCommand(t, OpenClaim{Key: far, Session: session, Attempt: 10, Time: testStart.AddDate(80, 0, 0)})
	r.applyCommand(t, FinishClaim{Key: far, Session: session, Attempt: 10})
	now := testStart.Add(2 * time.Hour)
	require.Equal(t, uint64(1), r.applyCommand(t, ExpireClaims{Now: now, Before: now.Add(-time.Minute)}).Count)
	require.Equal(t, uint64(1), r.applyCommand(t, ExpireClaims{Now: now.Add(time.Hour), Before: now.Add(time.Minute)}).Count)
	_, exists := r.Claim(far)
	require.False(t, exists)
}

// claimSimulation runs correct hosts against the state machine with lost responses,
// delayed duplicates of commands, expired sessions, operators and snapshots.
type claimSimulation struct {
	*replica
	sessions     []uint64
	attempts     uint64
	sentCommands [][]byte
	// grantedAttempts holds the attempts that may send their request.
	// dispatchCounts holds the number of requests sent for each key.
	grantedAttempts map[uint64]OpenClaim
	dispatchCounts  map[ClaimKey]int
	settledKeys     map[ClaimKey]bool
	// cancelledAttempts holds the attempts that were reported to callers as not run.
	cancelledAttempts map[uint64]bool
}

func (w *claimSimulation) propose(t *rapid.T, command Command) Result {
	w.sentCommands = append(w.sentCommands, EncodeCommand(command))
	return w.applyCommand(t, command)
}

func (w *claimSimulation) proposeNewClaim(t *rapid.T) {
	w.attempts++
	w.proposeClaim(t, OpenClaim{
		Key:         ClaimKey{Service: "treasury", Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")},
		Fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint"),
		Session:     rapid.SampledFrom(w.sessions).Draw(t, "session"),
		Attempt:     w.attempts,
	})
}

// proposeClaim proposes the claim. The host may lose the response and retry or
// cancel.
func (w *claimSimulation) proposeClaim(t *rapid.T, command OpenClaim) {
	result := w.propose(t, command)
	require.False(t, result.Granted && w.settledKeys[command.Key], "a settled claim never runs")
	require.False(t, result.Granted && w.cancelledAttempts[command.Attempt], "an attempt reported as not run never runs")
	switch rapid.IntRange(0, 3).Draw(t, "answer") {
	case 0:
		w.proposeClaim(t, command)
	case 1:
		w.cancel(t, command)
	default:
		if result.Granted {
			w.grantedAttempts[command.Attempt] = command
		}
	}
}

func (w *claimSimulation) cancel(t *rapid.T, command OpenClaim) {
	result := w.propose(t, CancelClaim{Key: command.Key, Fingerprint: command.Fingerprint, Session: command.Session, Attempt: command.Attempt})
	if result.Code == CodeOK && result.Claim.State == ClaimCancelled {
		w.cancelledAttempts[command.Attempt] = true
	}
}

// advanceAttempt sends or cancels a granted attempt. It is sent only while its
// session exists, which a real host ensures with the lease check.
func (w *claimSimulation) advanceAttempt(t *rapid.T) {
	if len(w.grantedAttempts) == 0 {
		return
	}
	attempt := rapid.SampledFrom(sortedKeys(w.grantedAttempts)).Draw(t, "attempt")
	command := w.grantedAttempts[attempt]
	delete(w.grantedAttempts, attempt)
	if _, live := w.Session(command.Session); !live || rapid.IntRange(0, 4).Draw(t, "give up") == 0 {
		w.cancel(t, command)
		return
	}
	w.dispatchCounts[command.Key]++
	require.Equal(t, 1, w.dispatchCounts[command.Key], "%v ran twice", command.Key)
	switch rapid.IntRange(0, 2).Draw(t, "outcome") {
	case 0:
		w.propose(t, FinishClaim{Key: command.Key, Session: command.Session, Attempt: attempt, Response: testAnswer})
	case 1:
		w.propose(t, MarkClaimInDoubt{Key: command.Key, Session: command.Session, Attempt: attempt})
	}
}

func (w *claimSimulation) settle(t *rapid.T) {
	key := ClaimKey{Service: "treasury", Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")}
	id := fmt.Sprint("settle-", rapid.IntRange(0, 9).Draw(t, "operation"))
	if w.propose(t, SettleClaim{Operation: Operation{ID: id}, Key: key, Ran: rapid.Bool().Draw(t, "ran")}).Code == CodeOK {
		w.settledKeys[key] = true
	}
}

func TestClaims_AtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimSimulation{replica: newReplica(), grantedAttempts: map[uint64]OpenClaim{}, dispatchCounts: map[ClaimKey]int{}, settledKeys: map[ClaimKey]bool{}, cancelledAttempts: map[uint64]bool{}}
		for i := range 3 {
			w.sessions = append(w.sessions, w.replica.mustOpenSession(t, fmt.Sprint("host-", i), "north", 1))
		}
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 11).Draw(t, "action"); {
			case action < 4:
				w.proposeNewClaim(t)
			case action < 8:
				w.advanceAttempt(t)
			case action < 9 && len(w.sentCommands) > 0:
				w.index++
				w.Apply(w.index, w.term, rapid.SampledFrom(w.sentCommands).Draw(t, "late copy"))
			case action < 10:
				w.settle(t)
			case action < 11:
				i := rapid.IntRange(0, 2).Draw(t, "expired")
				w.propose(t, CloseSession{Session: w.sessions[i], Reason: CloseExpired, Term: w.term})
				w.sessions[i] = w.replica.mustOpenSession(t, fmt.Sprint("host-", i), "north", uint64(w.index))
			default:
				snapshot, err := w.Snapshot()
				require.NoError(t, err)
				w.Machine = NewMachine()
				require.NoError(t, w.Restore(snapshot))
				again, err := w.Snapshot()
				require.NoError(t, err)
				require.True(t, bytes.Equal(snapshot, again))
			}
		}
	})
}

// A leader whose clock is days ahead must not remove the claim of a recent payment,
// since its key would be granted again.
func TestExpireClaims_ClockAhead(t *testing.T) {
	r := newReplica()
	session := r.mustOpenSession(t, "host-1", "north", 1)
	key := ClaimKey{"w", "Treasury", "order-1"}
	require.True(t, r.applyCommand(t, OpenClaim{Key: key, Fingerprint: 1, Session: session, Attempt: 1, Time: testStart}).Granted)
	require.NoError(t, r.applyCommand(t, FinishClaim{Key: key, Session: session, Attempt: 1, Time: testStart}).Err())

	ahead := testStart.Add(8 * 24 * time.Hour)
	const sweeps = 3
	for range sweeps {
		require.Zero(t, r.applyCommand(t, ExpireClaims{Now: ahead, Before: ahead.Add(-time.Hour), MinSweeps: sweeps}).Count)
	}
	resent := r.applyCommand(t, OpenClaim{Key: key, Fingerprint: 1, Session: session, Attempt: 2, Time: testStart})
	require.False(t, resent.Granted)
	require.Equal(t, ClaimDone, resent.Claim.State)
	require.Equal(t, uint64(1), r.applyCommand(t, ExpireClaims{Now: ahead, Before: ahead.Add(-time.Hour), MinSweeps: sweeps}).Count)
}
