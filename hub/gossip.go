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
	// refreshInterval is the pause between two tellings of what was heard here
	// since the last one.
	refreshInterval = 500 * time.Millisecond
	// repeatFor is how long a change is told again with each refresh: the first
	// telling may be lost with its connection.
	repeatFor = 3 * time.Second
)

// gossip tells the other hubs what this one hears of targets and hosts.
type gossip struct {
	hub *Hub

	mu sync.Mutex
	// heard are the targets that spoke to this hub since the last refresh.
	heard map[string]bool
	// changed are the targets whose change was heard here, with its time.
	changed map[string]time.Time
}

func newGossip(h *Hub) *gossip {
	return &gossip{hub: h, heard: map[string]bool{}, changed: map[string]time.Time{}}
}

// spoke records that a target spoke here, and passes on what changed.
func (g *gossip) spoke(name string, changed bool) {
	g.mu.Lock()
	g.heard[name] = true
	if changed {
		g.changed[name] = g.hub.Clock.Now()
	}
	g.mu.Unlock()
	if entry, known := g.hub.table.Get(name); known && changed {
		g.send(peer.RosterUpdate{Host: g.hub.Settings.Host, Entries: []roster.Entry{entry}})
	}
}

// run refreshes what the other hubs know.
func (g *gossip) run(ctx context.Context) {
	ticks.Every(ctx, g.hub.Clock, refreshInterval, func(context.Context) {
		g.mu.Lock()
		heard := g.heard
		g.heard = map[string]bool{}
		for name, at := range g.changed {
			if g.hub.Clock.Since(at) > repeatFor {
				delete(g.changed, name)
				continue
			}
			heard[name] = true
		}
		g.mu.Unlock()
		message := peer.RosterUpdate{Host: g.hub.Settings.Host, Watchers: g.hub.watchers.list()}
		for name := range heard {
			if entry, known := g.hub.table.Get(name); known {
				message.Entries = append(message.Entries, entry)
			}
		}
		g.send(message)
	})
}

// runLoads tells the other hubs the loads of the hosts that watch this one.
func (g *gossip) runLoads(ctx context.Context) {
	told := false
	var last time.Time
	ticks.Every(ctx, g.hub.Clock, loadInterval, func(context.Context) {
		now := g.hub.Clock.Now()
		if now.Sub(last) < interval(g.hub.watchers.count())-loadInterval/2 {
			return
		}
		own := g.hub.loads.own()
		if len(own) == 0 && !told {
			return
		}
		told, last = len(own) > 0, now
		g.send(peer.RosterUpdate{Host: g.hub.Settings.Host, Loads: own})
	})
}

func (g *gossip) send(message peer.RosterUpdate) {
	for _, address := range g.hub.replicas() {
		if address != g.hub.Settings.Peers {
			g.hub.node.Send(address, message)
		}
	}
}

// take takes what another hub heard.
func (g *gossip) take(m peer.RosterUpdate) {
	now := g.hub.Clock.Now()
	for _, entry := range m.Entries {
		if g.hub.table.Take(now, entry) {
			g.hub.logTarget(entry, m.Host)
		}
	}
	g.hub.watchers.take(m.Watchers)
	if len(m.Loads) > 0 {
		g.hub.loads.hub(m.Host, m.Loads)
	}
}

// logTarget writes the line of a change of what is believed of a target.
func (h *Hub) logTarget(entry roster.Entry, from string) {
	h.log.WithFields(map[string]any{
		"Target": entry.Name, "Address": entry.Address, "FailureDomain": entry.FailureDomain, "Service": entry.Service,
		"State": entry.State, "WarmUp": entry.WarmUp, "Incarnation": entry.Incarnation, "Sequence": entry.Sequence, "From": from,
	}).Infof("Target %s is %s.", entry.Name, entry.State)
}
