package route

const (
	// maxInFlightPerSlot is the number of requests per slot, running and queued, above
	// which some are refused. With two requests queued per slot, each still finishes
	// within a few times its own run time.
	maxInFlightPerSlot = 2.2
	// minAdmitRate keeps a few requests flowing, to detect when there is capacity
	// again.
	minAdmitRate = 0.1
	// queuedIncrease and idleIncrease are added to the rate with each load
	// observation, with and without requests queued.
	queuedIncrease = 0.04
	idleIncrease   = 0.25
	// minDecreaseFactor bounds how much one observation reduces the rate.
	minDecreaseFactor = 0.5
)

// Throttle controls the fraction of requests to a plain service that a host admits.
//
// It is designed for a service that loses most of its targets under full load.
// Without a throttle, the queues of the remaining targets stay full: every answer is
// late, and each request that finds a queue full has wasted an attempt. Hosts learn of
// each other's requests with a delay in which many more arrive. A common bound would
// make all hosts start and stop together, so each host instead admits a fraction that
// shrinks as the queues grow.
type Throttle struct{ admitRate float64 }

// AdmitRate returns the admitted fraction, from 0 to 1.
func (t *Throttle) AdmitRate() float64 {
	if t.admitRate == 0 {
		return 1
	}
	return t.admitRate
}

// ObserveLoad updates the rate with the number of requests in flight on all admitting
// targets and the number of their slots.
func (t *Throttle) ObserveLoad(running float64, slots int) {
	bound := maxInFlightPerSlot * float64(slots)
	rate := t.AdmitRate()
	switch {
	case slots == 0:
		rate = 1
	case running > bound:
		rate *= max(bound/running, minDecreaseFactor)
	case running < float64(slots):
		rate += idleIncrease
	default:
		rate += queuedIncrease
	}
	t.admitRate = min(max(rate, minAdmitRate), 1)
}

// Admits reports whether a request with the random number point is admitted.
func (t *Throttle) Admits(point uint64) bool {
	const points = 1 << 20
	return float64(point%points) < t.AdmitRate()*points
}
