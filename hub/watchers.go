package hub

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
)

const (
	// watcherTTL is how long a host counts as a watcher after its last long
	// poll, here or at another hub.
	watcherTTL = 5 * time.Second
	// recentWatchPeriod is the maximum time since the last poll of a host that
	// awaitPropagation waits for.
	recentWatchPeriod = 1500 * time.Millisecond
	// hostCountDelay is how long a hub must have run before it reports its
	// count of hosts: by then all of them have polled some hub.
	hostCountDelay = 6 * time.Second
	// coalesceDelay is how long changes of targets are collected before a
	// reply.
	coalesceDelay = 25 * time.Millisecond
	// maxLongPollWait limits the wait for changes.
	maxLongPollWait = 2 * time.Second
)

// watchers tracks the entry hosts that polled this hub or another one recently.
type watchers struct {
	clock   clockwork.Clock
	started time.Time

	mu         sync.Mutex
	localSeen  map[string]time.Time
	remoteSeen map[string]time.Time
	// revisions are the state revisions that the hosts had at their last poll
	// here.
	revisions map[string]uint64
	// requests are the numbers of the last requests of the hosts here, lastRequest is the
	// latest number.
	requests    map[string]uint64
	lastRequest uint64
	// hubRevisions are the last reports of the other hubs.
	hubRevisions map[string]hubRevision
	// servedAt is when the hosts last got a reply of this hub that confirmed its state.
	servedAt map[string]time.Time
	// digestAt is when the hosts were last sent a digest of the loads here.
	digestAt map[string]time.Time
}

// hubRevision is the lowest revision of the hosts that poll another hub.
type hubRevision struct {
	lowest uint64
	at     time.Time
}

func newWatchers(clock clockwork.Clock) *watchers {
	return &watchers{clock: clock, started: clock.Now(), localSeen: map[string]time.Time{}, remoteSeen: map[string]time.Time{}, revisions: map[string]uint64{}, requests: map[string]uint64{}, hubRevisions: map[string]hubRevision{}, digestAt: map[string]time.Time{}, servedAt: map[string]time.Time{}}
}

// recordWatch records a poll of a host and the state revision that it has.
func (w *watchers) recordWatch(host string, revision uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.localSeen[host] = w.clock.Now()
	w.revisions[host] = revision
}

// recordRequest records a request that replaces the earlier ones of the host. The result
// reports whether the host still waits for the reply: it has not sent another request, and its
// reply timeout has not passed.
func (w *watchers) recordRequest(m peer.WatchRequest) (isWanted func() bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.lastRequest++
	request := w.lastRequest
	w.requests[m.Host] = request
	return func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.requests[m.Host] == request && (m.ReplyTimeout <= 0 || w.clock.Since(now) <= m.ReplyTimeout)
	}
}

// recordServed records that a host gets a reply that confirms the state.
func (w *watchers) recordServed(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servedAt[host] = w.clock.Now()
}

// forgetServed records that the host is sent to another hub.
func (w *watchers) forgetServed(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.servedAt, host)
}

// isServed reports whether a host got such a reply within watcherTTL.
func (w *watchers) isServed(host string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, served := w.servedAt[host]
	return served && w.clock.Since(at) <= watcherTTL
}

// servedCount returns the number of hosts that got such a reply recently.
func (w *watchers) servedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, count := w.clock.Now(), 0
	for _, at := range w.servedAt {
		if now.Sub(at) < recentWatchPeriod {
			count++
		}
	}
	return count
}

// untilDigest returns the time until the host is due for the next digest; zero or less
// if it is now.
func (w *watchers) untilDigest(host string, interval time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digestAt[host].Add(interval).Sub(w.clock.Now())
}

// recordDigest records that the host is sent a digest now.
func (w *watchers) recordDigest(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.digestAt[host] = w.clock.Now()
}

// anyBehind reports whether a host that polled this hub or another one recently lacks the
// revision.
func (w *watchers) anyBehind(revision uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	for host, at := range w.localSeen {
		if now.Sub(at) < recentWatchPeriod && w.revisions[host] < revision {
			return true
		}
	}
	for _, other := range w.hubRevisions {
		if now.Sub(other.at) < recentWatchPeriod && other.lowest < revision {
			return true
		}
	}
	return false
}

// lowestRevision returns the lowest revision of the hosts that polled here recently and have a
// view; the largest number if there are none. A host without a view acts on none.
func (w *watchers) lowestRevision() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, lowest := w.clock.Now(), uint64(math.MaxUint64)
	for host, at := range w.localSeen {
		if revision := w.revisions[host]; revision > 0 && now.Sub(at) < recentWatchPeriod {
			lowest = min(lowest, revision)
		}
	}
	return lowest
}

// recordHubRevision records the lowest revision of the hosts that poll another hub.
func (w *watchers) recordHubRevision(hub string, lowest uint64) {
	if lowest == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hubRevisions[hub] = hubRevision{lowest: lowest, at: w.clock.Now()}
}

// recordRemote records the hosts that polled another hub.
func (w *watchers) recordRemote(hosts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, host := range hosts {
		w.remoteSeen[host] = w.clock.Now()
	}
}

// localHosts returns the sorted names of the hosts that polled here recently.
func (w *watchers) localHosts() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var hosts []string
	now := w.clock.Now()
	for host, at := range w.localSeen {
		if now.Sub(at) > watcherTTL {
			delete(w.localSeen, host)
			delete(w.revisions, host)
			delete(w.requests, host)
			delete(w.servedAt, host)
			delete(w.digestAt, host)
			continue
		}
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// localCount returns the number of hosts that polled here recently. It is called with each
// poll.
func (w *watchers) localCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, count := w.clock.Now(), 0
	for _, at := range w.localSeen {
		if now.Sub(at) <= watcherTTL {
			count++
		}
	}
	return count
}

// count returns the number of entry hosts; 0 while this hub has not run for
// long enough to know it.
func (w *watchers) count() int {
	if w.clock.Since(w.started) < hostCountDelay {
		return 0
	}
	return w.present()
}

// present returns the number of entry hosts that polled any hub recently.
func (w *watchers) present() int {
	local := w.localCount()
	w.mu.Lock()
	defer w.mu.Unlock()
	now, remote := w.clock.Now(), 0
	for host, at := range w.remoteSeen {
		if now.Sub(at) > watcherTTL {
			delete(w.remoteSeen, host)
			continue
		}
		if _, isLocal := w.localSeen[host]; !isLocal {
			remote++
		}
	}
	return local + remote
}
