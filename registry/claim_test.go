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

// TestACrashAtEachStep stops the dispatcher after each step between claim,
// send, answer and record, expires its session, and resends through another
// host before and after.
func TestACrashAtEachStep(t *testing.T) {
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
			session, other := r.open(t, "host-1", "north", 1), r.open(t, "host-2", "south", 2)
			require.True(t, r.do(t, openTestClaim(session, 1)).Granted)
			for _, step := range test.steps {
				require.NoError(t, r.do(t, step(session)).Err())
			}
			claim, _ := r.Claim(testKey)
			require.Equal(t, test.before, claim.State)
			r.do(t, CloseSession{Session: session, Reason: CloseExpired, Term: 1})
			require.False(t, r.do(t, openTestClaim(session, 1)).Granted, "the attempt asks again when its time is over")
			resent := r.do(t, openTestClaim(other, 1))
			if test.after == ClaimCancelled {
				require.True(t, resent.Granted, "a request that was never sent may be tried again")
				return
			}
			require.False(t, resent.Granted)
			require.Equal(t, test.after, resent.Claim.State)
			if test.after == ClaimDone {
				require.Equal(t, testAnswer, resent.Claim.Response, "a resend gets the same whole answer")
			}
		})
	}
}

func TestOneKeyHasOneDispatcher(t *testing.T) {
	r := newReplica()
	session, other := r.open(t, "host-1", "north", 1), r.open(t, "host-2", "south", 2)
	require.True(t, r.do(t, openTestClaim(session, 1)).Granted)
	require.True(t, r.do(t, openTestClaim(session, 1)).Granted, "the same attempt asks again after a lost answer")
	require.False(t, r.do(t, openTestClaim(session, 2)).Granted, "another request in the same host")
	require.False(t, r.do(t, openTestClaim(other, 1)).Granted, "another host")
	conflict := openTestClaim(other, 1)
	conflict.Fingerprint = 98
	require.ErrorIs(t, r.do(t, conflict).Err(), ErrConflict)
	for _, command := range []Command{
		CancelClaim{Key: testKey, Fingerprint: 99, Session: other, Attempt: 1},
		CancelClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: 2},
		FinishClaim{Key: testKey, Session: other, Attempt: 1},
		MarkClaimInDoubt{Key: testKey, Session: session, Attempt: 2},
		SettleClaim{Operation: Operation{ID: "early"}, Key: testKey},
	} {
		require.ErrorIs(t, r.do(t, command).Err(), ErrRefused, "%T", command)
	}
	claim, _ := r.Claim(testKey)
	require.Equal(t, ClaimOpen, claim.State)
	require.ErrorIs(t, r.do(t, openTestClaim(77, 1)).Err(), nil, "the state is told to anyone")
	unknown := ClaimKey{Service: "treasury", Key: "other"}
	require.ErrorIs(t, r.do(t, OpenClaim{Key: unknown, Session: 77}).Err(), ErrNoSession)
	require.ErrorIs(t, r.do(t, FinishClaim{Key: unknown, Session: session}).Err(), ErrUnknown)
	require.ErrorIs(t, r.do(t, OpenClaim{Session: session}).Err(), ErrMalformed)
}

// TestACancelAheadOfItsOpen: the host lost the answer to OpenClaim, said "not
// run", and its OpenClaim is committed after all.
func TestACancelAheadOfItsOpen(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	cancel := CancelClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: 5}
	require.NoError(t, r.do(t, cancel).Err())
	late := r.do(t, openTestClaim(session, 5))
	require.False(t, late.Granted)
	require.Equal(t, ClaimCancelled, late.Claim.State)
	require.True(t, r.do(t, openTestClaim(session, 6)).Granted)
	require.ErrorIs(t, r.do(t, cancel).Err(), ErrRefused, "a late copy must not cancel the next attempt")
}

// TestAPausedDispatcherAfterASettle: its late outcome does not undo the
// operator's verdict; before the verdict it is taken.
func TestAPausedDispatcherAfterASettle(t *testing.T) {
	r := newReplica()
	session, other := r.open(t, "host-1", "north", 1), r.open(t, "host-2", "south", 2)
	r.do(t, openTestClaim(session, 1))
	r.do(t, CloseSession{Session: session, Reason: CloseExpired, Term: 1})
	cancel := r.do(t, CancelClaim{Key: testKey, Fingerprint: 99, Session: session, Attempt: 1})
	require.ErrorIs(t, cancel.Err(), ErrRefused, "in doubt is not cancelled by a session that is closed")
	settle := SettleClaim{Operation: Operation{ID: "settle", Time: testStart}, Key: testKey, Ran: false, Note: "bank says no"}
	require.NoError(t, r.do(t, settle).Err())
	require.NoError(t, r.do(t, settle).Err(), "the same operation gets the same answer")
	settle.Operation.ID = "settle-2"
	require.ErrorIs(t, r.do(t, settle).Err(), ErrRefused)
	late := FinishClaim{Key: testKey, Session: session, Attempt: 1, Response: testAnswer}
	require.ErrorIs(t, r.do(t, late).Err(), ErrRefused)
	require.False(t, r.do(t, openTestClaim(other, 1)).Granted, "a settled claim never runs")
	claim, _ := r.Claim(testKey)
	require.Equal(t, ClaimSettled, claim.State)
	require.Equal(t, "bank says no", claim.Note)

	key := ClaimKey{Service: "treasury", Key: "late"}
	r.do(t, OpenClaim{Key: key, Session: other, Attempt: 2})
	r.do(t, CloseSession{Session: other, Reason: CloseExpired, Term: 1})
	require.NoError(t, r.do(t, FinishClaim{Key: key, Session: other, Attempt: 2, Response: testAnswer}).Err())
	claim, _ = r.Claim(key)
	require.Equal(t, ClaimDone, claim.State, "a late outcome ends the doubt")
}

func TestStoredAnswersAreBounded(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	store := func(i, size int) Response {
		key := ClaimKey{Service: "treasury", Key: fmt.Sprint(i)}
		r.do(t, OpenClaim{Key: key, Session: session, Attempt: uint64(i)})
		r.do(t, FinishClaim{Key: key, Session: session, Attempt: uint64(i), Response: Response{Status: 200, Body: make([]byte, size)}})
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
	require.Equal(t, Response{Status: 200, Truncated: true}, oldest.Response, "the oldest body makes room")
	require.Equal(t, ClaimDone, oldest.State)
	next, _ := r.Claim(ClaimKey{Service: "treasury", Key: "3"})
	require.Len(t, next.Response.Body, MaxResponseBytes)
}

func TestClaimsAreBounded(t *testing.T) {
	r := newReplica()
	r.state.claims.limit = 2
	session := r.open(t, "host-1", "north", 1)
	for i := range 2 {
		r.do(t, OpenClaim{Key: ClaimKey{Service: "treasury", Key: fmt.Sprint(i)}, Session: session, Attempt: 1})
	}
	require.ErrorIs(t, r.do(t, openTestClaim(session, 2)).Err(), ErrFull)
	require.NoError(t, r.do(t, CancelClaim{Key: testKey, Session: session, Attempt: 2}).Err(), "it cannot have run")
	require.Len(t, r.Claims(ClaimFilter{}), 2)
}

// TestOnlyTheSameRequestSeesTheAnswer: a refusal and a conflict leave it out.
func TestOnlyTheSameRequestSeesTheAnswer(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	r.do(t, openTestClaim(session, 1))
	r.do(t, FinishClaim{Key: testKey, Session: session, Attempt: 1, Response: testAnswer})
	other := openTestClaim(session, 2)
	other.Fingerprint++
	require.Empty(t, r.do(t, other).Claim.Response)
	settle := r.do(t, SettleClaim{Operation: Operation{ID: "s"}, Key: testKey})
	require.ErrorIs(t, settle.Err(), ErrRefused)
	require.Empty(t, settle.Claim.Response, "what operators' answers hold is kept for long")
	require.Equal(t, testAnswer, r.do(t, openTestClaim(session, 3)).Claim.Response)
}

func TestRetention(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	states := []ClaimState{ClaimOpen, ClaimDone, ClaimInDoubt, ClaimCancelled, ClaimSettled}
	key := func(state ClaimState) ClaimKey { return ClaimKey{Service: "treasury", Key: string(state)} }
	for i, state := range states {
		attempt := uint64(i + 1)
		r.do(t, OpenClaim{Key: key(state), Session: session, Attempt: attempt, Time: testStart})
		switch state {
		case ClaimDone:
			r.do(t, FinishClaim{Key: key(state), Session: session, Attempt: attempt, Response: testAnswer})
		case ClaimCancelled:
			r.do(t, CancelClaim{Key: key(state), Session: session, Attempt: attempt})
		case ClaimInDoubt, ClaimSettled:
			r.do(t, MarkClaimInDoubt{Key: key(state), Session: session, Attempt: attempt})
		}
	}
	r.do(t, SettleClaim{Operation: Operation{ID: "s"}, Key: key(ClaimSettled), Ran: true})
	slow := ClaimKey{Service: "treasury", Key: "slow"}
	r.do(t, OpenClaim{Key: slow, Session: session, Attempt: 9, Time: testStart.Add(time.Hour)})
	r.do(t, FinishClaim{Key: slow, Session: session, Attempt: 9, Time: testStart.Add(-48 * time.Hour)})
	require.Zero(t, r.do(t, ExpireClaims{Before: testStart}).Count, "a slow clock shortens no retention")
	require.Equal(t, uint64(3), r.do(t, ExpireClaims{Before: testStart.Add(time.Minute)}).Count)
	require.Zero(t, r.state.claims.storedBytes)
	require.Empty(t, r.state.claims.stored)
	require.Len(t, r.Claims(ClaimFilter{State: ClaimOpen}), 1)
	require.Len(t, r.Claims(ClaimFilter{State: ClaimInDoubt}), 1)
	require.Len(t, r.Claims(ClaimFilter{Service: "treasury", Limit: 2}), 2)
	require.Empty(t, r.Claims(ClaimFilter{Workspace: "none"}))

	// A clock that was years ahead once does not keep claims for years.
	far := ClaimKey{Service: "treasury", Key: "far"}
	r.do(t, OpenClaim{Key: far, Session: session, Attempt: 10, Time: testStart.AddDate(80, 0, 0)})
	r.do(t, FinishClaim{Key: far, Session: session, Attempt: 10})
	now := testStart.Add(2 * time.Hour)
	require.Equal(t, uint64(1), r.do(t, ExpireClaims{Now: now, Before: now.Add(-time.Minute)}).Count)
	require.Equal(t, uint64(1), r.do(t, ExpireClaims{Now: now.Add(time.Hour), Before: now.Add(time.Minute)}).Count)
	_, exists := r.Claim(far)
	require.False(t, exists)
}

// claimWorld runs well-behaved hosts against the machine: lost answers, late
// copies of commands, expired sessions, operators, snapshots.
type claimWorld struct {
	*replica
	sessions []uint64
	attempts uint64
	history  [][]byte
	// granted holds the attempts that may send; sent counts by key.
	granted map[uint64]OpenClaim
	sent    map[ClaimKey]int
	settled map[ClaimKey]bool
	// notRun are the attempts that were told to their callers as not run.
	notRun map[uint64]bool
}

func (w *claimWorld) send(t *rapid.T, command Command) Result {
	w.history = append(w.history, EncodeCommand(command))
	return w.do(t, command)
}

func (w *claimWorld) open(t *rapid.T) {
	w.attempts++
	w.ask(t, OpenClaim{
		Key:         ClaimKey{Service: "treasury", Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")},
		Fingerprint: rapid.Uint64Range(1, 2).Draw(t, "fingerprint"),
		Session:     rapid.SampledFrom(w.sessions).Draw(t, "session"),
		Attempt:     w.attempts,
	})
}

// ask proposes the claim; the host may lose the answer and ask again.
func (w *claimWorld) ask(t *rapid.T, command OpenClaim) {
	result := w.send(t, command)
	require.False(t, result.Granted && w.settled[command.Key], "a settled claim never runs")
	require.False(t, result.Granted && w.notRun[command.Attempt], "what was told as not run never runs")
	switch rapid.IntRange(0, 3).Draw(t, "answer") {
	case 0:
		w.ask(t, command)
	case 1:
		w.cancel(t, command)
	default:
		if result.Granted {
			w.granted[command.Attempt] = command
		}
	}
}

func (w *claimWorld) cancel(t *rapid.T, command OpenClaim) {
	result := w.send(t, CancelClaim{Key: command.Key, Fingerprint: command.Fingerprint, Session: command.Session, Attempt: command.Attempt})
	if result.Code == CodeOK && result.Claim.State == ClaimCancelled {
		w.notRun[command.Attempt] = true
	}
}

// dispatch takes a granted attempt one step on. It is sent only while the
// session is there, as the lease check makes sure.
func (w *claimWorld) dispatch(t *rapid.T) {
	if len(w.granted) == 0 {
		return
	}
	attempt := rapid.SampledFrom(sortedKeys(w.granted)).Draw(t, "attempt")
	command := w.granted[attempt]
	delete(w.granted, attempt)
	if _, live := w.Session(command.Session); !live || rapid.IntRange(0, 4).Draw(t, "give up") == 0 {
		w.cancel(t, command)
		return
	}
	w.sent[command.Key]++
	require.Equal(t, 1, w.sent[command.Key], "%v ran twice", command.Key)
	switch rapid.IntRange(0, 2).Draw(t, "outcome") {
	case 0:
		w.send(t, FinishClaim{Key: command.Key, Session: command.Session, Attempt: attempt, Response: testAnswer})
	case 1:
		w.send(t, MarkClaimInDoubt{Key: command.Key, Session: command.Session, Attempt: attempt})
	}
}

func (w *claimWorld) settle(t *rapid.T) {
	key := ClaimKey{Service: "treasury", Key: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key")}
	id := fmt.Sprint("settle-", rapid.IntRange(0, 9).Draw(t, "operation"))
	if w.send(t, SettleClaim{Operation: Operation{ID: id}, Key: key, Ran: rapid.Bool().Draw(t, "ran")}).Code == CodeOK {
		w.settled[key] = true
	}
}

func TestClaimsRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &claimWorld{replica: newReplica(), granted: map[uint64]OpenClaim{}, sent: map[ClaimKey]int{}, settled: map[ClaimKey]bool{}, notRun: map[uint64]bool{}}
		for i := range 3 {
			w.sessions = append(w.sessions, w.replica.open(t, fmt.Sprint("host-", i), "north", 1))
		}
		for range rapid.IntRange(5, 50).Draw(t, "steps") {
			switch action := rapid.IntRange(0, 11).Draw(t, "action"); {
			case action < 4:
				w.open(t)
			case action < 8:
				w.dispatch(t)
			case action < 9 && len(w.history) > 0:
				w.index++
				w.Apply(w.index, w.term, rapid.SampledFrom(w.history).Draw(t, "late copy"))
			case action < 10:
				w.settle(t)
			case action < 11:
				i := rapid.IntRange(0, 2).Draw(t, "expired")
				w.send(t, CloseSession{Session: w.sessions[i], Reason: CloseExpired, Term: w.term})
				w.sessions[i] = w.replica.open(t, fmt.Sprint("host-", i), "north", uint64(w.index))
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

// A leader whose clock is days ahead must not forget a payment that just ran: its
// key would be granted again.
func TestClockAheadForgetsNoClaimEarly(t *testing.T) {
	r := newReplica()
	session := r.open(t, "host-1", "north", 1)
	key := ClaimKey{"w", "Treasury", "order-1"}
	require.True(t, r.do(t, OpenClaim{Key: key, Fingerprint: 1, Session: session, Attempt: 1, Time: testStart}).Granted)
	require.NoError(t, r.do(t, FinishClaim{Key: key, Session: session, Attempt: 1, Time: testStart}).Err())

	ahead := testStart.Add(8 * 24 * time.Hour)
	const sweeps = 3
	for range sweeps {
		require.Zero(t, r.do(t, ExpireClaims{Now: ahead, Before: ahead.Add(-time.Hour), MinSweeps: sweeps}).Count)
	}
	resent := r.do(t, OpenClaim{Key: key, Fingerprint: 1, Session: session, Attempt: 2, Time: testStart})
	require.False(t, resent.Granted)
	require.Equal(t, ClaimDone, resent.Claim.State)
	require.Equal(t, uint64(1), r.do(t, ExpireClaims{Now: ahead, Before: ahead.Add(-time.Hour), MinSweeps: sweeps}).Count)
}
