package registry

import (
	"github.com/go-faster/errors"

	"comfreytiller.dev/registry/registrypb"
)

// EncodeCommand encodes a command for a log entry. A command with a string that is
// not UTF-8 has an empty encoding, which DecodeCommand rejects.
func EncodeCommand(command Command) []byte {
	return encode(commandToWire(command))
}

// DecodeCommand is the inverse of EncodeCommand. Errors wrap ErrMalformed.
func DecodeCommand(encoded []byte) (Command, error) {
	var wire registrypb.Command
	if err := decode(encoded, &wire); err != nil {
		return nil, err
	}
	if versioned := wire.GetNumberFleet(); versioned != nil {
		config, err := inflate(versioned.GetText(), versioned.GetDeflated())
		if err != nil {
			return nil, err
		}
		return NumberFleet{versioned.GetVersion(), config}, nil
	}
	if command := operatorCommandFromWire(&wire); command != nil {
		return command, nil
	}
	if command := rolloutCommandFromWire(&wire); command != nil {
		return command, nil
	}
	if command := hostCommandFromWire(&wire); command != nil {
		return command, nil
	}
	return nil, errors.Wrap(ErrMalformed, "no known kind of command")
}

func commandToWire(command Command) *registrypb.Command {
	switch c := command.(type) {
	case OpenSession:
		return &registrypb.Command{Kind: &registrypb.Command_OpenSession{OpenSession: &registrypb.OpenSession{
			Host: c.Host, FailureDomain: c.FailureDomain, PeerAddress: c.PeerAddress,
			CallerAddress: c.CallerAddress, Owns: c.CanOwn, Start: c.ProcessNonce,
		}}}
	case CloseSession:
		return &registrypb.Command{Kind: &registrypb.Command_CloseSession{CloseSession: &registrypb.CloseSession{
			Session: c.Session, Reason: string(c.Reason), Term: c.Term,
		}}}
	case MoveOwner:
		return &registrypb.Command{Kind: &registrypb.Command_MoveOwner{MoveOwner: &registrypb.MoveOwner{
			Service: c.Service, Session: c.Session, Fence: c.FencingToken,
		}}}
	case ApplyFleet:
		return &registrypb.Command{Kind: &registrypb.Command_ApplyFleet{ApplyFleet: &registrypb.ApplyFleet{
			Operation: operationToWire(c.Operation), Base: c.BaseVersion, Text: c.Config, Force: c.Force,
		}}}
	case NumberFleet:
		plain, deflated := deflate(c.Config)
		return &registrypb.Command{Kind: &registrypb.Command_NumberFleet{NumberFleet: &registrypb.NumberFleet{
			Version: c.Version, Text: plain, Deflated: deflated,
		}}}
	case SetOutage:
		return &registrypb.Command{Kind: &registrypb.Command_SetOutage{SetOutage: &registrypb.SetOutage{
			Operation: operationToWire(c.Operation), FailureDomain: c.FailureDomain, Target: c.Target, Out: c.Out, Base: c.BaseVersion,
		}}}
	case Pin:
		return &registrypb.Command{Kind: &registrypb.Command_Pin{Pin: &registrypb.Pin{
			Operation: operationToWire(c.Operation), Target: c.Target, Service: c.Service,
		}}}
	case SettleClaim:
		return &registrypb.Command{Kind: &registrypb.Command_SettleClaim{SettleClaim: &registrypb.SettleClaim{
			Operation: operationToWire(c.Operation), Key: claimKeyToWire(c.Key), Ran: c.Ran, Note: c.Note,
		}}}
	}
	return claimCommandToWire(command)
}

func claimCommandToWire(command Command) *registrypb.Command {
	switch c := command.(type) {
	case OpenClaim:
		return &registrypb.Command{Kind: &registrypb.Command_OpenClaim{OpenClaim: &registrypb.OpenClaim{
			Key: claimKeyToWire(c.Key), Fingerprint: c.Fingerprint, Session: c.Session, Attempt: c.Attempt, Time: timeToWire(c.Time),
		}}}
	case FinishClaim:
		return &registrypb.Command{Kind: &registrypb.Command_FinishClaim{FinishClaim: &registrypb.FinishClaim{
			Key: claimKeyToWire(c.Key), Session: c.Session, Attempt: c.Attempt, Answer: responseToWire(c.Response.storable()), Time: timeToWire(c.Time),
		}}}
	case CancelClaim:
		return &registrypb.Command{Kind: &registrypb.Command_CancelClaim{CancelClaim: &registrypb.CancelClaim{
			Key: claimKeyToWire(c.Key), Fingerprint: c.Fingerprint, Session: c.Session, Attempt: c.Attempt, Time: timeToWire(c.Time),
		}}}
	case DoubtClaim:
		return &registrypb.Command{Kind: &registrypb.Command_DoubtClaim{DoubtClaim: &registrypb.DoubtClaim{
			Key: claimKeyToWire(c.Key), Session: c.Session, Attempt: c.Attempt, Time: timeToWire(c.Time),
		}}}
	case ExpireClaims:
		return &registrypb.Command{Kind: &registrypb.Command_ExpireClaims{ExpireClaims: &registrypb.ExpireClaims{
			Now: timeToWire(c.Now), Before: timeToWire(c.Before), Sweeps: c.MinSweeps,
		}}}
	case RecordOrder:
		return &registrypb.Command{Kind: &registrypb.Command_RecordOrder{RecordOrder: &registrypb.RecordOrder{
			Id: c.ID, Target: c.Target, Incarnation: c.Incarnation, Kind: c.Kind, Service: c.Service, Model: c.Model,
			Version: c.Version, Adapters: c.Adapters, Role: c.Role, Time: timeToWire(c.Time),
		}}}
	case FinishOrder:
		return &registrypb.Command{Kind: &registrypb.Command_FinishOrder{FinishOrder: &registrypb.FinishOrder{
			Id: c.ID, State: string(c.State), Time: timeToWire(c.Time),
		}}}
	}
	return rolloutCommandToWire(command)
}

// operatorCommandFromWire returns nil if the message is not an operator command.
func operatorCommandFromWire(wire *registrypb.Command) Command {
	switch kind := wire.GetKind().(type) {
	case *registrypb.Command_ApplyFleet:
		c := kind.ApplyFleet
		return ApplyFleet{operationFromWire(c.GetOperation()), c.GetBase(), bytesFromWire(c.GetText()), c.GetForce()}
	case *registrypb.Command_SetOutage:
		c := kind.SetOutage
		return SetOutage{operationFromWire(c.GetOperation()), c.GetFailureDomain(), c.GetTarget(), c.GetOut(), c.GetBase()}
	case *registrypb.Command_Pin:
		c := kind.Pin
		return Pin{operationFromWire(c.GetOperation()), c.GetTarget(), c.GetService()}
	case *registrypb.Command_SettleClaim:
		c := kind.SettleClaim
		return SettleClaim{operationFromWire(c.GetOperation()), claimKeyFromWire(c.GetKey()), c.GetRan(), c.GetNote()}
	}
	return nil
}

// hostCommandFromWire returns nil if the message is not a command of a host or of
// the leader.
func hostCommandFromWire(wire *registrypb.Command) Command {
	switch kind := wire.GetKind().(type) {
	case *registrypb.Command_OpenSession:
		c := kind.OpenSession
		return OpenSession{c.GetHost(), c.GetFailureDomain(), c.GetPeerAddress(), c.GetCallerAddress(), c.GetOwns(), c.GetStart()}
	case *registrypb.Command_CloseSession:
		c := kind.CloseSession
		return CloseSession{c.GetSession(), CloseReason(c.GetReason()), c.GetTerm()}
	case *registrypb.Command_MoveOwner:
		c := kind.MoveOwner
		return MoveOwner{c.GetService(), c.GetSession(), c.GetFence()}
	case *registrypb.Command_OpenClaim:
		c := kind.OpenClaim
		return OpenClaim{claimKeyFromWire(c.GetKey()), c.GetFingerprint(), c.GetSession(), c.GetAttempt(), timeFromWire(c.GetTime())}
	case *registrypb.Command_FinishClaim:
		c := kind.FinishClaim
		return FinishClaim{claimKeyFromWire(c.GetKey()), c.GetSession(), c.GetAttempt(), responseFromWire(c.GetAnswer()), timeFromWire(c.GetTime())}
	case *registrypb.Command_CancelClaim:
		c := kind.CancelClaim
		return CancelClaim{claimKeyFromWire(c.GetKey()), c.GetFingerprint(), c.GetSession(), c.GetAttempt(), timeFromWire(c.GetTime())}
	case *registrypb.Command_DoubtClaim:
		c := kind.DoubtClaim
		return DoubtClaim{claimKeyFromWire(c.GetKey()), c.GetSession(), c.GetAttempt(), timeFromWire(c.GetTime())}
	case *registrypb.Command_ExpireClaims:
		c := kind.ExpireClaims
		return ExpireClaims{timeFromWire(c.GetNow()), timeFromWire(c.GetBefore()), c.GetSweeps()}
	case *registrypb.Command_RecordOrder:
		return recordOrderFromWire(kind.RecordOrder)
	case *registrypb.Command_FinishOrder:
		c := kind.FinishOrder
		return FinishOrder{c.GetId(), OrderState(c.GetState()), timeFromWire(c.GetTime())}
	}
	return nil
}

func recordOrderFromWire(wire *registrypb.RecordOrder) RecordOrder {
	return RecordOrder{
		ID:          wire.GetId(),
		Target:      wire.GetTarget(),
		Incarnation: wire.GetIncarnation(),
		Kind:        wire.GetKind(),
		Service:     wire.GetService(),
		Model:       wire.GetModel(),
		Version:     wire.GetVersion(),
		Adapters:    wire.GetAdapters(),
		Role:        wire.GetRole(),
		Time:        timeFromWire(wire.GetTime()),
	}
}
