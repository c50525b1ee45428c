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

// ErrInvalidServiceState reports bytes that are no copy of a service.
var ErrInvalidServiceState = errors.New("not a copy of a service")

func encodeCopy(c admission.Copy) ([]byte, error) {
	wire := &hostpb.Copy{Current: c.Current}
	for _, t := range c.Targets {
		wire.Targets = append(wire.Targets, targetCopyToWire(t))
	}
	for _, spot := range c.Chats.Spots {
		wire.Spots = append(wire.Spots, &hostpb.Spot{Target: spot.Target, Incarnation: spot.Incarnation})
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
		return nil, errors.Wrap(err, "encode copy")
	}
	return data, nil
}

func decodeCopy(data []byte) (admission.Copy, error) {
	wire := &hostpb.Copy{}
	if err := proto.Unmarshal(data, wire); err != nil {
		return admission.Copy{}, errors.Wrapf(ErrInvalidServiceState, "decode %d bytes: %v", len(data), err)
	}
	n := len(wire.Chat)
	if len(wire.Last) != n || len(wire.Second) != n || len(wire.Displaced) != n || len(wire.Age) != n {
		return admission.Copy{}, errors.Wrap(ErrInvalidServiceState, "columns of different lengths")
	}
	c := admission.Copy{Current: wire.Current}
	for _, t := range wire.Targets {
		if t.Announcement == nil {
			return admission.Copy{}, errors.Wrap(ErrInvalidServiceState, "a target without announcement")
		}
		c.Targets = append(c.Targets, targetCopyFromWire(t))
	}
	for _, spot := range wire.Spots {
		c.Chats.Spots = append(c.Chats.Spots, chat.Spot{Target: spot.Target, Incarnation: spot.Incarnation})
	}
	for i := range wire.Chat {
		entry, err := chatFromWire(wire, i)
		if err != nil {
			return admission.Copy{}, err
		}
		c.Chats.Entries = append(c.Chats.Entries, entry)
	}
	return c, nil
}

func chatFromWire(wire *hostpb.Copy, i int) (chat.Entry, error) {
	spots := int32(len(wire.Spots))
	last, second := wire.Last[i], wire.Second[i]
	if last < -1 || last >= spots || second < -1 || second >= spots {
		return chat.Entry{}, errors.Wrapf(ErrInvalidServiceState, "chat %d names spots %d and %d of %d", i, last, second, spots)
	}
	return chat.Entry{
		Chat:      chat.Key(wire.Chat[i]),
		Last:      int(last),
		Second:    int(second),
		Displaced: wire.Displaced[i],
		Age:       time.Duration(wire.Age[i]) * time.Second,
	}, nil
}

func targetCopyToWire(t admission.TargetCopy) *hostpb.TargetCopy {
	return &hostpb.TargetCopy{
		Announcement:         peer.AnnouncementToWire(t.Announcement),
		AnnouncedIncarnation: t.Announced.Incarnation,
		AnnouncedSequence:    t.Announced.Sequence,
		Left:                 t.Left,
		Silent:               int64(t.Silent),
		Completed:            int64(t.Completed),
		ReportedCold:         t.ReportedCold,
	}
}

func targetCopyFromWire(w *hostpb.TargetCopy) admission.TargetCopy {
	return admission.TargetCopy{
		Announcement: peer.AnnouncementFromWire(w.Announcement),
		Announced:    target.Stamp{Incarnation: w.AnnouncedIncarnation, Sequence: w.AnnouncedSequence},
		Left:         w.Left,
		Silent:       time.Duration(w.Silent),
		Completed:    int(w.Completed),
		ReportedCold: w.ReportedCold,
	}
}
