package hub

import (
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
)

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
	response.Trials = h.grantTrials(m.Host, m.Refused)
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
