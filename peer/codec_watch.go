package peer

import (
	"maps"
	"slices"
	"time"

	"comfreytiller.dev/peer/peerpb"
	"comfreytiller.dev/target/roster"
)

func setWatchBody(wire *peerpb.Frame, message Message, now time.Time) {
	switch m := message.(type) {
	case Roster:
		wire.Body = &peerpb.Frame_Roster{Roster: &peerpb.Roster{
			Host: m.Host, Entries: entriesToWire(m.Entries, now), Watchers: m.Watchers,
			Loads: loadsToWire(m.Loads),
		}}
	case Watch:
		wire.Body = &peerpb.Frame_Watch{Watch: &peerpb.Watch{
			Host: m.Host, Revision: m.Revision, FleetVersion: m.FleetVersion,
			Source: m.Source, Roster: m.Roster, Wait: int64(m.Wait), Loads: loadsToWire(m.Loads),
		}}
	case Watched:
		wire.Body = &peerpb.Frame_Watched{Watched: &peerpb.Watched{
			Current: m.Current, Delta: m.Delta, Source: m.Source, Roster: m.Roster,
			Entries: entriesToWire(m.Entries, now), Hosts: int32(m.Hosts), Replicas: m.Replicas,
			Loads: loadsToWire(m.Loads), MeanLoad: m.MeanLoad,
		}}
	case Join:
		wire.Body = &peerpb.Frame_Join{Join: &peerpb.Join{Id: m.ID, Host: m.Host, Address: m.Address, Passed: m.Passed}}
	}
}

func watchBody(wire *peerpb.Frame, now time.Time) Message {
	switch b := wire.Body.(type) {
	case *peerpb.Frame_Roster:
		return Roster{Host: b.Roster.Host, Entries: entriesFromWire(b.Roster.Entries, now), Watchers: b.Roster.Watchers, Loads: loadsFromWire(b.Roster.Loads)}
	case *peerpb.Frame_Watch:
		w := b.Watch
		return Watch{
			Host: w.Host, Revision: w.Revision, FleetVersion: w.FleetVersion,
			Source: w.Source, Roster: w.Roster, Wait: time.Duration(w.Wait), Loads: loadsFromWire(w.Loads),
		}
	case *peerpb.Frame_Watched:
		w := b.Watched
		return Watched{
			Current: w.Current, Delta: w.Delta, Source: w.Source, Roster: w.Roster,
			Entries: entriesFromWire(w.Entries, now), Hosts: int(w.Hosts), Replicas: w.Replicas,
			Loads: loadsFromWire(w.Loads), MeanLoad: w.MeanLoad,
		}
	case *peerpb.Frame_Join:
		return Join{ID: b.Join.Id, Host: b.Join.Host, Address: b.Join.Address, Passed: b.Join.Passed}
	}
	return nil
}

// entriesToWire sends ages in place of times, since clocks differ.
func entriesToWire(entries []roster.Entry, now time.Time) []*peerpb.RosterEntry {
	var wire []*peerpb.RosterEntry
	for _, entry := range entries {
		wire = append(wire, &peerpb.RosterEntry{
			Announcement: AnnouncementToWire(entry.Announcement), State: string(entry.State),
			WarmUp: int64(entry.WarmUpRemaining), Age: int64(now.Sub(entry.LastSeen)), Silent: entry.Silent,
		})
	}
	return wire
}

func entriesFromWire(wire []*peerpb.RosterEntry, now time.Time) []roster.Entry {
	var entries []roster.Entry
	for _, w := range wire {
		if w.Announcement == nil {
			continue
		}
		entries = append(entries, roster.Entry{
			Announcement: AnnouncementFromWire(w.Announcement), State: roster.State(w.State),
			WarmUpRemaining: time.Duration(w.WarmUp), LastSeen: now.Add(-time.Duration(w.Age)), Silent: w.Silent,
		})
	}
	return entries
}

func loadsToWire(loads map[string]int) []*peerpb.TargetLoad {
	var wire []*peerpb.TargetLoad
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		wire = append(wire, &peerpb.TargetLoad{Target: name, Running: int32(loads[name])})
	}
	return wire
}

func loadsFromWire(wire []*peerpb.TargetLoad) map[string]int {
	if len(wire) == 0 {
		return nil
	}
	loads := make(map[string]int, len(wire))
	for _, w := range wire {
		loads[w.Target] = int(w.Running)
	}
	return loads
}
