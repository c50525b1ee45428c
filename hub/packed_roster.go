package hub

import (
	"sync"
	"time"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/roster"
)

// packedRosterTTL is how long a packed roster is sent after changes: hosts ask for these with
// their next polls.
const packedRosterTTL = 200 * time.Millisecond

// maxChangedTargets is the number of changed targets in a reply; the others follow with the next
// ones. After a start, the first hosts got all 3,000 targets, 63 KB each, while the others knew
// none of them for seconds: so all of them soon know some.
const maxChangedTargets = 256

// packedRoster holds the whole roster in the form in which it is sent to several hosts.
type packedRoster struct {
	hub *Hub

	mu      sync.Mutex
	packed  *peer.PackedEntries
	version uint64
	madeAt  time.Time
}

// get returns the packed roster and its version.
func (p *packedRoster) get() (*peer.PackedEntries, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.hub.Clock.Now()
	if version, _ := p.hub.roster.Version(); p.packed == nil || p.version != version && now.Sub(p.madeAt) >= packedRosterTTL {
		var entries []roster.Entry
		entries, p.version = p.hub.roster.ChangedSince(0)
		p.packed, p.madeAt = peer.PackEntries(entries), now
	}
	return p.packed, p.version
}

// addRoster adds what a host lacks of the roster to a reply: the changes since the version that it
// has from this hub, what differs from the one that it has from another hub, or all.
func (h *Hub) addRoster(m peer.WatchRequest, response *peer.WatchResponse) {
	if m.RosterVersion > 0 {
		response.Entries, response.RosterVersion = h.roster.NextChanges(m.RosterVersion, maxChangedTargets)
		return
	}
	entries, version, few := h.roster.MissingFrom(m.RosterSummary)
	switch {
	case few:
		response.Entries, response.RosterVersion = entries, version
	case m.ReadsPacked && h.roster.Count() > maxPromptChanges:
		response.Packed, response.RosterVersion = h.packed.get()
	default:
		response.Entries, response.RosterVersion = h.roster.ChangedSince(0)
	}
}
