package gateway

import "time"

// retryAfter returns the delay after which the caller may retry a request that failed for
// another reason than a refused permit.
func (d *dispatcher) retryAfter() time.Duration {
	if d.gateway.RetryAfter == nil {
		return d.gateway.settings.retryAfter
	}
	return d.gateway.RetryAfter(d.Service.Name, d.Deadline)
}
