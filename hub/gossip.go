package hub

import (
	"context"
	"sync"
	"time"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/roster"
)

const (
	// refreshInterval is the interval between two refreshes, which send the
	// announcements received here since the last one.
	refreshInterval = 500 * time.Millisecond
	// changeResendPeriod is how long a change is resent with each refresh: the
	// first message may be lost with its connection.
	changeResendPeriod = 3 * time.Second
)

// gossip sends to the other hubs what this hub receives itself: the
// announcements of targets, and the names and loads of the hosts that watch
// this hub.
type gossip struct {
	hub *Hub

	mu sync.Mutex
	// announced are the targets that announced themselves or left here since
	// the last refresh.
	announced map[string]bool
	// changedAt holds the targets with a change received here, and its time.
	changedAt map[string]time.Time
}

func newGossip(h *Hub) *gossip {
	return &gossip{hub: h, announced: map[string]bool{}, changedAt: map[string]time.Time{}}
}

// recordAnnouncement records that a target announced itself or left here, and
// broadcasts its entry if it changed.
func (g *gossip) recordAnnouncement(name string, changed bool) {
	g.mu.Lock()
	g.announced[name] = true
	if changed {
		g.changedAt[name] = g.hub.Clock.Now()
	}
	g.mu.Unlock()
	if entry, found := g.hub.roster.Get(name); found && changed {
		g.broadcast(peer.RosterUpdate{Host: g.hub.Settings.Host, Entries: []roster.Entry{entry}})
	}
}

// recordChange records a change of a target that is resent with the refreshes.
func (g *gossip) recordChange(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changedAt[name] = g.hub.Clock.Now()
}

// runRefresh sends the refreshes until ctx ends.
func (g *gossip) runRefresh(ctx context.Context) {
	ticks.Every(ctx, g.hub.Clock, refreshInterval, func(context.Context) {
		g.mu.Lock()
		pending := g.announced
		g.announced = map[string]bool{}
		for name, at := range g.changedAt {
			if g.hub.Clock.Since(at) > changeResendPeriod {
				delete(g.changedAt, name)
				continue
			}
			pending[name] = true
		}
		g.mu.Unlock()
		message := peer.RosterUpdate{
			Host: g.hub.Settings.Host, Watchers: g.hub.watchers.localHosts(), Quarantined: g.hub.quarantine.Quarantined(g.hub.Clock.Now()),
		}
		for name := range pending {
			if entry, found := g.hub.roster.Get(name); found {
				message.Entries = append(message.Entries, entry)
			}
		}
		g.broadcast(message)
	})
}

// runLoads sends the loads of the hosts that watch this hub to the other hubs
// until ctx ends.
func (g *gossip) runLoads(ctx context.Context) {
	hadLoads := false
	var last time.Time
	ticks.Every(ctx, g.hub.Clock, loadInterval, func(context.Context) {
		now := g.hub.Clock.Now()
		if now.Sub(last) < g.hub.digestInterval()-loadInterval/2 {
			return
		}
		own := g.hub.loads.hostTotals()
		if len(own) == 0 && !hadLoads {
			return
		}
		hadLoads, last = len(own) > 0, now
		g.broadcast(peer.RosterUpdate{Host: g.hub.Settings.Host, Loads: own})
	})
}

func (g *gossip) broadcast(message peer.RosterUpdate) {
	for _, address := range g.hub.replicaAddresses() {
		if address != g.hub.Settings.Peers {
			g.hub.node.Send(address, message)
		}
	}
}

// merge merges a message of another hub.
func (g *gossip) merge(m peer.RosterUpdate) {
	now := g.hub.Clock.Now()
	for _, entry := range m.Entries {
		if g.hub.roster.Merge(now, entry) {
			g.hub.logTargetChange(entry, m.Host)
		}
	}
	g.hub.watchers.recordRemote(m.Watchers)
	g.hub.mergeCrashReport(m.Host, m.CrashReport, m.Quarantined)
	if len(m.Loads) > 0 {
		g.hub.loads.recordHub(m.Host, m.Loads)
	}
}

// logTargetChange logs a change of a target's entry. from is the hub that
// received it.
func (h *Hub) logTargetChange(entry roster.Entry, from string) {
	h.log.WithFields(map[string]any{
		"Target": entry.Name, "Address": entry.Address, "FailureDomain": entry.FailureDomain, "Service": entry.Service,
		"State": entry.State, "WarmUp": entry.WarmUpRemaining, "Incarnation": entry.Incarnation, "Sequence": entry.Sequence, "From": from,
	}).Infof("Target %s is %s.", entry.Name, entry.State)
}
