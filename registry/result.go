package registry

import (
	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// Code says how a command ended.
type Code string

// The codes of a Result.
const (
	// CodeOK: the command had its effect, now or when it was first sent.
	CodeOK Code = "OK"
	// CodeMalformed: the bytes are not a command, or a field is out of bounds.
	CodeMalformed Code = "Malformed"
	// CodeStale: the log entry is older than the state.
	CodeStale Code = "Stale"
	// CodeConflict: the base is not the version in force, or a claim's key was
	// used with another request.
	CodeConflict Code = "Conflict"
	// CodeInvalid: the fleet text has faults.
	CodeInvalid Code = "Invalid"
	// CodeInUse: the text removes a service in use and Force is not set.
	CodeInUse Code = "InUse"
	// CodeUnknown: the command names something that does not exist.
	CodeUnknown Code = "Unknown"
	// CodeNoSession: the session is not open.
	CodeNoSession Code = "NoSession"
	// CodeSuperseded: another process of the same host has opened a session.
	CodeSuperseded Code = "Superseded"
	// CodeNotOwner: the session does not hold the grant that it gives up; if it
	// ever did, the grant is over.
	CodeNotOwner Code = "NotOwner"
	// CodeNoCandidate: no other host can own the service; the owner keeps it.
	CodeNoCandidate Code = "NoCandidate"
	// CodeWrongTerm: the leader decided in another term.
	CodeWrongTerm Code = "WrongTerm"
	// CodeOperationReused: the operation's ID was used for another command.
	CodeOperationReused Code = "OperationReused"
	// CodeRefused: the state of the claim or order does not allow the command.
	CodeRefused Code = "Refused"
	// CodeFull: a bound of the state is reached; nothing changed.
	CodeFull Code = "Full"
)

// The errors of Result.Err, one for each code.
var (
	ErrMalformed       = errors.New("malformed command")
	ErrStale           = errors.New("log entry older than the state")
	ErrConflict        = errors.New("conflict")
	ErrInvalid         = errors.New("invalid fleet text")
	ErrInUse           = errors.New("service in use")
	ErrUnknown         = errors.New("unknown name")
	ErrNoSession       = errors.New("session is not open")
	ErrSuperseded      = errors.New("superseded by another process of the host")
	ErrNotOwner        = errors.New("not the owner")
	ErrNoCandidate     = errors.New("no other host can own the service")
	ErrWrongTerm       = errors.New("decided in another term")
	ErrOperationReused = errors.New("operation ID used for another command")
	ErrRefused         = errors.New("state does not allow the command")
	ErrFull            = errors.New("bound of the state reached")
)

var codeErrors = map[Code]error{
	CodeMalformed:       ErrMalformed,
	CodeStale:           ErrStale,
	CodeConflict:        ErrConflict,
	CodeInvalid:         ErrInvalid,
	CodeInUse:           ErrInUse,
	CodeUnknown:         ErrUnknown,
	CodeNoSession:       ErrNoSession,
	CodeSuperseded:      ErrSuperseded,
	CodeNotOwner:        ErrNotOwner,
	CodeNoCandidate:     ErrNoCandidate,
	CodeWrongTerm:       ErrWrongTerm,
	CodeOperationReused: ErrOperationReused,
	CodeRefused:         ErrRefused,
	CodeFull:            ErrFull,
}

// Result is the answer to a command.
type Result struct {
	Code Code
	// Detail says in words what the code leaves open.
	Detail string
	// Session is the number of the session that OpenSession gave.
	Session uint64
	// Version is, by command: the version that ApplyFleet made or that won
	// against it; the outage version after or in the way of SetOutage and Pin;
	// the fence of the new grant of MoveOwner.
	Version uint64
	// Text is, after a conflict of ApplyFleet, the text in force when the
	// answer was given, and TextVersion its version.
	TextVersion uint64
	Text        []byte
	// Faults are what is wrong with a fleet text; MoreFaults counts those that
	// are left out.
	Faults     []fleet.Fault
	MoreFaults int
	// Claim is the claim after the command, without its answer on a conflict.
	Claim Claim
	// Granted is set when OpenClaim allows its attempt to dispatch once.
	Granted bool
	// Order is the order after the command, or the one that is in the way.
	Order Order
	// Count is the number of claims that ExpireClaims removed.
	Count uint64
}

// Err returns nil for CodeOK and otherwise an error that wraps the sentinel of
// the code.
func (r Result) Err() error {
	if r.Code == CodeOK {
		return nil
	}
	err, known := codeErrors[r.Code]
	if !known {
		return errors.Errorf("unknown result code %q", r.Code)
	}
	if r.Code == CodeInvalid {
		return errors.Wrap(err, (&fleet.Faults{All: r.Faults, Omitted: r.MoreFaults}).Error())
	}
	if r.Detail == "" {
		return err
	}
	return errors.Wrap(err, r.Detail)
}

func refuse(code Code, detail string) Result {
	return Result{Code: code, Detail: detail}
}
