package peer

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/go-faster/errors"

	"comfreytiller.dev/peer/peerpb"
)

// frame is a message with its place in the conversation.
type frame struct {
	call    uint64
	answer  bool
	message Message
}

// encodeFrame returns the bytes of a frame without its length.
func encodeFrame(f frame, now time.Time) ([]byte, error) {
	wire := &peerpb.Frame{Call: f.call, Answer: f.answer}
	if err := setBody(wire, f.message, now); err != nil {
		return nil, err
	}
	data, err := proto.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	return pack(data)
}

// decodeFrame reads a frame. Times that travel as a remainder are set from now.
func decodeFrame(data []byte, now time.Time) (frame, error) {
	wire := &peerpb.Frame{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return frame{}, errors.Wrapf(ErrInvalidFrame, "decode %d bytes: %v", len(data), err)
	}
	if len(wire.Packed) > 0 {
		if err := unpack(wire); err != nil {
			return frame{}, err
		}
	}
	message := body(wire, now)
	if message == nil {
		return frame{}, errors.Wrapf(ErrInvalidFrame, "frame of call %d has no known body", wire.Call)
	}
	return frame{call: wire.Call, answer: wire.Answer, message: message}, nil
}

func setBody(wire *peerpb.Frame, message Message, now time.Time) error {
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
		setAdmissionBody(wire, message, now)
	case TargetUpdate, TargetUpdateAck, ServiceStateChunk, StatusRequest, StatusResponse, Digest:
		setTargetBody(wire, message)
	case QuorumMessages, ProposeRequest, ProposeResponse, RenewRequest, RenewResponse, VersionsRequest, VersionsResponse, IdentityRequest, IdentityResponse:
		setStateBody(wire, message)
	case RosterUpdate, WatchRequest, WatchResponse, JoinRequest:
		setWatchBody(wire, message, now)
	default:
		return errors.Wrapf(ErrInvalidFrame, "message of type %T", message)
	}
	return nil
}

func body(wire *peerpb.Frame, now time.Time) Message {
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
	if message := admissionBody(wire, now); message != nil {
		return message
	}
	if message := targetBody(wire); message != nil {
		return message
	}
	if message := watchBody(wire, now); message != nil {
		return message
	}
	return stateBody(wire)
}
