package peer

import "comfreytiller.dev/peer/peerpb"

func digestToWire(m Digest) *peerpb.Digest {
	wire := &peerpb.Digest{Host: m.Host, Session: m.Session}
	for _, t := range m.Targets {
		wire.Targets = append(wire.Targets, &peerpb.DigestTarget{
			Announcement: AnnouncementToWire(t.Announcement),
			Ready:        t.Ready,
			Cold:         t.Cold,
			Leaving:      t.Leaving,
			InFlight:     int32(t.InFlight),
			Chats:        int64(t.WarmChats),
		})
	}
	for _, s := range m.Services {
		wire.Services = append(wire.Services, &peerpb.DigestService{
			Name:     s.Name,
			Queued:   int32(s.Queued),
			InFlight: int32(s.InFlight),
		})
	}
	return wire
}

func digestFromWire(w *peerpb.Digest) Digest {
	m := Digest{Host: w.Host, Session: w.Session}
	for _, t := range w.Targets {
		if t.Announcement == nil {
			continue
		}
		m.Targets = append(m.Targets, DigestTarget{
			Announcement: AnnouncementFromWire(t.Announcement),
			Ready:        t.Ready,
			Cold:         t.Cold,
			Leaving:      t.Leaving,
			InFlight:     int(t.InFlight),
			WarmChats:    int(t.Chats),
		})
	}
	for _, s := range w.Services {
		m.Services = append(m.Services, DigestService{Name: s.Name, Queued: int(s.Queued), InFlight: int(s.InFlight)})
	}
	return m
}
