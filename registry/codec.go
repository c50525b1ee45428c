package registry

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/registry/registrypb"
)

// marshal encodes a protobuf message. The messages contain no maps, so equal
// messages have equal encodings.
func marshal(message proto.Message) ([]byte, error) {
	return appendWire(nil, message)
}

func appendWire(buffer []byte, message proto.Message) ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.MarshalAppend(buffer, message)
}

func encode(message proto.Message) []byte {
	encoded, err := marshal(message)
	if err != nil {
		// Only a command of the caller with a string that is not UTF-8 cannot be
		// encoded. An empty encoding is decoded as a malformed command.
		return nil
	}
	return encoded
}

func decode(encoded []byte, message proto.Message) error {
	if err := proto.Unmarshal(encoded, message); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromWire(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}

func operationToWire(operation Operation) *registrypb.Operation {
	return &registrypb.Operation{Id: operation.ID, Time: timeToWire(operation.Time)}
}

func operationFromWire(wire *registrypb.Operation) Operation {
	return Operation{ID: wire.GetId(), Time: timeFromWire(wire.GetTime())}
}

func claimKeyToWire(key ClaimKey) *registrypb.ClaimKey {
	return &registrypb.ClaimKey{Workspace: key.Workspace, Service: key.Service, Key: key.Key}
}

func claimKeyFromWire(wire *registrypb.ClaimKey) ClaimKey {
	return ClaimKey{Workspace: wire.GetWorkspace(), Service: wire.GetService(), Key: wire.GetKey()}
}

func responseToWire(response Response) *registrypb.Answer {
	return &registrypb.Answer{
		Status:      int64(response.Status),
		ContentType: response.ContentType,
		Body:        response.Body,
		Truncated:   response.Truncated,
	}
}

func responseFromWire(wire *registrypb.Answer) Response {
	return Response{
		Status:      int(wire.GetStatus()),
		ContentType: wire.GetContentType(),
		Body:        bytesFromWire(wire.GetBody()),
		Truncated:   wire.GetTruncated(),
	}
}

// bytesFromWire returns nil for an empty field, whether it was present or not.
func bytesFromWire(wire []byte) []byte {
	if len(wire) == 0 {
		return nil
	}
	return wire
}

func claimToWire(claim *Claim) *registrypb.Claim {
	return &registrypb.Claim{
		Key:         claimKeyToWire(claim.ClaimKey),
		State:       string(claim.State),
		Fingerprint: claim.Fingerprint,
		Number:      claim.Sequence,
		Dispatcher:  claim.Dispatcher,
		Attempt:     claim.Attempt,
		Answer:      responseToWire(claim.Response),
		Opened:      timeToWire(claim.Opened),
		Changed:     timeToWire(claim.Changed),
		Ran:         claim.Ran,
		Note:        claim.Note,
		Finished:    claim.FinishedSequence,
		Swept:       claim.SweepCount,
	}
}

func claimFromWire(wire *registrypb.Claim) *Claim {
	return &Claim{
		ClaimKey:         claimKeyFromWire(wire.GetKey()),
		State:            ClaimState(wire.GetState()),
		Fingerprint:      wire.GetFingerprint(),
		Sequence:         wire.GetNumber(),
		Dispatcher:       wire.GetDispatcher(),
		Attempt:          wire.GetAttempt(),
		Response:         responseFromWire(wire.GetAnswer()),
		Opened:           timeFromWire(wire.GetOpened()),
		Changed:          timeFromWire(wire.GetChanged()),
		Ran:              wire.GetRan(),
		Note:             wire.GetNote(),
		FinishedSequence: wire.GetFinished(),
		SweepCount:       wire.GetSwept(),
	}
}

func orderToWire(order Order) *registrypb.Order {
	return &registrypb.Order{
		Id:          order.ID,
		Target:      order.Target,
		Incarnation: order.Incarnation,
		Kind:        order.Kind,
		Service:     order.Service,
		Model:       order.Model,
		Version:     order.Version,
		Adapters:    order.Adapters,
		Role:        order.Role,
		Fence:       order.Fence,
		State:       string(order.State),
		Time:        timeToWire(order.Time),
	}
}

func orderFromWire(wire *registrypb.Order) Order {
	return Order{
		ID:          wire.GetId(),
		Target:      wire.GetTarget(),
		Incarnation: wire.GetIncarnation(),
		Kind:        wire.GetKind(),
		Service:     wire.GetService(),
		Model:       wire.GetModel(),
		Version:     wire.GetVersion(),
		Adapters:    wire.GetAdapters(),
		Role:        wire.GetRole(),
		Fence:       wire.GetFence(),
		State:       OrderState(wire.GetState()),
		Time:        timeFromWire(wire.GetTime()),
	}
}

func sessionToWire(host Host) *registrypb.Session {
	return &registrypb.Session{
		Number:        host.Session,
		Host:          host.Name,
		FailureDomain: host.FailureDomain,
		PeerAddress:   host.PeerAddress,
		CallerAddress: host.CallerAddress,
		Owns:          host.CanOwn,
		Start:         host.ProcessNonce,
		Closing:       host.Closing,
	}
}

func sessionFromWire(wire *registrypb.Session) Host {
	return Host{
		Name:          wire.GetHost(),
		Session:       wire.GetNumber(),
		FailureDomain: wire.GetFailureDomain(),
		PeerAddress:   wire.GetPeerAddress(),
		CallerAddress: wire.GetCallerAddress(),
		CanOwn:        wire.GetOwns(),
		ProcessNonce:  wire.GetStart(),
		Closing:       wire.GetClosing(),
	}
}

func ownerToWire(service string, owner Owner) *registrypb.Owner {
	return &registrypb.Owner{
		Service:       service,
		Host:          owner.Host,
		Session:       owner.Session,
		Backup:        owner.Backup,
		BackupSession: owner.BackupSession,
		Fence:         owner.Fence,
	}
}

func ownerFromWire(wire *registrypb.Owner) Owner {
	return Owner{
		Host:          wire.GetHost(),
		Session:       wire.GetSession(),
		Backup:        wire.GetBackup(),
		BackupSession: wire.GetBackupSession(),
		Fence:         wire.GetFence(),
	}
}
