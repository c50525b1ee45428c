package hub

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
)

const (
	// watcherLasts is how long a host counts after its last question, here or at
	// another hub.
	watcherLasts = 5 * time.Second
	// askedLately is how long ago a host may have asked that is still waited for.
	askedLately = 1500 * time.Millisecond
	// countAfter is how long a hub must have listened before its count of hosts
	// is told: all of them have asked somewhere by then.
	countAfter = 6 * time.Second
	// gatherPause is how long changes of targets are gathered.
	gatherPause = 25 * time.Millisecond
	// mostWait bounds the wait for news.
	mostWait = 2 * time.Second
)

// watchers are the entry hosts that were heard lately.
type watchers struct {
	clock   clockwork.Clock
	started time.Time

	mu   sync.Mutex
	own  map[string]time.Time
	told map[string]time.Time
	// revisions are what the hosts that ask here had when they last asked.
	revisions map[string]uint64
}

func newWatchers(clock clockwork.Clock) *watchers {
	return &watchers{clock: clock, started: clock.Now(), own: map[string]time.Time{}, told: map[string]time.Time{}, revisions: map[string]uint64{}}
}

// heard records that a host asked here, and the revision that it has.
func (w *watchers) heard(host string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own[host] = w.clock.Now()
	w.revisions[host] = revision
}

// behind reports whether a host that asked here lately lacks the revision.
func (w *watchers) behind(revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for host, at := range w.own {
		if now.Sub(at) < askedLately && w.revisions[host] < revision {
			return true
		}
	}
	return false
}

// take records the hosts that another hub heard.
func (w *watchers) take(hosts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, host := range hosts {
		w.told[host] = w.clock.Now()
	}
}

// list returns the hosts that asked here lately.
func (w *watchers) list() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []string
	now := w.clock.Now()
	for host, at := range w.own {
		if now.Sub(at) > watcherLasts {
			delete(w.own, host)
			delete(w.revisions, host)
			continue
		}
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// count returns the number of entry hosts; 0 while too little is known.
func (w *watchers) count() int {
	own := w.list()
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	if now.Sub(w.started) < countAfter {
		return 0
	}
	others := 0
	for host, at := range w.told {
		if now.Sub(at) > watcherLasts {
			delete(w.told, host)
			continue
		}
		if _, here := w.own[host]; !here {
			others++
		}
	}
	return len(own) + others
}

// watched answers an entry host as soon as there is news, or after its wait.
func (h *Hub) watched(m peer.WatchRequest, reply peer.Reply) {
	h.watchers.heard(m.Host, m.Revision)
	h.loads.host(m.Host, m.Loads)
	began := h.Clock.Now()
	if !h.touch.await(min(m.MaxWait, mostWait)) {
		// The host goes on to another hub. After a loss of all, hundreds ask, while
		// the replicas need the link for their election.
		reply(peer.WatchResponse{RosterSource: m.RosterSource, RosterVersion: m.RosterVersion, ReplicaAddresses: h.replicas()})
		return
	}
	if m.RosterSource != h.source {
		m.RosterVersion = 0
	}
	m.MaxWait -= h.Clock.Since(began)
	h.awaitNews(m)
	answer := peer.WatchResponse{
		QuorumConfirmed: h.inTouch(), RosterSource: h.source, WatcherCount: h.watchers.count(), ReplicaAddresses: h.replicas(),
	}
	if h.replica.Machine.View().Revision > m.Revision {
		answer.Delta = h.replica.Machine.EncodedDeltaSince(m.Revision, m.FleetVersion)
	}
	answer.Loads, answer.MeanLoad = h.loads.digest(h.table.Ready)
	answer.Entries, answer.RosterVersion = h.table.Since(m.RosterVersion)
	reply(answer)
}

func (h *Hub) awaitNews(m peer.WatchRequest) {
	wait := min(m.MaxWait, mostWait)
	if len(m.Loads) > 0 || h.loads.any() {
		wait = min(wait, interval(h.watchers.count()))
	}
	timer := h.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := h.replica.Machine.Changed()
		version, listed := h.table.Version()
		if h.replica.Machine.View().Revision > m.Revision || version > m.RosterVersion {
			return
		}
		select {
		case <-changed:
		case <-listed:
			// Changes of targets come in groups.
			h.gather(timer)
		case <-timer.Chan():
			return
		}
	}
}

// gather waits a moment for more changes, unless the wait is over.
func (h *Hub) gather(over clockwork.Timer) {
	more := h.Clock.NewTimer(gatherPause)
	defer more.Stop()
	select {
	case <-more.Chan():
	case <-over.Chan():
	}
}

// replicas returns the peer addresses of the state replicas.
func (h *Hub) replicas() []string {
	var addresses []string
	for _, member := range h.replica.Quorum.Status().Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
