package registry

import "fmt"

// openClaim grants a claim to one attempt, or returns the state of the existing
// claim.
func (s *state) openClaim(sequence uint64, command OpenClaim) Result {
	if !command.Key.isValid() {
		return refuse(CodeMalformed, "a claim needs a service and a key of bounded length")
	}
	now := s.advanceClock(command.Time)
	if existing := s.claims.byKey[command.Key]; existing != nil {
		if result, final := s.resolveExistingClaim(existing, command); final {
			return result
		}
	} else if s.claims.isFull() {
		return refuse(CodeFull, "too many claims")
	}
	if !s.isSessionOpen(command.Session) {
		return refuse(CodeNoSession, fmt.Sprintf("session %d", command.Session))
	}
	claim := &Claim{
		ClaimKey:    command.Key,
		State:       ClaimOpen,
		Fingerprint: command.Fingerprint,
		Sequence:    sequence,
		Dispatcher:  command.Session,
		Attempt:     command.Attempt,
		Opened:      now,
		Changed:     now,
	}
	s.claims.put(claim)
	return Result{Code: CodeOK, Claim: *claim, Granted: true}
}

// resolveExistingClaim returns the result of an OpenClaim for an existing claim.
// It sets final to false when the attempt may open the claim again.
func (s *state) resolveExistingClaim(existing *Claim, command OpenClaim) (result Result, final bool) {
	if existing.Fingerprint != command.Fingerprint {
		claim := *existing
		claim.Response = Response{}
		return Result{Code: CodeConflict, Detail: "the key was used with another request", Claim: claim}, true
	}
	if existing.State == ClaimCancelled {
		repeated := existing.Dispatcher == command.Session && command.Attempt <= existing.Attempt
		return Result{Code: CodeOK, Claim: *existing}, repeated
	}
	granted := existing.State == ClaimOpen && existing.isDispatchedBy(command.Session, command.Attempt)
	return Result{Code: CodeOK, Claim: *existing, Granted: granted}, true
}

// finishClaim records the response. It is accepted from the dispatcher while the
// claim is open, and still accepted while the claim is in doubt.
func (s *state) finishClaim(sequence uint64, command FinishClaim) Result {
	claim, result := s.claimOfDispatcher(command.Key, command.Session, command.Attempt)
	if claim == nil {
		return result
	}
	switch claim.State {
	case ClaimDone:
		return Result{Code: CodeOK, Claim: *claim}
	case ClaimOpen, ClaimInDoubt:
		s.claims.transition(claim, ClaimDone, s.advanceClock(command.Time))
		s.claims.storeResponse(claim, command.Response, sequence)
		return Result{Code: CodeOK, Claim: *claim}
	}
	return refuseClaim(claim)
}

// cancelClaim records that the request was never sent. If no claim exists, it
// creates a cancelled one, so that a delayed OpenClaim of the same attempt is
// not granted.
func (s *state) cancelClaim(sequence uint64, command CancelClaim) Result {
	if !command.Key.isValid() {
		return refuse(CodeMalformed, "a claim needs a service and a key of bounded length")
	}
	claim := s.claims.byKey[command.Key]
	if claim == nil || (claim.State == ClaimCancelled && claim.Fingerprint == command.Fingerprint) {
		return s.recordCancelledClaim(sequence, command)
	}
	if !claim.isDispatchedBy(command.Session, command.Attempt) || claim.State != ClaimOpen {
		return refuseClaim(claim)
	}
	s.claims.transition(claim, ClaimCancelled, s.advanceClock(command.Time))
	return Result{Code: CodeOK, Claim: *claim}
}

func (s *state) recordCancelledClaim(sequence uint64, command CancelClaim) Result {
	now := s.advanceClock(command.Time)
	claim := &Claim{
		ClaimKey:    command.Key,
		State:       ClaimCancelled,
		Fingerprint: command.Fingerprint,
		Sequence:    sequence,
		Dispatcher:  command.Session,
		Attempt:     command.Attempt,
		Opened:      now,
		Changed:     now,
	}
	if s.isSessionOpen(command.Session) && !s.claims.isFull() {
		s.claims.put(claim)
	}
	return Result{Code: CodeOK, Claim: *claim}
}

func (s *state) markClaimInDoubt(command MarkClaimInDoubt) Result {
	claim, result := s.claimOfDispatcher(command.Key, command.Session, command.Attempt)
	if claim == nil {
		return result
	}
	switch claim.State {
	case ClaimInDoubt:
		return Result{Code: CodeOK, Claim: *claim}
	case ClaimOpen:
		s.claims.transition(claim, ClaimInDoubt, s.advanceClock(command.Time))
		return Result{Code: CodeOK, Claim: *claim}
	}
	return refuseClaim(claim)
}

// settleClaim resolves a claim in doubt by decision of an operator.
func (s *state) settleClaim(command SettleClaim) Result {
	if len(command.Note) > MaxNoteBytes {
		return refuse(CodeMalformed, fmt.Sprintf("a note has at most %d bytes", MaxNoteBytes))
	}
	claim := s.claims.byKey[command.Key]
	if claim == nil {
		return refuse(CodeUnknown, "there is no such claim")
	}
	if claim.State != ClaimInDoubt {
		return refuseClaim(claim)
	}
	s.claims.transition(claim, ClaimSettled, s.clock)
	claim.Ran = command.Ran
	claim.Note = command.Note
	return Result{Code: CodeOK, Claim: *claim}
}

func (s *state) expireClaims(command ExpireClaims) Result {
	if !command.Now.IsZero() && s.clock.Sub(command.Now) > MaxClockSkew {
		s.clock = command.Now
		s.claims.clampChangeTimes(command.Now)
	}
	return Result{Code: CodeOK, Count: s.claims.expire(command.Before, command.MinSweeps)}
}

// claimOfDispatcher returns the claim if it was opened by the given attempt of
// the session; otherwise it returns nil and the result to reply with.
func (s *state) claimOfDispatcher(key ClaimKey, session, attempt uint64) (*Claim, Result) {
	claim := s.claims.byKey[key]
	if claim == nil {
		return nil, refuse(CodeUnknown, "there is no such claim")
	}
	if !claim.isDispatchedBy(session, attempt) {
		return nil, refuseClaim(claim)
	}
	return claim, Result{}
}

// refuseClaim returns a CodeRefused result with the claim, without its response.
func refuseClaim(claim *Claim) Result {
	refused := *claim
	refused.Response = Response{}
	return Result{Code: CodeRefused, Detail: "the claim is " + string(claim.State), Claim: refused}
}
