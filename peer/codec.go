package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/go-faster/errors"

	"comfreytiller.dev/peer/peerpb"
)

// frame is a message with the ID of its call, which is 0 for a message that
// expects no reply.
type frame struct {
	callID  uint64
	isReply bool
	message Message
	// queuedAt is when a bulk frame was queued; zero for others.
	queuedAt time.Time
}

// encodeFrame encodes a frame without its length prefix. It returns ErrInvalidFrame for a
// message that is too large or has a text that is not UTF-8.
func encodeFrame(f frame, now time.Time) ([]byte, error) {
	wire := &peerpb.Frame{Call: f.callID, Answer: f.isReply}
	if err := encodeBody(wire, f.message, now); err != nil {
		return nil, err
	}
	isPacked, err := attachPacked(wire, f.message, now)
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(wire)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalidFrame, "encode frame: %v", err)
	}
	if len(data) > MaxFrameBytes {
		return nil, errors.Wrapf(ErrInvalidFrame, "frame has %d bytes, at most %d are allowed", len(data), MaxFrameBytes)
	}
	if isPacked {
		return data, nil
	}
	return compressFrame(data)
}

// decodeFrame decodes a frame. Times that are sent relative to the sender's
// clock are converted to absolute times based on now.
func decodeFrame(data []byte, now time.Time) (frame, error) {
	wire := &peerpb.Frame{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return frame{}, errors.Wrapf(ErrInvalidFrame, "decode %d bytes: %v", len(data), err)
	}
	if len(wire.Packed) > 0 {
		if err := decompressFrame(wire); err != nil {
			return frame{}, err
		}
	}
	message := decodeBody(wire, now)
	if message == nil {
		return frame{}, errors.Wrapf(ErrInvalidFrame, "frame of call %d has no known message type", wire.Call)
	}
	message, err := addPacked(wire, message, now)
	if err != nil {
		return frame{}, err
	}
	return frame{callID: wire.Call, isReply: wire.Answer, message: message}, nil
}

func encodeBody(wire *peerpb.Frame, message Message, now time.Time) error {
	switch m := message.(type) {
	case Ping:
		wire.Body = &peerpb.Frame_Ping{Ping: &peerpb.Ping{}}
	case Pong:
		wire.Body = &peerpb.Frame_Pong{Pong: &peerpb.Ping{}}
	case Failure:
		wire.Body = &peerpb.Frame_Failure{Failure: &peerpb.Failure{Message: m.Message}}
	case Ack:
		wire.Body = &peerpb.Frame_Taken{Taken: &peerpb.Taken{}}
	case AcquireRequest, Permit, Refusal, Releases, AdoptPermits:
		encodeAdmissionBody(wire, message, now)
	case TargetUpdate, TargetUpdateAck, ServiceStateChunk, StatusRequest, StatusResponse, Digest:
		encodeTargetBody(wire, message)
	case QuorumMessages, ProposeRequest, ProposeResponse, RenewRequest, RenewResponse, VersionsRequest, VersionsResponse, IdentityRequest, IdentityResponse, HostsRequest, HostsResponse,
		MemberChangeRequest, MemberChangeResponse:
		encodeStateBody(wire, message)
	case RosterUpdate, WatchRequest, WatchResponse, JoinRequest:
		encodeWatchBody(wire, message, now)
	default:
		return errors.Wrapf(ErrInvalidFrame, "cannot encode message of type %T", message)
	}
	return nil
}

func decodeBody(wire *peerpb.Frame, now time.Time) Message {
	switch b := wire.Body.(type) {
	case *peerpb.Frame_Ping:
		return Ping{}
	case *peerpb.Frame_Pong:
		return Pong{}
	case *peerpb.Frame_Failure:
		return Failure{Message: b.Failure.Message}
	case *peerpb.Frame_Taken:
		return Ack{}
	}
	if message := decodeAdmissionBody(wire, now); message != nil {
		return message
	}
	if message := decodeTargetBody(wire); message != nil {
		return message
	}
	if message := decodeWatchBody(wire, now); message != nil {
		return message
	}
	return decodeStateBody(wire)
}
