package admission

import "time"

// circuit keeps work from a target whose requests fail. It opens after some
// failures in a row, and after a wait lets a single request through.
type circuit struct {
	failures int
	wait     time.Duration
	openTill time.Time
	open     bool
	probing  bool
}

// closedFor reports whether the circuit holds work back now.
func (c *circuit) closedFor(now time.Time) bool {
	return c.open && (c.probing || now.Before(c.openTill))
}

// sent notes that a request was granted, which is the probe if it is open.
func (c *circuit) sent() {
	c.probing = c.open
}

// succeed closes the circuit.
func (c *circuit) succeed() {
	*c = circuit{}
}

// fail counts a failure. While open, only the probe's counts.
func (c *circuit) fail(now time.Time, probe bool) {
	c.failures++
	if c.open && !probe || c.failures < DefaultCircuitFailureThreshold {
		return
	}
	c.wait = min(max(2*c.wait, DefaultCircuitMinBackoff), DefaultCircuitMaxBackoff)
	c.open = true
	c.probing = false
	c.openTill = now.Add(c.wait)
}

// inconclusive ends a request that told nothing.
func (c *circuit) inconclusive(probe bool) {
	if probe {
		c.probing = false
	}
}
