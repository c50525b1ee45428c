package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

const (
	// sharedViewRate is the rate at which a host passes on first views, in bytes per second:
	// a part of the slowest links of entry hosts, 7 Mbit/s. The rest is for callers.
	sharedViewRate = 600_000
	// maxSharedBacklog is how much sending time may be ahead of a view that is passed on. A
	// host that would wait for longer asks the hub for another source.
	maxSharedBacklog = 250 * time.Millisecond
	// sharedEntryBytes is about the size of a roster entry in a compressed reply.
	sharedEntryBytes = 32
)

// viewSource passes the state view and the roster of this host on to hosts without a view.
//
// Load: all hosts start at the same time, and the links of the hubs are too slow to send the
// view to each of them.
type viewSource struct {
	daemon *Entry
	clock  clockwork.Clock
	passed tally.Counter

	mu sync.Mutex
	// view is the view that encoded holds.
	view     *registry.View
	encoded  []byte
	checksum uint64
	// freeAt is when the link has sent what was passed on so far.
	freeAt time.Time
}

func newViewSource(e *Entry) *viewSource {
	return &viewSource{daemon: e, clock: e.Clock, passed: e.Scope.Counter("views_passed_on")}
}

// response returns the reply to a host that asks for its first view. It is empty if this host
// has no later view or no roster, or if it is passing on others. It confirms nothing.
func (s *viewSource) response(m peer.WatchRequest) peer.WatchResponse {
	// The entries may be later than the position, not earlier.
	position, view := s.daemon.watcher.position.Load(), s.daemon.view.latest()
	if position == nil || view == nil || view.Revision <= m.Revision {
		return peer.WatchResponse{}
	}
	entries := s.daemon.selector.rosterEntries()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.view != view {
		s.view, s.encoded = view, registry.EncodeView(view)
		s.checksum = xxhash.Sum64(s.encoded)
	}
	now := s.clock.Now()
	if s.freeAt.Sub(now) > maxSharedBacklog {
		return peer.WatchResponse{}
	}
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	size := len(s.encoded) + sharedEntryBytes*len(entries)
	s.freeAt = s.freeAt.Add(time.Duration(float64(size) / sharedViewRate * float64(time.Second)))
	s.passed.Inc(1)
	return peer.WatchResponse{
		Delta: s.encoded, Checksum: s.checksum, RosterSource: position.source, RosterVersion: position.version, Entries: entries,
		PresentCount: s.daemon.selector.hosts.starting(),
	}
}
