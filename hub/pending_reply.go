package hub

import (
	"time"

	"comfreytiller.dev/peer"
)

// maxDigestWait is how long a reply with nothing but a digest of loads waits for the link. The
// host polls again without one, so that the hub knows what the host has, and the host that its
// view is current.
const maxDigestWait = 250 * time.Millisecond

// pendingReply is the reply to the poll of a host while it waits for the link. It implements
// peer.PendingReply.
//
// Load: a large configuration, hundreds of hosts that join and targets that leave, at the same
// time. The digest of loads for a host waits for up to two seconds behind state deltas and first
// views. The host polls again only after the reply, so that leaving targets and small
// configurations waited with the digest.
type pendingReply struct {
	hub *Hub
	// request is the poll, which arrived at startedAt. The reply was made at madeAt.
	request           peer.WatchRequest
	startedAt, madeAt time.Time
	// response is the reply as it was made, with a state view of revision or a later one.
	response peer.WatchResponse
	revision uint64
}

// compose returns the reply without loads and suspects, and a revision that its state view has.
func (r *pendingReply) compose() (response peer.WatchResponse, revision uint64) {
	h := r.hub
	revision = h.replica.Machine.View().Revision
	response = h.stateResponse(r.request)
	response.RosterSource, response.ReplicaAddresses = h.rosterSource, h.replicaAddresses()
	h.setHostCount(&response)
	response.Held = h.Clock.Since(r.startedAt)
	h.addRoster(r.request, &response)
	return response, revision
}

// hasUrgentChange reports whether the state view has changed, or a target has left, since the
// reply was made.
func (r *pendingReply) hasUrgentChange() bool {
	return r.hub.replica.Machine.View().Revision > max(r.revision, r.request.PendingRevision) || r.hub.roster.HasLeftSince(r.response.RosterVersion)
}

// isOverdue reports whether the reply has nothing but a digest that has waited for maxDigestWait.
func (r *pendingReply) isOverdue() bool {
	return len(r.response.Entries) == 0 && len(r.response.Delta) == 0 && len(r.response.Suspects) == 0 && r.hub.Clock.Since(r.madeAt) >= maxDigestWait
}

// Urgent implements peer.PendingReply. The channel is also closed when the reply is overdue.
func (r *pendingReply) Urgent(stop <-chan struct{}) <-chan struct{} {
	urgent := make(chan struct{})
	go func() {
		overdue := r.hub.Clock.NewTimer(maxDigestWait)
		defer overdue.Stop()
		for {
			changed := r.hub.replica.Machine.Changed()
			_, tableChanged := r.hub.roster.Version()
			if r.hasUrgentChange() || r.isOverdue() {
				close(urgent)
				return
			}
			select {
			case <-changed:
			case <-tableChanged:
			case <-overdue.Chan():
			case <-stop:
				return
			}
		}
	}()
	return urgent
}

// Latest implements peer.PendingReply. With an urgent change, the reply has no loads, which would
// delay the same change for other hosts.
func (r *pendingReply) Latest() peer.WatchResponse {
	if !r.hasUrgentChange() && !r.isOverdue() {
		return r.response
	}
	latest, _ := r.compose()
	latest.IsWanted, latest.SuspectsVersion, latest.Suspects = r.response.IsWanted, r.response.SuspectsVersion, r.response.Suspects
	latest.WithoutLoads = true
	r.hub.replies.record(&latest, false)
	return latest
}
