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

// setHostCount sets the count of the hosts in a reply. Hosts limit themselves by the number
// that is back so far only where the link of the hubs is stated, and thus slow enough that a
// return takes a while.
func (h *Hub) setHostCount(response *peer.WatchResponse) {
	response.WatcherCount = h.watchers.count()
	if response.WatcherCount == 0 && h.Settings.Bandwidth > 0 {
		response.PresentCount = h.watchers.present()
	}
}

// handleWatch replies to the long poll of an entry host as soon as there are
// changes, or when its wait is over.
func (h *Hub) handleWatch(m peer.WatchRequest, reply peer.Reply) {
	if m.StateOnly {
		h.handleStateRequest(m, reply)
		return
	}
	h.deltas.recordPoll(m, m.RosterSource == h.rosterSource)
	h.watchers.recordWatch(m.Host, m.Revision)
	isWanted := h.watchers.recordRequest(m)
	h.loads.recordHost(m.Host, m.Loads)
	h.recordCrashReport(m.Host, m.CrashReport, m.Quarantined)
	h.recordRateLimits(m.Host, m.RateLimits)
	h.rollouts.record(m.Rollout)
	startedAt := h.Clock.Now()
	if !h.contact.await(h.contactWait(m)) {
		// The host will poll another hub. After an outage of all hosts,
		// hundreds of them poll while the replicas need the link for their
		// election, so this reply is kept small.
		reply(peer.WatchResponse{RosterSource: m.RosterSource, RosterVersion: m.RosterVersion, ReplicaAddresses: h.replicaAddresses()})
		return
	}
	if hubs := h.redirect(m.Host); len(hubs) > 0 {
		h.meters.redirected.Inc(1)
		reply(peer.WatchResponse{RosterSource: m.RosterSource, RosterVersion: m.RosterVersion, ReplicaAddresses: h.replicaAddresses(), RetryAfter: redirectDelay, Hubs: hubs})
		return
	}
	h.watchers.recordServed(m.Host)
	if m.RosterSource != h.rosterSource {
		m.RosterVersion, m.SuspectsVersion = 0, 0
	}
	m.MaxWait -= h.Clock.Since(startedAt)
	h.awaitChanges(m)
	if !isWanted() {
		return
	}
	pending := &pendingReply{hub: h, request: m, startedAt: startedAt, madeAt: h.Clock.Now()}
	response, revision := pending.compose()
	response.IsWanted = isWanted
	h.addDigest(m.Host, &response)
	suspects, version := h.quarantine.Suspects()
	if response.SuspectsVersion = version; version != m.SuspectsVersion {
		response.Suspects = suspects
	}
	pending.response, pending.revision = response, revision
	if m.RosterVersion > 0 {
		// After a whole roster, the host asks for the changes with its next poll.
		response.Pending = pending
	}
	h.replies.record(&response, m.RosterVersion == 0)
	reply(response)
}

// handleStateRequest replies to a request for the state view alone.
func (h *Hub) handleStateRequest(m peer.WatchRequest, reply peer.Reply) {
	if m.IsFirst {
		h.handleFirstRequest(m, reply)
		return
	}
	response := h.stateResponse(m)
	if len(response.Delta) > maxPolledDeltaBytes {
		h.deltas.reply(m, response, h.replica.Machine.View().Revision, len(response.Delta), func(message peer.Message) {
			if sent, ok := message.(peer.WatchResponse); ok {
				h.replies.record(&sent, false)
			}
			reply(message)
		})
		return
	}
	h.replies.record(&response, false)
	reply(response)
}

// stateResponse returns a reply with the state view alone. The view is read after the time
// at which it was confirmed.
func (h *Hub) stateResponse(m peer.WatchRequest) peer.WatchResponse {
	response := peer.WatchResponse{QuorumConfirmed: h.hasMajorityContact(), ConfirmedAge: h.contact.age()}
	view := h.replica.Machine.View()
	if view.Revision <= m.Revision {
		return response
	}
	response.Delta = h.replica.Machine.EncodedDeltaSince(m.Revision, m.FleetVersion)
	if m.MaxDeltaBytes > 0 && len(response.Delta) > m.MaxDeltaBytes {
		response.Delta, response.OmittedRevision = nil, view.Revision
	}
	return response
}

// awaitChanges returns when there are changes for the host, or when its wait is
// over.
func (h *Hub) awaitChanges(m peer.WatchRequest) {
	wait := min(m.MaxWait, maxLongPollWait)
	if len(m.Loads) > 0 || h.loads.hasLoad() {
		wait = min(wait, max(h.watchers.untilDigest(m.Host, h.digestInterval()), 0))
	}
	timer := h.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := h.replica.Machine.Changed()
		version, tableChanged := h.roster.Version()
		suspectsVersion, suspectsPublished := h.quarantine.UrgentVersion()
		if h.replica.Machine.View().Revision > max(m.Revision, m.PendingRevision) || version > m.RosterVersion || suspectsVersion > m.SuspectsVersion {
			return
		}
		select {
		case <-changed:
		case <-suspectsPublished:
		case <-tableChanged:
			h.coalesceChanges(m.RosterVersion, timer)
		case <-timer.Chan():
			return
		}
	}
}

// maxPromptChanges is the number of changed targets up to which a host is told of them after
// coalesceDelay.
const maxPromptChanges = 8

// coalesceChanges waits for more changes of targets, which come in bursts, or until waitTimer
// fires: for coalesceDelay, and for the interval of digests if more than maxPromptChanges targets
// have joined since the version. Otherwise each host would get thousands of them in tens of
// replies a second after a start, which took all of a hub's processor.
func (h *Hub) coalesceChanges(version uint64, waitTimer clockwork.Timer) {
	delay := h.Clock.NewTimer(coalesceDelay)
	defer delay.Stop()
	for prolonged := false; ; prolonged = true {
		select {
		case <-delay.Chan():
		case <-waitTimer.Chan():
			return
		}
		count, urgent := h.roster.PendingChanges(version)
		more := h.digestInterval() - coalesceDelay
		if prolonged || urgent || count <= maxPromptChanges || more <= 0 {
			return
		}
		delay.Reset(more)
	}
}

// replicaAddresses returns the peer addresses of the state replicas.
func (h *Hub) replicaAddresses() []string {
	var addresses []string
	for _, member := range h.replica.Quorum.Status().Members {
		addresses = append(addresses, member.Address)
	}
	return addresses
}
