package host

import (
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/comfreytiller/host/hostpb"
)

func encodeStatus(s admission.Status) ([]byte, error) {
	wire := &hostpb.Status{
		Service:  s.Service,
		Fence:    s.FencingToken,
		Adopted:  s.Granting,
		InFlight: int64(s.InFlight),
		Chats:    int64(s.Chats),
	}
	for _, workspace := range s.Workspaces {
		wire.Waiting += int64(workspace.Queued)
	}
	for _, t := range s.Targets {
		wire.Targets = append(wire.Targets, &hostpb.TargetStatus{
			Name:          t.Name,
			Incarnation:   t.Incarnation,
			Address:       t.Address,
			FailureDomain: t.FailureDomain,
			State:         t.State,
			InFlight:      int64(t.InFlight),
			Limit:         int64(t.Limit),
			Chats:         int64(t.Chats),
		})
	}
	data, err := proto.Marshal(wire)
	if err != nil {
		return nil, errors.Wrapf(err, "encode status of %s", s.Service)
	}
	return data, nil
}

func decodeStatus(data []byte) (*hostpb.Status, error) {
	wire := &hostpb.Status{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return nil, errors.Wrapf(err, "decode status of %d bytes", len(data))
	}
	return wire, nil
}
