package entry

import (
	"sync"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// maxRecentDeltas is the number of large deltas that a host keeps for others.
const maxRecentDeltas = 4

// recentDeltas are the last large deltas of the state view that this host has applied. Other
// hosts get them here, since the links of the hubs are slow.
type recentDeltas struct {
	mu     sync.Mutex
	deltas []recentDelta
}

// recentDelta is an encoded delta with the revision and fleet version of its base.
type recentDelta struct {
	revision     uint64
	fleetVersion uint64
	encoded      []byte
}

// record records an applied delta. last is the view before it; nil if there was none.
func (r *recentDeltas) record(last *registry.View, encoded []byte) {
	if last == nil || len(encoded) <= maxCheckedDeltaBytes {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deltas = append(r.deltas, recentDelta{revision: last.Revision, fleetVersion: last.FleetVersion, encoded: encoded})
	r.deltas = r.deltas[max(len(r.deltas)-maxRecentDeltas, 0):]
}

// response returns the reply to another host: a delta from its view, or none.
func (r *recentDeltas) response(m peer.WatchRequest) peer.WatchResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, delta := range r.deltas {
		if delta.revision == m.Revision && delta.fleetVersion == m.FleetVersion {
			return peer.WatchResponse{Delta: delta.encoded}
		}
	}
	return peer.WatchResponse{}
}
