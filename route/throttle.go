package route

const (
	// throttleDepth is how many requests a slot may have in flight, the one that
	// runs included, before some are refused. Two waiting ones each still end
	// within a few times a request's own time.
	throttleDepth = 2.2
	// leastShare keeps a trickle that shows when there is room again.
	leastShare = 0.1
	// slowRise and fastRise are how much the share grows with each word on the
	// loads, while there is a queue and while there is none.
	slowRise = 0.04
	fastRise = 0.25
	// mostFall bounds how much one word lowers it.
	mostFall = 0.5
)

// Throttle is the share of requests to a plain service that a host lets through.
//
// It answers a service that lost most of its targets under full load. Without it
// the queues of those that are left stay full: every answer is late, and what
// finds no place in them has cost an attempt. Hosts learn of each other's requests
// with a delay in which many arrive, so they don't stop and start together at a
// bound but each lets a share through, lower the longer the queues are.
type Throttle struct{ share float64 }

// AdmitRate returns the share, 0 to 1.
func (t *Throttle) AdmitRate() float64 {
	if t.share == 0 {
		return 1
	}
	return t.share
}

// ObserveLoad takes the number of requests in flight on all targets that take work, and
// their slots.
func (t *Throttle) ObserveLoad(running float64, slots int) {
	bound := throttleDepth * float64(slots)
	share := t.AdmitRate()
	switch {
	case slots == 0:
		share = 1
	case running > bound:
		share *= max(bound/running, mostFall)
	case running < float64(slots):
		share += fastRise
	default:
		share += slowRise
	}
	t.share = min(max(share, leastShare), 1)
}

// Admits reports whether a request with this random point is let through.
func (t *Throttle) Admits(point uint64) bool {
	const points = 1 << 20
	return float64(point%points) < t.AdmitRate()*points
}
