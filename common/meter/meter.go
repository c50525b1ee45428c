// Package meter names the metrics that several parts share.
//
// # Usage
//
//	control := meter.NewControlTraffic(scope)
//	control.Sent(120)
package meter

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// ControlTraffic counts the bytes of control traffic of one host, handshakes, headers
// and framing included.
type ControlTraffic struct {
	sent        atomic.Uint64
	received    atomic.Uint64
	sentCounter tally.Counter
	recvCounter tally.Counter
}

// NewControlTraffic returns counters below scope: "control_bytes" tagged with the
// direction.
func NewControlTraffic(scope tally.Scope) *ControlTraffic {
	return &ControlTraffic{
		sentCounter: scope.Tagged(map[string]string{"direction": "out"}).Counter("control_bytes"),
		recvCounter: scope.Tagged(map[string]string{"direction": "in"}).Counter("control_bytes"),
	}
}

// AddSent adds n bytes sent.
func (c *ControlTraffic) AddSent(n int) {
	c.sent.Add(uint64(n))
	c.sentCounter.Inc(int64(n))
}

// AddReceived adds n bytes received.
func (c *ControlTraffic) AddReceived(n int) {
	c.received.Add(uint64(n))
	c.recvCounter.Inc(int64(n))
}

// Totals returns the bytes sent and received since the start.
func (c *ControlTraffic) Totals() (sent, received uint64) {
	return c.sent.Load(), c.received.Load()
}
