package registry

import (
	"github.com/go-faster/errors"

	"comfreytiller.dev/fleet"
)

// Code is the outcome of a command.
type Code string

// Result codes.
const (
	// CodeOK: the command took effect, now or when it was first sent.
	CodeOK Code = "OK"
	// CodeMalformed: the bytes are not a command, or a field is invalid.
	CodeMalformed Code = "Malformed"
	// CodeStale: the log entry has already been applied.
	CodeStale Code = "Stale"
	// CodeConflict: the base version is not the current version, the version
	// exists with a different configuration, or the claim key was used with
	// another request.
	CodeConflict Code = "Conflict"
	// CodeInvalid: the fleet configuration is invalid.
	CodeInvalid Code = "Invalid"
	// CodeInUse: the configuration removes a service in use and Force is not set.
	CodeInUse Code = "InUse"
	// CodeUnknown: the command names something that does not exist.
	CodeUnknown Code = "Unknown"
	// CodeNoSession: the session is not open.
	CodeNoSession Code = "NoSession"
	// CodeSuperseded: a newer process of the same host has opened a session.
	CodeSuperseded Code = "Superseded"
	// CodeNotOwner: the session does not hold the grant that it releases; if it
	// ever did, the grant has ended.
	CodeNotOwner Code = "NotOwner"
	// CodeNoCandidate: no other host can own the service; the owner keeps it.
	CodeNoCandidate Code = "NoCandidate"
	// CodeWrongTerm: the command was proposed in another term than that of its log
	// entry.
	CodeWrongTerm Code = "WrongTerm"
	// CodeOperationReused: the operation ID was used for another command.
	CodeOperationReused Code = "OperationReused"
	// CodeRefused: the state of the claim or order does not allow the command.
	CodeRefused Code = "Refused"
	// CodeFull: a limit of the state is reached; the command had no effect.
	CodeFull Code = "Full"
)

// Errors returned by Result.Err, one for each code except CodeOK.
var (
	ErrMalformed       = errors.New("malformed command")
	ErrStale           = errors.New("log entry older than the state")
	ErrConflict        = errors.New("conflict")
	ErrInvalid         = errors.New("invalid fleet text")
	ErrInUse           = errors.New("service in use")
	ErrUnknown         = errors.New("unknown name")
	ErrNoSession       = errors.New("session is not open")
	ErrSuperseded      = errors.New("superseded by a newer process of the host")
	ErrNotOwner        = errors.New("session is not the owner of the service")
	ErrNoCandidate     = errors.New("no other host can own the service")
	ErrWrongTerm       = errors.New("committed in another term")
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

// Result is the result of a command.
type Result struct {
	Code Code
	// Detail is a human-readable explanation of the code; it may be empty.
	Detail string
	// Session is the number of the session that OpenSession returned or
	// CloseSession closed.
	Session uint64
	// Version depends on the command. ApplyFleet and ApplyVersionedFleet: the
	// current fleet version. SetOutage and Pin: the current outage version.
	// MoveOwner: the fencing token of the new grant.
	Version uint64
	// Config is, after a conflict of ApplyFleet, the current fleet configuration
	// at the time of the reply, and ConfigVersion its version.
	ConfigVersion uint64
	Config        []byte
	// Faults lists the faults of an invalid fleet configuration; MoreFaults is
	// the number of faults that are left out.
	Faults     []fleet.Fault
	MoreFaults int
	// Claim is the claim after the command, without its response on a conflict or
	// refusal.
	Claim Claim
	// Granted is set when OpenClaim permits its attempt to send the request once.
	Granted bool
	// Order is the order after the command, or the pending order that prevents it.
	Order Order
	// Count is the number of claims that ExpireClaims removed.
	Count uint64
}

// Err returns nil for CodeOK and otherwise an error that wraps the sentinel error
// of the code.
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
