package hub

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
)

const (
	// maxOrigins is the maximum number of streams whose version a hub knows: those of 30 s
	// in a fleet with a few thousand streams a second.
	maxOrigins = 200_000
	// originRelayInterval is the interval at which hubs tell each other of streams.
	originRelayInterval = 50 * time.Millisecond
	// originRelayTimeout limits the wait until another hub has confirmed them.
	originRelayTimeout = time.Second
	// maxOriginWait limits the wait for the record of a stream.
	maxOriginWait = 500 * time.Millisecond
)

// originRelay knows which versions began the streams of the fleet. It tells the other hubs
// what hosts report to this one, until each of them has confirmed it.
type originRelay struct {
	hub   *Hub
	table *origin.Table
	log   *originLog

	mu sync.Mutex
	// pending are the records that a hub has not been sent, by its address; sending holds
	// the hubs that have not confirmed the last ones.
	pending map[string][]origin.Record
	sending map[string]bool
}

func newOriginRelay(h *Hub) *originRelay {
	table := origin.NewTable(maxOrigins)
	return &originRelay{
		hub: h, table: table, log: newOriginLog(h.Settings.State.Folder, table, h.Clock, h.Log, h.LedgerOptions...),
		pending: map[string][]origin.Record{}, sending: map[string]bool{},
	}
}

// record records what a host, or another hub, has reported.
func (r *originRelay) record(m peer.RosterUpdate) {
	unknown := r.table.Add(r.hub.Clock.Now(), m.Origins...)
	if len(unknown) == 0 {
		return
	}
	r.log.add(unknown)
	if m.Relayed {
		return
	}
	addresses := r.hub.replicaAddresses()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range addresses {
		if address != r.hub.Settings.Peers {
			r.queue(address, unknown)
		}
	}
}

// queue adds records to those that a hub is sent next. The caller must hold r.mu.
func (r *originRelay) queue(address string, records []origin.Record) {
	queued := append(r.pending[address], records...)
	r.pending[address] = queued[max(len(queued)-maxOrigins, 0):]
}

// run tells the other hubs of streams until ctx ends.
func (r *originRelay) run(ctx context.Context) {
	ticks.Every(ctx, r.hub.Clock, originRelayInterval, func(ctx context.Context) {
		r.mu.Lock()
		defer r.mu.Unlock()
		for address, records := range r.pending {
			if r.sending[address] {
				continue
			}
			delete(r.pending, address)
			r.sending[address] = true
			go r.send(ctx, address, records)
		}
	})
}

// send tells another hub of streams, and queues them again if it does not confirm them and
// is still a hub.
func (r *originRelay) send(ctx context.Context, address string, records []origin.Record) {
	ctx, cancel := clockwork.WithTimeout(ctx, r.hub.Clock, originRelayTimeout)
	defer cancel()
	_, err := r.hub.node.Call(ctx, address, peer.RosterUpdate{Host: r.hub.Settings.Host, Origins: records, Relayed: true})
	isHub := false
	for _, known := range r.hub.replicaAddresses() {
		isHub = isHub || known == address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sending, address)
	if err == nil || !isHub {
		return
	}
	now := r.hub.Clock.Now()
	var unexpired []origin.Record
	for _, record := range records {
		if record.Until.After(now) {
			unexpired = append(unexpired, record)
		}
	}
	if len(unexpired) > 0 {
		r.queue(address, unexpired)
	}
}

// find replies with the record of a stream, as soon as this hub knows it or when the wait is
// over.
func (r *originRelay) find(m peer.RosterUpdate, reply peer.Reply) {
	timer := r.hub.Clock.NewTimer(min(m.MaxWait, maxOriginWait))
	defer timer.Stop()
	response := peer.RosterUpdate{Host: r.hub.Settings.Host}
	for {
		now := r.hub.Clock.Now()
		version, found, added := r.table.FindOrWait(now, m.WantedOrigin)
		if found {
			response.Origins = []origin.Record{{Key: m.WantedOrigin, Version: version, Until: now.Add(time.Second)}}
			break
		}
		select {
		case <-added:
			continue
		case <-timer.Chan():
		}
		break
	}
	reply(response)
}
