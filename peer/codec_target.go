package peer

import (
	"comfreytiller.dev/peer/peerpb"
	"comfreytiller.dev/target"
)

func encodeTargetBody(wire *peerpb.Frame, message Message) {
	switch m := message.(type) {
	case TargetUpdate:
		wire.Body = &peerpb.Frame_TargetNews{TargetNews: targetUpdateToWire(m)}
	case TargetUpdateAck:
		wire.Body = &peerpb.Frame_TargetKnown{TargetKnown: &peerpb.TargetKnown{Known: m.Known}}
	case ServiceStateChunk:
		wire.Body = &peerpb.Frame_CopyPart{CopyPart: &peerpb.CopyPart{
			Service: m.Service, Fence: m.Fence, Data: m.Data,
		}}
	case StatusRequest:
		wire.Body = &peerpb.Frame_StatusAsk{StatusAsk: &peerpb.StatusAsk{Service: m.Service}}
	case Digest:
		wire.Body = &peerpb.Frame_Digest{Digest: digestToWire(m)}
	case StatusResponse:
		wire.Body = &peerpb.Frame_StatusTold{StatusTold: &peerpb.StatusTold{Status: m.Status}}
	}
}

func decodeTargetBody(wire *peerpb.Frame) Message {
	switch b := wire.Body.(type) {
	case *peerpb.Frame_TargetNews:
		return targetUpdateFromWire(b.TargetNews)
	case *peerpb.Frame_TargetKnown:
		return TargetUpdateAck{Known: b.TargetKnown.Known}
	case *peerpb.Frame_CopyPart:
		return ServiceStateChunk{Service: b.CopyPart.Service, Fence: b.CopyPart.Fence, Data: b.CopyPart.Data}
	case *peerpb.Frame_StatusAsk:
		return StatusRequest{Service: b.StatusAsk.Service}
	case *peerpb.Frame_Digest:
		return digestFromWire(b.Digest)
	case *peerpb.Frame_StatusTold:
		return StatusResponse{Status: b.StatusTold.Status}
	}
	return nil
}

func targetUpdateToWire(m TargetUpdate) *peerpb.TargetNews {
	wire := &peerpb.TargetNews{Service: m.Service}
	switch {
	case m.Announcement != nil:
		wire.News = &peerpb.TargetNews_Announcement{Announcement: AnnouncementToWire(*m.Announcement)}
	case m.Load != nil:
		wire.News = &peerpb.TargetNews_Load{Load: loadToWire(*m.Load)}
	case m.Cache != nil:
		wire.News = &peerpb.TargetNews_Cache{Cache: cacheToWire(*m.Cache)}
	case m.Leave != nil:
		wire.News = &peerpb.TargetNews_Leave{Leave: &peerpb.Leave{
			Name: m.Leave.Name, Incarnation: m.Leave.Incarnation, Sequence: m.Leave.Sequence,
		}}
	}
	return wire
}

// targetUpdateFromWire returns nil for an update without content.
func targetUpdateFromWire(w *peerpb.TargetNews) Message {
	m := TargetUpdate{Service: w.Service}
	switch n := w.News.(type) {
	case *peerpb.TargetNews_Announcement:
		announcement := AnnouncementFromWire(n.Announcement)
		m.Announcement = &announcement
	case *peerpb.TargetNews_Load:
		m.Load = loadFromWire(n.Load)
		m.Load.Service = w.Service
	case *peerpb.TargetNews_Cache:
		m.Cache = cacheFromWire(n.Cache)
		m.Cache.Service = w.Service
	case *peerpb.TargetNews_Leave:
		m.Leave = &target.Leave{
			Name: n.Leave.Name, Stamp: stamp(n.Leave.Incarnation, n.Leave.Sequence), Service: w.Service,
		}
	default:
		return nil
	}
	return m
}

func stamp(incarnation, sequence uint64) target.Stamp {
	return target.Stamp{Incarnation: incarnation, Sequence: sequence}
}

// AnnouncementToWire converts an announcement to its protobuf message. Other
// packages use it for messages that embed an announcement.
func AnnouncementToWire(a target.Announcement) *peerpb.Announcement {
	return &peerpb.Announcement{
		Name:          a.Name,
		Incarnation:   a.Incarnation,
		Sequence:      a.Sequence,
		Address:       a.Address,
		FailureDomain: a.FailureDomain,
		Kind:          string(a.Kind),
		Service:       a.Service,
		Model:         a.Model,
		Version:       a.Version,
		Adapters:      a.Adapters,
		Role:          string(a.Role),
		Capacity:      int32(a.Capacity),
		CachedChats:   int64(a.CacheCapacityChats),
		Cold:          a.Cold,
		ChecksFence:   a.ChecksFencingToken,
		Resumes:       a.SupportsResume,
		MovesCache:    a.SupportsCacheTransfer,
	}
}

// AnnouncementFromWire is the inverse of AnnouncementToWire.
func AnnouncementFromWire(w *peerpb.Announcement) target.Announcement {
	return target.Announcement{
		Name:                  w.Name,
		Stamp:                 stamp(w.Incarnation, w.Sequence),
		Address:               w.Address,
		FailureDomain:         w.FailureDomain,
		Kind:                  target.Kind(w.Kind),
		Service:               w.Service,
		Model:                 w.Model,
		Version:               w.Version,
		Adapters:              w.Adapters,
		Role:                  target.Role(w.Role),
		Capacity:              int(w.Capacity),
		CacheCapacityChats:    int(w.CachedChats),
		Cold:                  w.Cold,
		ChecksFencingToken:    w.ChecksFence,
		SupportsResume:        w.Resumes,
		SupportsCacheTransfer: w.MovesCache,
	}
}

func loadToWire(l target.LoadReport) *peerpb.LoadReport {
	return &peerpb.LoadReport{
		Name:        l.Name,
		Incarnation: l.Incarnation,
		Sequence:    l.Sequence,
		InFlight:    int32(l.InFlight),
		Queued:      int32(l.Queued),
		CacheUsed:   l.CacheUsed,
		Cold:        l.Cold,
	}
}

func loadFromWire(w *peerpb.LoadReport) *target.LoadReport {
	return &target.LoadReport{
		Name:      w.Name,
		Stamp:     stamp(w.Incarnation, w.Sequence),
		InFlight:  int(w.InFlight),
		Queued:    int(w.Queued),
		CacheUsed: w.CacheUsed,
		Cold:      w.Cold,
	}
}

func cacheToWire(e target.CacheEvent) *peerpb.CacheEvent {
	return &peerpb.CacheEvent{
		Name:        e.Name,
		Incarnation: e.Incarnation,
		Sequence:    e.Sequence,
		Change:      string(e.Change),
		Chats:       e.Chats,
	}
}

func cacheFromWire(w *peerpb.CacheEvent) *target.CacheEvent {
	return &target.CacheEvent{
		Name:   w.Name,
		Stamp:  stamp(w.Incarnation, w.Sequence),
		Change: target.CacheChange(w.Change),
		Chats:  w.Chats,
	}
}
