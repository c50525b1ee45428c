package peer

import (
	"maps"
	"slices"
	"time"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/admission/rollout"
	"comfreytiller.dev/peer/peerpb"
	"comfreytiller.dev/target/roster"
)

func encodeWatchBody(wire *peerpb.Frame, message Message, now time.Time) {
	switch m := message.(type) {
	case RosterUpdate:
		wire.Body = &peerpb.Frame_Roster{Roster: &peerpb.Roster{
			Host: m.Host, Entries: entriesToWire(m.Entries, now), Watchers: m.Watchers,
			Loads: loadsToWire(m.Loads), Evidence: crashReportToWire(m.CrashReport, now), Quarantined: suspectsToWire(m.Quarantined, now),
			Origins: originsToWire(m.Origins, now), Relayed: m.Relayed, WantedOrigin: uint64(m.WantedOrigin), Wait: int64(m.MaxWait), LowestRevision: m.LowestRevision,
			Replica: m.Replica, FleetVersion: m.FleetVersion, OutageVersion: m.OutageVersion,
			Rollouts: rolloutsToWire(m.Rollouts), RolloutSource: m.RolloutSource, RolloutVersion: m.RolloutVersion,
			Serves: m.Serves, Served: int32(m.Served),
			Renewals: renewalsToWire(m.Renewals, now), ReadsRenewals: m.ReadsRenewals, Wanted: fingerprintsToWire(m.Wanted), SilentVoters: m.SilentVoters,
		}}
	case WatchRequest:
		wire.Body = &peerpb.Frame_Watch{Watch: &peerpb.Watch{
			Host: m.Host, Revision: m.Revision, FleetVersion: m.FleetVersion,
			Source: m.RosterSource, Roster: m.RosterVersion, Wait: int64(m.MaxWait), Loads: loadsToWire(m.Loads),
			Evidence: crashReportToWire(m.CrashReport, now), Suspects: m.SuspectsVersion, Quarantined: suspectsToWire(m.Quarantined, now),
			RateLimits: rateLimitReportsToWire(m.RateLimits, now), StateOnly: m.StateOnly, MaxDelta: int32(m.MaxDeltaBytes),
			PeerAddress: m.PeerAddress, PendingRevision: m.PendingRevision, Direct: m.Direct, Rollouts: rolloutsToWire(m.Rollout.Services),
			First: m.IsFirst, ReplyTimeout: int64(m.ReplyTimeout), PassesViews: m.PassesViews, RosterSummary: fingerprintsToWire(m.RosterSummary), ReadsPacked: m.ReadsPacked,
			Refused: subjectsToWire(m.Refused),
		}}
	case WatchResponse:
		wire.Body = &peerpb.Frame_Watched{Watched: &peerpb.Watched{
			Current: m.QuorumConfirmed, Delta: m.Delta, Source: m.RosterSource, Roster: m.RosterVersion,
			Entries: entriesToWire(m.Entries, now), Hosts: hostsToWire(&m), Replicas: m.ReplicaAddresses,
			Loads: loadsToWire(m.Loads), MeanLoad: m.MeanLoad, WithoutLoads: m.WithoutLoads,
			SuspectsVersion: m.SuspectsVersion, Suspects: suspectsToWire(m.Suspects, now),
			ConfirmedAge: int64(m.ConfirmedAge), Held: int64(m.Held), OmittedRevision: m.OmittedRevision, Sources: m.Sources, Checksum: m.Checksum,
			RetryAfter: int64(m.RetryAfter), Hubs: m.Hubs, Trials: subjectsToWire(m.Trials),
		}}
	case JoinRequest:
		wire.Body = &peerpb.Frame_Join{Join: &peerpb.Join{Id: m.ID, Host: m.Host, Address: m.Address, Passed: m.Forwarded}}
	}
}

func decodeWatchBody(wire *peerpb.Frame, now time.Time) Message {
	switch b := wire.Body.(type) {
	case *peerpb.Frame_Roster:
		return RosterUpdate{
			Host: b.Roster.Host, Entries: entriesFromWire(b.Roster.Entries, now), Watchers: b.Roster.Watchers, Loads: loadsFromWire(b.Roster.Loads),
			CrashReport: crashReportFromWire(b.Roster.Evidence, now), Quarantined: suspectsFromWire(b.Roster.Quarantined, now),
			Origins: originsFromWire(b.Roster.Origins, now), Relayed: b.Roster.Relayed, WantedOrigin: origin.Key(b.Roster.WantedOrigin), MaxWait: time.Duration(b.Roster.Wait), LowestRevision: b.Roster.LowestRevision,
			Replica: b.Roster.Replica, FleetVersion: b.Roster.FleetVersion, OutageVersion: b.Roster.OutageVersion,
			Rollouts: rolloutsFromWire(b.Roster.Rollouts), RolloutSource: b.Roster.RolloutSource, RolloutVersion: b.Roster.RolloutVersion,
			Serves: b.Roster.Serves, Served: int(b.Roster.Served),
			Renewals: renewalsFromWire(b.Roster.Renewals, now), ReadsRenewals: b.Roster.ReadsRenewals, Wanted: fingerprintsFromWire(b.Roster.Wanted), SilentVoters: b.Roster.SilentVoters,
		}
	case *peerpb.Frame_Watch:
		w := b.Watch
		return WatchRequest{
			Host: w.Host, Revision: w.Revision, FleetVersion: w.FleetVersion,
			RosterSource: w.Source, RosterVersion: w.Roster, MaxWait: time.Duration(w.Wait), Loads: loadsFromWire(w.Loads),
			CrashReport: crashReportFromWire(w.Evidence, now), SuspectsVersion: w.Suspects, Quarantined: suspectsFromWire(w.Quarantined, now),
			RateLimits: rateLimitReportsFromWire(w.RateLimits, now), StateOnly: w.StateOnly, MaxDeltaBytes: int(w.MaxDelta),
			PeerAddress: w.PeerAddress, PendingRevision: w.PendingRevision, Direct: w.Direct, Rollout: rollout.Report{Services: rolloutsFromWire(w.Rollouts)},
			IsFirst: w.First, ReplyTimeout: time.Duration(w.ReplyTimeout), PassesViews: w.PassesViews, RosterSummary: fingerprintsFromWire(w.RosterSummary), ReadsPacked: w.ReadsPacked,
			Refused: subjectsFromWire(w.Refused),
		}
	case *peerpb.Frame_Watched:
		w := b.Watched
		return WatchResponse{
			QuorumConfirmed: w.Current, Delta: w.Delta, RosterSource: w.Source, RosterVersion: w.Roster,
			Entries: entriesFromWire(w.Entries, now), WatcherCount: int(max(w.Hosts, 0)), PresentCount: int(max(-w.Hosts, 0)), ReplicaAddresses: w.Replicas,
			Loads: loadsFromWire(w.Loads), MeanLoad: w.MeanLoad, WithoutLoads: w.WithoutLoads,
			SuspectsVersion: w.SuspectsVersion, Suspects: suspectsFromWire(w.Suspects, now),
			ConfirmedAge: time.Duration(w.ConfirmedAge), Held: time.Duration(w.Held), OmittedRevision: w.OmittedRevision, Sources: w.Sources, Checksum: w.Checksum,
			RetryAfter: time.Duration(w.RetryAfter), Hubs: w.Hubs, Trials: subjectsFromWire(w.Trials),
		}
	case *peerpb.Frame_Join:
		return JoinRequest{ID: b.Join.Id, Host: b.Join.Host, Address: b.Join.Address, Forwarded: b.Join.Passed}
	}
	return nil
}

// hostsToWire sends a count that is not final as a negative number, which earlier releases
// ignore like 0.
func hostsToWire(m *WatchResponse) int32 {
	if m.WatcherCount > 0 {
		return int32(m.WatcherCount)
	}
	return -int32(m.PresentCount)
}

// ageUnit is the precision of the ages of entries. Nanoseconds would take four bytes of an
// entry of 30, which compression can't shorten.
const ageUnit = 10 * time.Millisecond

// entriesToWire sends ages instead of timestamps, since the clocks of hosts
// differ.
func entriesToWire(entries []roster.Entry, now time.Time) []*peerpb.RosterEntry {
	var wire []*peerpb.RosterEntry
	for _, entry := range entries {
		wire = append(wire, &peerpb.RosterEntry{
			Announcement: AnnouncementToWire(entry.Announcement), State: string(entry.State),
			WarmUp: int64(entry.WarmUpRemaining), Age: int64(now.Sub(entry.LastSeen).Truncate(ageUnit)), Silent: entry.Silent,
			RateLimit: rateLimitToWire(entry.RateLimit, now),
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
			RateLimit: rateLimitFromWire(w.RateLimit, now),
		})
	}
	return entries
}

func loadsToWire(loads map[roster.Key]int) *peerpb.Loads {
	if len(loads) == 0 {
		return nil
	}
	wire := &peerpb.Loads{}
	for _, key := range slices.Sorted(maps.Keys(loads)) {
		wire.Targets = append(wire.Targets, uint32(key))
		wire.Running = append(wire.Running, uint32(max(loads[key], 0)))
	}
	return wire
}

// loadsFromWire returns nil for a message without loads, and ignores targets without a
// number.
func loadsFromWire(wire *peerpb.Loads) map[roster.Key]int {
	count := min(len(wire.GetTargets()), len(wire.GetRunning()))
	if count == 0 {
		return nil
	}
	loads := make(map[roster.Key]int, count)
	for i := range count {
		loads[roster.Key(wire.Targets[i])] = int(wire.Running[i])
	}
	return loads
}
