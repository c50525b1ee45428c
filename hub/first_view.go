package hub

import (
	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/peer"
)

// rosterEntryBytes is about the size of a roster entry in a compressed reply.
const rosterEntryBytes = 32

// firstViewMeters count how hosts without a view are served.
type firstViewMeters struct {
	sent, bytes, referred, redirected tally.Counter
	waiting                           tally.Gauge
}

func newFirstViewMeters(scope tally.Scope) firstViewMeters {
	return firstViewMeters{
		sent: scope.Counter("first_views_sent"), bytes: scope.Counter("first_view_bytes_sent"), referred: scope.Counter("first_views_referred"),
		redirected: scope.Counter("hosts_redirected"), waiting: scope.Gauge("hosts_waiting_for_view"),
	}
}

// handleFirstRequest replies to a host without a state view: with the view and the roster, or
// with hosts that have them. A hub without contact with a majority keeps the host waiting, as
// in handleWatch, and sends neither: its view may be from before changes that are in force.
func (h *Hub) handleFirstRequest(m peer.WatchRequest, reply peer.Reply) {
	h.watchers.recordWatch(m.Host, m.Revision)
	isWanted := h.watchers.recordRequest(m)
	startedAt := h.Clock.Now()
	if !h.contact.await(h.contactWait(m)) {
		// One that lost its disk may be without contact for seconds.
		response := peer.WatchResponse{ReplicaAddresses: h.replicaAddresses(), Hubs: h.peerAddresses(h.balance.serving())}
		if len(response.Hubs) > 0 {
			response.RetryAfter = redirectDelay
		}
		reply(response)
		return
	}
	if hubs := h.redirect(m.Host); len(hubs) > 0 {
		h.meters.redirected.Inc(1)
		reply(peer.WatchResponse{ReplicaAddresses: h.replicaAddresses(), RetryAfter: redirectDelay, Hubs: hubs})
		return
	}
	h.watchers.recordServed(m.Host)
	m.MaxDeltaBytes = 0
	response := h.stateResponse(m)
	response.Held, response.ReplicaAddresses, response.IsWanted = h.Clock.Since(startedAt), h.replicaAddresses(), isWanted
	if len(response.Delta) == 0 {
		reply(response)
		return
	}
	size := len(response.Delta) + rosterEntryBytes*h.roster.Count()
	if size <= maxPolledDeltaBytes {
		reply(h.withRoster(m, response))
		return
	}
	h.deltas.reply(m, response, h.replica.Machine.View().Revision, size, func(message peer.Message) {
		h.meters.waiting.Update(float64(h.deltas.waiting()))
		if sent, ok := message.(peer.WatchResponse); ok && len(sent.Delta) > 0 {
			message = h.withRoster(m, sent)
		} else {
			h.meters.referred.Inc(1)
		}
		reply(message)
	})
}

// withRoster adds the roster to a reply with a whole view. The host asks for changes of this
// roster with its next poll.
func (h *Hub) withRoster(m peer.WatchRequest, response peer.WatchResponse) peer.WatchResponse {
	response.Checksum = xxhash.Sum64(response.Delta)
	response.RosterSource = h.rosterSource
	h.setHostCount(&response)
	h.addRoster(peer.WatchRequest{ReadsPacked: m.ReadsPacked}, &response)
	h.replies.record(&response, true)
	h.replies.recordFirst(len(response.Delta))
	h.meters.sent.Inc(1)
	h.meters.bytes.Inc(int64(len(response.Delta)))
	h.log.WithFields(logrus.Fields{"From": m.Host, "Bytes": len(response.Delta), "Entries": len(response.Entries) + response.Packed.Count(), "Direct": m.Direct, "WaitingHosts": h.deltas.waiting()}).
		Debug("Sending a first view to a host.")
	return response
}
