package admission

import "time"

// circuit is the circuit breaker of one target. It opens after
// DefaultCircuitFailureThreshold consecutive failures, and after a backoff lets a
// single probe request through.
type circuit struct {
	failures  int
	backoff   time.Duration
	openUntil time.Time
	open      bool
	probing   bool
}

// blocks reports whether the circuit keeps new requests from the target now.
func (c *circuit) blocks(now time.Time) bool {
	return c.open && (c.probing || now.Before(c.openUntil))
}

// recordSent records that a request was granted. It is the probe if the circuit is
// open.
func (c *circuit) recordSent() {
	c.probing = c.open
}

// recordSuccess closes the circuit.
func (c *circuit) recordSuccess() {
	*c = circuit{}
}

// recordFailure counts a failure. While the circuit is open, only a failed probe
// counts.
func (c *circuit) recordFailure(now time.Time, probe bool) {
	c.failures++
	if c.open && !probe || c.failures < DefaultCircuitFailureThreshold {
		return
	}
	c.backoff = min(max(2*c.backoff, DefaultCircuitMinBackoff), DefaultCircuitMaxBackoff)
	c.open = true
	c.probing = false
	c.openUntil = now.Add(c.backoff)
}

// recordInconclusive records the end of a request that says nothing about the target's
// health.
func (c *circuit) recordInconclusive(probe bool) {
	if probe {
		c.probing = false
	}
}
