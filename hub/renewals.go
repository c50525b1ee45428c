package hub

import (
	"context"
	"time"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/roster"
)

// changeInterval is the minimum interval between two messages with changes of targets. A change
// that comes alone is sent at once.
//
// Load: after a start thousands of targets announce themselves within an announcement interval.
// A message for each of them would take most of a hub's processor.
const changeInterval = 20 * time.Millisecond

// runChanges sends the changes of targets that this hub received until ctx ends.
func (g *gossip) runChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		g.sendChanges()
		timer := g.hub.Clock.NewTimer(changeInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.Chan():
		}
	}
}

// sendChanges sends the entries of the targets that changed since the last call.
func (g *gossip) sendChanges() {
	g.mu.Lock()
	changed := g.unsent
	g.unsent = map[string]bool{}
	g.mu.Unlock()
	message := peer.RosterUpdate{Host: g.hub.Settings.Host}
	for name := range changed {
		if entry, found := g.hub.roster.Get(name); found {
			message.Entries = append(message.Entries, entry)
		}
	}
	if len(message.Entries) > 0 {
		g.broadcast(message)
	}
}

// sendRefresh sends a refresh with the pending targets to the other hubs: as renewals where a
// renewal tells all and the hub understands it, as entries otherwise.
func (g *gossip) sendRefresh(message peer.RosterUpdate, pending map[string]bool) {
	var renewals []roster.Renewal
	var entries, renewable []roster.Entry
	for name := range pending {
		renewal, isRenewable := g.hub.roster.Renewal(name)
		entry, found := g.hub.roster.Get(name)
		switch {
		case !found:
		case isRenewable:
			renewals, renewable = append(renewals, renewal), append(renewable, entry)
		default:
			entries = append(entries, entry)
		}
	}
	var renewing, others []string
	for _, member := range g.hub.replica.Quorum.Status().Members {
		switch {
		case member.Address == g.hub.Settings.Peers:
		case g.understandsRenewals(member.Host):
			renewing = append(renewing, member.Address)
		default:
			others = append(others, member.Address)
		}
	}
	message.Entries, message.Renewals = entries, renewals
	g.hub.node.SendAll(renewing, message)
	message.Entries, message.Renewals = append(renewable, entries...), nil
	g.hub.node.SendAll(others, message)
}

// understandsRenewals reports whether a hub understands renewals, which earlier releases don't.
func (g *gossip) understandsRenewals(hub string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readsRenewals[hub]
}

// mergeRenewals merges the renewals of another hub, asks it for the entries that are missing here
// and sends those that it asks for.
func (g *gossip) mergeRenewals(m peer.RosterUpdate) {
	if m.Replica != "" {
		g.mu.Lock()
		g.readsRenewals[m.Host] = m.ReadsRenewals
		g.mu.Unlock()
	}
	now := g.hub.Clock.Now()
	var wanted []roster.Fingerprint
	for _, renewal := range m.Renewals {
		entry, known, changed := g.hub.roster.Renew(now, renewal)
		switch {
		case !known:
			wanted = append(wanted, renewal.Fingerprint)
		case changed:
			g.hub.logTargetChange(entry, m.Host)
			g.recordRelay(entry.Name)
		}
	}
	reply := peer.RosterUpdate{Host: g.hub.Settings.Host, Wanted: wanted, Entries: g.hub.roster.WithFingerprints(m.Wanted)}
	if len(reply.Wanted) == 0 && len(reply.Entries) == 0 {
		return
	}
	for _, address := range g.hub.peerAddresses([]string{m.Host}) {
		g.hub.node.Send(address, reply)
	}
}
