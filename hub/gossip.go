package hub

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

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
	// relayedRefreshes is the number of refreshes with which a change that another hub received
	// is sent: nothing may pass between that hub and a third one.
	relayedRefreshes = 2
	// maxRelayedRenewals is the number of such changes in a refresh that renewals tell. After a
	// start all targets have changed, and each hub would pass on those of all others at once.
	maxRelayedRenewals = 256
	// revisionInterval is the interval at which hubs tell of the views of their hosts.
	revisionInterval = 50 * time.Millisecond
	// shareTimeout limits the wait until a majority of the hubs has confirmed a leave. A
	// target waits a second for the acknowledgement.
	shareTimeout = 600 * time.Millisecond
	// otherHubsTimeout limits the wait for the hubs beyond the majority.
	otherHubsTimeout = 150 * time.Millisecond
	// sharedLeaveTTL is how long a target that has left may still announce itself.
	sharedLeaveTTL = 2 * time.Minute
)

// errNoMajority reports a change that a majority of the hubs has not confirmed.
var errNoMajority = errors.New("no majority of the hubs has confirmed the change")

// gossip sends to the other hubs what this hub receives itself: the
// announcements of targets, and the names and loads of the hosts that watch
// this hub.
type gossip struct {
	hub *Hub

	mu sync.Mutex
	// announced are the targets that announced themselves or left here since
	// the last refresh.
	announced map[string]bool
	// changedAt holds the targets with a change received here, and its time. relays holds those
	// with a change received from another hub, and with how many refreshes it is still sent.
	changedAt map[string]time.Time
	relays    map[string]int
	// unsent are the targets with a change received here whose entries have not been sent yet;
	// wake has a signal if there are any.
	unsent map[string]bool
	wake   chan struct{}
	// readsRenewals holds whether the other hubs understand renewals, by their last reports.
	readsRenewals map[string]bool
	// sharedLeaves holds the targets that are leaving or gone, as a majority of the hubs
	// knows.
	sharedLeaves map[string]sharedLeave
}

// sharedLeave is the state of a target that a majority of the hubs has confirmed.
type sharedLeave struct {
	incarnation uint64
	state       roster.State
	at          time.Time
}

func newGossip(h *Hub) *gossip {
	return &gossip{
		hub: h, announced: map[string]bool{}, changedAt: map[string]time.Time{}, relays: map[string]int{},
		unsent: map[string]bool{}, wake: make(chan struct{}, 1), readsRenewals: map[string]bool{}, sharedLeaves: map[string]sharedLeave{},
	}
}

// recordAnnouncement records that a target announced itself or left here. If its entry changed,
// runChanges sends it.
func (g *gossip) recordAnnouncement(name string, changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announced[name] = true
	if !changed {
		return
	}
	g.changedAt[name] = g.hub.Clock.Now()
	g.unsent[name] = true
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// shareLeave returns once a majority of the hubs knows that a target is leaving or gone, and
// the others have had otherHubsTimeout to reply. Until then the target must not be
// told that it gets no more requests: if this hub stopped or were cut off, nobody would know.
func (g *gossip) shareLeave(ctx context.Context, entry roster.Entry) error {
	shared := sharedLeave{incarnation: entry.Incarnation, state: entry.State, at: g.hub.Clock.Now()}
	g.mu.Lock()
	known := g.sharedLeaves[entry.Name]
	g.mu.Unlock()
	if known.incarnation == shared.incarnation && known.state == shared.state {
		return nil
	}
	if err := g.confirmByMajority(ctx, peer.RosterUpdate{Host: g.hub.Settings.Host, Entries: []roster.Entry{entry}}); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sharedLeaves[entry.Name] = shared
	return nil
}

// confirmByMajority sends a message to the other hubs and returns once a majority, this hub
// included, has confirmed it, and the others have had otherHubsTimeout to do so.
func (g *gossip) confirmByMajority(ctx context.Context, message peer.RosterUpdate) error {
	addresses := g.hub.replicaAddresses()
	ctx, cancel := clockwork.WithTimeout(ctx, g.hub.Clock, shareTimeout)
	replies := make(chan error, len(addresses))
	for _, address := range addresses {
		if address == g.hub.Settings.Peers {
			replies <- nil
			continue
		}
		go func() {
			_, err := g.hub.node.Call(ctx, address, message)
			replies <- err
		}()
	}
	confirmed, failed := 0, 0
	for confirmed <= len(addresses)/2 {
		select {
		case err := <-replies:
			if err == nil {
				confirmed++
			} else if failed++; failed >= len(addresses)-len(addresses)/2 {
				cancel()
				return errors.Wrapf(errNoMajority, "%d of %d hubs confirmed the change: %v", confirmed, len(addresses), err)
			}
		case <-ctx.Done():
			cancel()
			return errors.Wrapf(errNoMajority, "%d of %d hubs confirmed the change in time", confirmed, len(addresses))
		}
	}
	timer := g.hub.Clock.NewTimer(otherHubsTimeout)
	defer timer.Stop()
	for confirmed+failed < len(addresses) {
		select {
		case err := <-replies:
			if err == nil {
				confirmed++
			} else {
				failed++
			}
		case <-timer.Chan():
			// The calls end with ctx: the message may still reach a slow hub.
			return nil
		}
	}
	cancel()
	return nil
}

// recordChange records a change of a target that is resent with the refreshes.
func (g *gossip) recordChange(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.changedAt[name] = g.hub.Clock.Now()
}

// recordRelay records a change of a target that another hub sent.
func (g *gossip) recordRelay(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relays[name] = relayedRefreshes
}

// runRefresh sends the refreshes until ctx ends.
func (g *gossip) runRefresh(ctx context.Context) {
	ticks.Every(ctx, g.hub.Clock, refreshInterval, func(context.Context) {
		pending := g.takePending()
		g.dropOldLeaves()
		g.hub.voters.refresh()
		message := g.hub.voters.report()
		message.Watchers, message.LowestRevision = g.hub.watchers.localHosts(), g.hub.watchers.lowestRevision()
		message.Quarantined = g.hub.quarantine.Quarantined(g.hub.Clock.Now())
		g.sendRefresh(message, pending)
	})
}

// takePending returns the names of the targets that are sent with a refresh: those that announced
// themselves since the last one, and those with a recent change.
func (g *gossip) takePending() map[string]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pending := g.announced
	g.announced = map[string]bool{}
	g.addRecentChanges(pending)
	g.addRelays(pending)
	return pending
}

// addRecentChanges adds the targets with a recent change received here to pending. A change that
// a renewal tells is not repeated: the next announcement is the next renewal. The caller must hold
// g.mu.
func (g *gossip) addRecentChanges(pending map[string]bool) {
	for name, at := range g.changedAt {
		if _, renewable := g.hub.roster.Renewal(name); renewable || g.hub.Clock.Since(at) > changeResendPeriod {
			delete(g.changedAt, name)
			continue
		}
		pending[name] = true
	}
}

// addRelays adds the targets with a change that another hub received to pending, up to
// maxRelayedRenewals of those that a renewal tells. The caller must hold g.mu.
func (g *gossip) addRelays(pending map[string]bool) {
	renewals := 0
	for name, refreshes := range g.relays {
		if _, renewable := g.hub.roster.Renewal(name); renewable {
			if renewals == maxRelayedRenewals {
				continue
			}
			renewals++
		}
		pending[name] = true
		if g.relays[name]--; refreshes <= 1 {
			delete(g.relays, name)
		}
	}
}

// dropOldLeaves forgets the shared leaves of targets that the roster has forgotten.
func (g *gossip) dropOldLeaves() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, shared := range g.sharedLeaves {
		if g.hub.Clock.Since(shared.at) > sharedLeaveTTL {
			delete(g.sharedLeaves, name)
		}
	}
}

// runRevisions tells the other hubs until ctx ends when the lowest revision of the hosts that
// watch this hub has changed.
func (g *gossip) runRevisions(ctx context.Context) {
	var last uint64
	ticks.Every(ctx, g.hub.Clock, revisionInterval, func(context.Context) {
		if lowest := g.hub.watchers.lowestRevision(); lowest != last {
			last = lowest
			g.broadcast(peer.RosterUpdate{Host: g.hub.Settings.Host, LowestRevision: lowest})
		}
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
	others := slices.DeleteFunc(g.hub.replicaAddresses(), func(address string) bool { return address == g.hub.Settings.Peers })
	g.hub.node.SendAll(others, message)
}

// merge merges a message of another hub.
func (g *gossip) merge(m peer.RosterUpdate) {
	now := g.hub.Clock.Now()
	for _, entry := range m.Entries {
		if g.hub.roster.Merge(now, entry) {
			g.hub.logTargetChange(entry, m.Host)
			g.recordRelay(entry.Name)
		}
	}
	g.mergeRenewals(m)
	g.hub.voters.record(m)
	g.hub.membership.silence.record(m)
	g.hub.rollouts.merge(m.RolloutSource, m.Rollouts)
	g.hub.origins.record(m)
	g.hub.watchers.recordHubRevision(m.Host, m.LowestRevision)
	g.hub.watchers.recordRemote(m.Watchers)
	if len(m.Replica) > 0 {
		g.hub.balance.recordReport(m.Host, m.Served, m.Serves)
	}
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
