package hub

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
)

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
		h.log.WithFields(fields).Info("Traffic with hosts and hubs: frames and bytes sent, frames and bytes received.")
	})
}
