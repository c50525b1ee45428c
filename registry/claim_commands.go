package registry

import "fmt"

// openClaim grants a claim to one attempt, or tells the state of the one that
// exists.
func (s *state) openClaim(number uint64, command OpenClaim) Result {
	if !command.Key.valid() {
		return refuse(CodeMalformed, "a claim needs a service and a key of bounded length")
	}
	now := s.tick(command.Time)
	if existing := s.claims.byKey[command.Key]; existing != nil {
		if result, final := s.existingClaim(existing, command); final {
			return result
		}
	} else if s.claims.full() {
		return refuse(CodeFull, "too many claims")
	}
	if !s.isOpen(command.Session) {
		return refuse(CodeNoSession, fmt.Sprintf("session %d", command.Session))
	}
	claim := &Claim{
		ClaimKey:    command.Key,
		State:       ClaimOpen,
		Fingerprint: command.Fingerprint,
		Sequence:    number,
		Dispatcher:  command.Session,
		Attempt:     command.Attempt,
		Opened:      now,
		Changed:     now,
	}
	s.claims.put(claim)
	return Result{Code: CodeOK, Claim: *claim, Granted: true}
}

// existingClaim answers from the claim that exists; final is not set when a
// new attempt may open it again.
func (s *state) existingClaim(existing *Claim, command OpenClaim) (result Result, final bool) {
	if existing.Fingerprint != command.Fingerprint {
		claim := *existing
		claim.Response = Response{}
		return Result{Code: CodeConflict, Detail: "the key was used with another request", Claim: claim}, true
	}
	if existing.State == ClaimCancelled {
		repeated := existing.Dispatcher == command.Session && command.Attempt <= existing.Attempt
		return Result{Code: CodeOK, Claim: *existing}, repeated
	}
	granted := existing.State == ClaimOpen && existing.dispatchedBy(command.Session, command.Attempt)
	return Result{Code: CodeOK, Claim: *existing, Granted: granted}, true
}

// finishClaim records the outcome. It is taken from the dispatcher while the
// claim is open, and late while it is in doubt.
func (s *state) finishClaim(number uint64, command FinishClaim) Result {
	claim, result := s.dispatched(command.Key, command.Session, command.Attempt)
	if claim == nil {
		return result
	}
	switch claim.State {
	case ClaimDone:
		return Result{Code: CodeOK, Claim: *claim}
	case ClaimOpen, ClaimInDoubt:
		s.claims.move(claim, ClaimDone, s.tick(command.Time))
		s.claims.store(claim, command.Response, number)
		return Result{Code: CodeOK, Claim: *claim}
	}
	return refuseClaim(claim)
}

// cancelClaim records that the request was never sent. Where no claim exists,
// it leaves a cancelled one, so that an OpenClaim of the same attempt that
// arrives later opens nothing.
func (s *state) cancelClaim(number uint64, command CancelClaim) Result {
	if !command.Key.valid() {
		return refuse(CodeMalformed, "a claim needs a service and a key of bounded length")
	}
	claim := s.claims.byKey[command.Key]
	if claim == nil || (claim.State == ClaimCancelled && claim.Fingerprint == command.Fingerprint) {
		return s.cancelUnopened(number, command)
	}
	if !claim.dispatchedBy(command.Session, command.Attempt) || claim.State != ClaimOpen {
		return refuseClaim(claim)
	}
	s.claims.move(claim, ClaimCancelled, s.tick(command.Time))
	return Result{Code: CodeOK, Claim: *claim}
}

func (s *state) cancelUnopened(number uint64, command CancelClaim) Result {
	now := s.tick(command.Time)
	claim := &Claim{
		ClaimKey:    command.Key,
		State:       ClaimCancelled,
		Fingerprint: command.Fingerprint,
		Sequence:    number,
		Dispatcher:  command.Session,
		Attempt:     command.Attempt,
		Opened:      now,
		Changed:     now,
	}
	if s.isOpen(command.Session) && !s.claims.full() {
		s.claims.put(claim)
	}
	return Result{Code: CodeOK, Claim: *claim}
}

func (s *state) doubtClaim(command MarkClaimInDoubt) Result {
	claim, result := s.dispatched(command.Key, command.Session, command.Attempt)
	if claim == nil {
		return result
	}
	switch claim.State {
	case ClaimInDoubt:
		return Result{Code: CodeOK, Claim: *claim}
	case ClaimOpen:
		s.claims.move(claim, ClaimInDoubt, s.tick(command.Time))
		return Result{Code: CodeOK, Claim: *claim}
	}
	return refuseClaim(claim)
}

// settleClaim records an operator's verdict on a claim in doubt.
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
	s.claims.move(claim, ClaimSettled, s.clock)
	claim.Ran = command.Ran
	claim.Note = command.Note
	return Result{Code: CodeOK, Claim: *claim}
}

func (s *state) expireClaims(command ExpireClaims) Result {
	if !command.Now.IsZero() && s.clock.Sub(command.Now) > MaxClockSkew {
		s.clock = command.Now
		s.claims.changedBy(command.Now)
	}
	return Result{Code: CodeOK, Count: s.claims.expire(command.Before, command.MinSweeps)}
}

// dispatched returns the claim if the session's attempt is its dispatcher.
func (s *state) dispatched(key ClaimKey, session, attempt uint64) (*Claim, Result) {
	claim := s.claims.byKey[key]
	if claim == nil {
		return nil, refuse(CodeUnknown, "there is no such claim")
	}
	if !claim.dispatchedBy(session, attempt) {
		return nil, refuseClaim(claim)
	}
	return claim, Result{}
}

// refuseClaim tells the state of the claim and leaves out its answer.
func refuseClaim(claim *Claim) Result {
	refused := *claim
	refused.Response = Response{}
	return Result{Code: CodeRefused, Detail: "the claim is " + string(claim.State), Claim: refused}
}
