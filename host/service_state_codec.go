package host

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/chat"
	"comfreytiller.dev/comfreytiller/host/hostpb"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
)

// ErrInvalidServiceState reports data that is not a valid encoded service
// state.
var ErrInvalidServiceState = errors.New("invalid service state")

func encodeServiceState(c admission.ExportedState) ([]byte, error) {
	wire := &hostpb.Copy{Current: c.Current}
	for _, t := range c.Targets {
		wire.Targets = append(wire.Targets, targetStateToWire(t))
	}
	for _, instance := range c.Chats.Instances {
		wire.Spots = append(wire.Spots, &hostpb.Spot{Target: instance.Target, Incarnation: instance.Incarnation})
	}
	for _, entry := range c.Chats.Entries {
		wire.Chat = append(wire.Chat, uint64(entry.Chat))
		wire.Last = append(wire.Last, int32(entry.Last))
		wire.Second = append(wire.Second, int32(entry.Second))
		wire.Displaced = append(wire.Displaced, entry.Displaced)
		wire.Age = append(wire.Age, uint32(entry.Age/time.Second))
	}
	data, err := proto.Marshal(wire)
	if err != nil {
		return nil, errors.Wrap(err, "encode service state")
	}
	return data, nil
}

func decodeServiceState(data []byte) (admission.ExportedState, error) {
	wire := &hostpb.Copy{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return admission.ExportedState{}, errors.Wrapf(ErrInvalidServiceState, "decode %d bytes: %v", len(data), err)
	}
	n := len(wire.Chat)
	if len(wire.Last) != n || len(wire.Second) != n || len(wire.Displaced) != n || len(wire.Age) != n {
		return admission.ExportedState{}, errors.Wrap(ErrInvalidServiceState, "columns have different lengths")
	}
	c := admission.ExportedState{Current: wire.Current}
	for _, t := range wire.Targets {
		if t.Announcement == nil {
			return admission.ExportedState{}, errors.Wrap(ErrInvalidServiceState, "target without announcement")
		}
		c.Targets = append(c.Targets, targetStateFromWire(t))
	}
	for _, instance := range wire.Spots {
		c.Chats.Instances = append(c.Chats.Instances, chat.Instance{Target: instance.Target, Incarnation: instance.Incarnation})
	}
	for i := range wire.Chat {
		entry, err := chatFromWire(wire, i)
		if err != nil {
			return admission.ExportedState{}, err
		}
		c.Chats.Entries = append(c.Chats.Entries, entry)
	}
	return c, nil
}

func chatFromWire(wire *hostpb.Copy, i int) (chat.Entry, error) {
	instances := int32(len(wire.Spots))
	last, second := wire.Last[i], wire.Second[i]
	if last < -1 || last >= instances || second < -1 || second >= instances {
		return chat.Entry{}, errors.Wrapf(ErrInvalidServiceState, "chat %d refers to targets %d and %d of %d", i, last, second, instances)
	}
	return chat.Entry{
		Chat:      chat.Key(wire.Chat[i]),
		Last:      int(last),
		Second:    int(second),
		Displaced: wire.Displaced[i],
		Age:       time.Duration(wire.Age[i]) * time.Second,
	}, nil
}

func targetStateToWire(t admission.ExportedTarget) *hostpb.TargetCopy {
	return &hostpb.TargetCopy{
		Announcement:         peer.AnnouncementToWire(t.Announcement),
		AnnouncedIncarnation: t.MembershipStamp.Incarnation,
		AnnouncedSequence:    t.MembershipStamp.Sequence,
		Left:                 t.Left,
		Silent:               int64(t.SilentFor),
		Completed:            int64(t.CompletedRequests),
		ReportedCold:         t.ReportedCold,
	}
}

func targetStateFromWire(w *hostpb.TargetCopy) admission.ExportedTarget {
	return admission.ExportedTarget{
		Announcement:      peer.AnnouncementFromWire(w.Announcement),
		MembershipStamp:   target.Stamp{Incarnation: w.AnnouncedIncarnation, Sequence: w.AnnouncedSequence},
		Left:              w.Left,
		SilentFor:         time.Duration(w.Silent),
		CompletedRequests: int(w.Completed),
		ReportedCold:      w.ReportedCold,
	}
}
