package hub

import (
	"time"

	"comfreytiller.dev/peer"
)

const (
	// maxWaitingReplies is the number of replies that wait for the link from which on the
	// interval between two digests is busyDigestInterval: the hosts need the changes first, but
	// without loads they all choose the same targets.
	maxWaitingReplies  = 8
	busyDigestInterval = 500 * time.Millisecond
	// From maxWaitingForDigests on it is congestedDigestInterval. A reply without a digest does
	// not wait, and confirms the view at once; loads are used for 3 s.
	maxWaitingForDigests    = 32
	congestedDigestInterval = 1500 * time.Millisecond
)

// addDigest adds a digest of the loads to a reply, unless the host had one a moment ago.
// While targets come and go, replies with changes are far more frequent than digests,
// which would use up the hub's link if they came with each of them.
func (h *Hub) addDigest(host string, response *peer.WatchResponse) {
	if h.watchers.untilDigest(host, pacedDigestInterval(h.digestInterval(), h.node.BulkWaiting())) > 0 {
		response.WithoutLoads = true
		return
	}
	h.watchers.recordDigest(host)
	response.Loads, response.MeanLoad = h.loads.digest(h.roster.ReadyKeys)
}

// pacedDigestInterval returns the interval between two digests to a host while a number of
// replies wait for the link.
func pacedDigestInterval(interval time.Duration, waiting int) time.Duration {
	switch {
	case waiting > maxWaitingForDigests:
		return max(interval, congestedDigestInterval)
	case waiting > maxWaitingReplies:
		return max(interval, busyDigestInterval)
	}
	return interval
}
