package registry

import "fmt"

// openSession returns a new session, or the existing session of the same
// process.
//
// An older process of the host may still hold a valid lease. Its session is
// marked as closing and keeps its services until CloseSession; the new session
// inherits none of them before that.
func (s *state) openSession(sequence uint64, command OpenSession) Result {
	if !validIdentifier(command.Host) || len(command.FailureDomain) > MaxIdentifierBytes ||
		len(command.PeerAddress) > MaxIdentifierBytes || len(command.CallerAddress) > MaxIdentifierBytes {
		return refuse(CodeMalformed, "a session needs a host, and addresses of bounded length")
	}
	for _, session := range s.sessions {
		if session.Name != command.Host || session.ProcessNonce != command.ProcessNonce {
			continue
		}
		if session.Closing {
			return refuse(CodeSuperseded, fmt.Sprintf("session %d of host %s", session.Session, session.Name))
		}
		return Result{Code: CodeOK, Session: session.Session}
	}
	if len(s.sessions) >= MaxSessions {
		return refuse(CodeFull, "too many sessions")
	}
	s.supersede(command.Host)
	s.sessions[sequence] = Host{
		Name:          command.Host,
		Session:       sequence,
		FailureDomain: command.FailureDomain,
		PeerAddress:   command.PeerAddress,
		CallerAddress: command.CallerAddress,
		CanOwn:        command.CanOwn,
		ProcessNonce:  command.ProcessNonce,
	}
	s.changed.hosts = true
	s.assignOwners(sequence)
	return Result{Code: CodeOK, Session: sequence}
}

// supersede marks the open session of the host as closing.
func (s *state) supersede(host string) {
	for number, session := range s.sessions {
		if session.Name == host && !session.Closing {
			session.Closing = true
			s.sessions[number] = session
		}
	}
}

func (s *state) closeSession(sequence, term uint64, command CloseSession) Result {
	if command.Reason != CloseGraceful && command.Reason != CloseExpired {
		return refuse(CodeMalformed, "a session is closed as Graceful or Expired")
	}
	if _, open := s.sessions[command.Session]; !open {
		return Result{Code: CodeOK, Session: command.Session, Detail: "the session was closed before"}
	}
	if command.Reason == CloseExpired && command.Term != term {
		return refuse(CodeWrongTerm, fmt.Sprintf("decided in term %d, committed in term %d", command.Term, term))
	}
	delete(s.sessions, command.Session)
	s.changed.hosts = true
	s.claims.markSessionInDoubt(command.Session, s.clock)
	s.assignOwners(sequence)
	return Result{Code: CodeOK, Session: command.Session}
}

// isSessionOpen reports whether the session is open and not closing.
func (s *state) isSessionOpen(session uint64) bool {
	host, open := s.sessions[session]
	return open && !host.Closing
}
