// Package meter counts the control traffic of a process for its metrics.
//
// # Usage
//
//	control := meter.NewControlTraffic(scope)
//	control.AddSent(120)
package meter

import (
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// ControlTraffic counts the bytes of control traffic of one host, including
// handshakes, headers and framing.
type ControlTraffic struct {
	sent        atomic.Uint64
	received    atomic.Uint64
	sentCounter tally.Counter
	recvCounter tally.Counter
}

// NewControlTraffic returns a counter that reports the metric "control_bytes" in
// scope, tagged with the direction "in" or "out".
func NewControlTraffic(scope tally.Scope) *ControlTraffic {
	return &ControlTraffic{
		sentCounter: scope.Tagged(map[string]string{"direction": "out"}).Counter("control_bytes"),
		recvCounter: scope.Tagged(map[string]string{"direction": "in"}).Counter("control_bytes"),
	}
}

// AddSent counts n sent bytes.
func (c *ControlTraffic) AddSent(n int) {
	c.sent.Add(uint64(n))
	c.sentCounter.Inc(int64(n))
}

// AddReceived counts n received bytes.
func (c *ControlTraffic) AddReceived(n int) {
	c.received.Add(uint64(n))
	c.recvCounter.Inc(int64(n))
}

// Totals returns the number of bytes sent and received since the creation.
func (c *ControlTraffic) Totals() (sent, received uint64) {
	return c.sent.Load(), c.received.Load()
}
