package hub

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
)

// replyCounts counts what the replies to hosts contain: whole rosters, entries of targets,
// digests of loads and state deltas.
//
// firstViews and firstBytes count the whole views for hosts without one.
type replyCounts struct{ rosters, entries, digests, deltas, deltaBytes, firstViews, firstBytes int }

// replyCounter counts the replies since the last log line.
type replyCounter struct {
	mu     sync.Mutex
	counts replyCounts
}

// record records a reply. isWhole is set if it contains the whole roster.
func (c *replyCounter) record(response *peer.WatchResponse, isWhole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isWhole || response.Packed != nil {
		c.counts.rosters++
	}
	c.counts.entries += len(response.Entries) + response.Packed.Count()
	if len(response.Loads) > 0 {
		c.counts.digests++
	}
	if len(response.Delta) > 0 {
		c.counts.deltas++
		c.counts.deltaBytes += len(response.Delta)
	}
}

// recordFirst records a whole view that is sent to a host without one.
func (c *replyCounter) recordFirst(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.firstViews++
	c.counts.firstBytes += bytes
}

// take returns the counts since the last call.
func (c *replyCounter) take() replyCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	c.counts = replyCounts{}
	return counts
}

// trafficLogInterval is the interval between two log lines of a hub's traffic.
const trafficLogInterval = time.Second

// logTraffic logs at intervals what the hub exchanged with hosts and other hubs, by the
// type of message, until ctx ends. Late is by how much the process was late for the line:
// a hub that lacks processor time is late for everything.
func (h *Hub) logTraffic(ctx context.Context) {
	last := h.Clock.Now()
	ticks.Every(ctx, h.Clock, trafficLogInterval, func(context.Context) {
		now := h.Clock.Now()
		elapsed := now.Sub(last)
		last = now
		var total peer.TypeTraffic
		fields := logrus.Fields{"Interval": elapsed, "Late": max(elapsed-trafficLogInterval, 0), "Hosts": len(h.watchers.localHosts())}
		for name, counted := range h.node.Traffic() {
			fields[name] = []int{counted.SentFrames, counted.SentBytes, counted.ReceivedFrames, counted.ReceivedBytes}
			total.SentBytes += counted.SentBytes
			total.ReceivedBytes += counted.ReceivedBytes
		}
		fields["Sent"], fields["Received"] = total.SentBytes, total.ReceivedBytes
		replies := h.replies.take()
		fields["Rosters"], fields["Entries"], fields["Digests"] = replies.rosters, replies.entries, replies.digests
		fields["Deltas"], fields["DeltaBytes"], fields["Waiting"] = replies.deltas, replies.deltaBytes, h.node.BulkWaiting()
		fields["FirstViews"], fields["FirstBytes"], fields["WaitingHosts"] = replies.firstViews, replies.firstBytes, h.deltas.waiting()
		waits := h.node.TakeBulkWaits()
		fields["WaitedChanges"], fields["WaitedState"], fields["WaitedLoads"] = waits.Changes, waits.State, waits.Loads
		fields["Redirected"] = h.balance.takeCount()
		h.log.WithFields(fields).Info("Traffic with hosts and hubs: frames and bytes sent, frames and bytes received.")
	})
}
