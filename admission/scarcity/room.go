package scarcity

import (
	"math"
	"time"
)

// Kind is what the targets of a service are like.
type Kind struct {
	// FilledPerSlot is the number of requests in flight per slot that a service in need
	// is kept at. Requests beyond one per slot wait at the target.
	FilledPerSlot float64
}

var (
	// PlainService has targets with a queue of their own and requests of tens of
	// milliseconds. With less in flight than two per slot, the variation of what arrives
	// within the age of a digest leaves slots unused while requests are refused.
	PlainService = Kind{FilledPerSlot: 2}
	// ModelService has engines that run a request in each slot for seconds. A request in an
	// engine's queue holds memory there.
	ModelService = Kind{FilledPerSlot: 1.05}
)

const (
	// settlingTime is the time within which the number of requests in flight is to be
	// brought to the intended one. It is some times the age of a digest, so that hosts that
	// act on the same digest don't overshoot together.
	settlingTime = 1500 * time.Millisecond
	// minMeasuredTime is the minimum time between two loads from which the capacity is
	// measured. In less, too few requests arrive.
	minMeasuredTime = 250 * time.Millisecond
	// slotsTolerance is the part by which the slots may change between two loads from which
	// the capacity is measured. The usable slots of targets with a rate limit vary.
	slotsTolerance = 0.1
	// capacityWeight is the weight of the latest measurement of the capacity.
	capacityWeight = 0.5
	// minCapacity and maxCapacity limit the capacity, as a part of the demand.
	minCapacity = 0.05
	maxCapacity = 1.5
	// freePart is the part of the slots that have to be in use before anything is refused.
	freePart = 0.5
	// minFraction is the part of the requests that is always served, to learn when there is
	// capacity again.
	minFraction = 0.1
	// maxLoadAge is how long a digest is used. Without a later one, a host goes by what
	// targets tell it: the fraction grows by recoveryRate a second, and shrinks by
	// rejectionFactor with each request that a full target rejects.
	maxLoadAge      = 3 * time.Second
	recoveryRate    = 0.1
	rejectionFactor = 0.9
	// workWeight is the weight of the latest request in the mean work.
	workWeight = 0.05
)

// Load is what a host knows of the requests on the targets of a service that admit new
// ones.
type Load struct {
	// InFlight is the number of requests of all hosts on the targets, and Queued those of
	// them that wait there; Slots is the number that the targets run at once.
	InFlight float64
	Queued   float64
	Slots    int
	// Hosts is the number of entry hosts.
	Hosts int
}

// Room estimates which part of the requests to a service its targets can take.
//
// It is designed for a service that loses targets under full load, or whose work takes
// longer than usual, as seen through digests that are a fraction of a second old. While
// all slots are in use, the requests in flight grow by what is sent beyond the capacity, so
// that two digests tell the capacity. The mean duration of requests doesn't: it lags behind,
// and contains the wait at the targets. All quantities are parts of the demand, of which a
// host sees a small sample: an error of that changes only how fast the load is corrected.
type Room struct {
	kind Kind
	load Load
	// observedAt is the time of the last digest.
	observedAt time.Time
	// measuredAt and measured are the time and the requests in flight of the last
	// measurement.
	measuredAt time.Time
	measured   float64
	// capacity is the part of the demand that the targets can run.
	capacity float64
	// fraction is the part of the demand that may be sent, previous that before the last
	// measurement.
	fraction float64
	previous float64
	// demand is the number of requests a second of all hosts.
	demand float64
	// sent and rejected count the requests of this host since the last measurement, and those
	// of them that a full target rejected.
	sent     int
	rejected int
	// work is the mean time that a request takes in a slot; 0 for unknown.
	work time.Duration
}

func newRoom(kind Kind) Room { return Room{kind: kind, capacity: 1, fraction: 1, previous: 1} }

// recordDuration records how long a request was in flight. What it waited for a slot at
// the target is left out.
func (r *Room) recordDuration(duration time.Duration) {
	work := float64(duration)
	if slots := float64(r.load.Slots); slots > 0 && r.load.InFlight > slots {
		work *= slots / r.load.InFlight
	}
	if r.work == 0 {
		r.work = time.Duration(work)
		return
	}
	r.work += time.Duration(workWeight * (work - float64(r.work)))
}

// observe records a digest, and the number of requests a second of all hosts.
func (r *Room) observe(now time.Time, load Load, demand float64) {
	before := r.load
	r.load, r.demand, r.observedAt = load, demand, now
	switch elapsed := now.Sub(r.measuredAt); {
	case load.Slots == 0 || demand <= 0:
		r.capacity, r.measuredAt = 1, time.Time{}
	case r.measuredAt.IsZero():
		r.measuredAt, r.measured = now, load.InFlight
	case math.Abs(float64(load.Slots-before.Slots)) > slotsTolerance*float64(before.Slots) && before.Slots > 0:
		r.capacity *= float64(load.Slots) / float64(before.Slots)
		r.measuredAt, r.measured = now, load.InFlight
	case elapsed >= minMeasuredTime:
		r.measure(elapsed)
		r.measuredAt, r.measured = now, load.InFlight
		r.previous = r.fraction
	}
	r.capacity = min(max(r.capacity, minCapacity), maxCapacity)
	r.fraction = 1
	if load.Slots > 0 && demand > 0 {
		r.fraction = r.capacity + (r.intended()-load.InFlight)/(settlingTime.Seconds()*demand)
		r.fraction = min(max(r.fraction, minFraction), 1)
	}
}

// measure updates the capacity by the load after the given time. A digest is about as old as
// the time between two digests, so that the requests in it were sent by the last two
// fractions.
func (r *Room) measure(elapsed time.Duration) {
	sent := (r.fraction + r.previous) / 2 * r.acceptedPart()
	slots := float64(r.load.Slots)
	if r.load.InFlight >= slots && r.measured >= slots {
		growth := (r.load.InFlight - r.measured) / (elapsed.Seconds() * r.demand)
		r.capacity += capacityWeight * (sent - growth - r.capacity)
		return
	}
	if r.load.InFlight < slots {
		possible := min(sent*slots/max(r.load.InFlight, 1), maxCapacity)
		r.capacity += capacityWeight * max(possible-r.capacity, 0)
	}
}

// isOld reports whether there was no digest lately.
func (r *Room) isOld(now time.Time) bool { return now.Sub(r.observedAt) > maxLoadAge }

// recover updates the fraction after a time without a digest.
func (r *Room) recover(elapsed time.Duration) {
	r.fraction = min(r.fraction+recoveryRate*elapsed.Seconds(), 1)
	r.capacity, r.previous, r.measuredAt = r.fraction, r.fraction, time.Time{}
}

// acceptedPart returns the part of the requests that targets have taken since the last
// measurement. The requests in flight don't grow by the others.
func (r *Room) acceptedPart() float64 {
	accepted := 1.0
	if r.rejected > 0 {
		accepted = 1 - float64(r.rejected)/float64(max(r.sent, r.rejected)+1)
	}
	r.sent, r.rejected = 0, 0
	return accepted
}

// recordRejection records that a full target has rejected a request.
func (r *Room) recordRejection(now time.Time) {
	r.rejected++
	if r.isOld(now) {
		r.fraction = max(r.fraction*rejectionFactor, minFraction)
	}
}

// intended returns the number of requests in flight that is aimed for.
func (r *Room) intended() float64 { return r.kind.FilledPerSlot * float64(r.load.Slots) }

// hasFreePlaces reports whether so many places are free, and nothing waits, that nothing
// may be refused.
func (r *Room) hasFreePlaces(now time.Time) bool {
	return r.load.Slots == 0 || !r.isOld(now) && r.load.Queued == 0 && r.load.InFlight < freePart*float64(r.load.Slots)
}

// delay returns how long a request is expected to take that is sent now.
func (r *Room) delay() time.Duration {
	waiting := max(r.load.InFlight/float64(max(r.load.Slots, 1)), 1)
	return time.Duration(float64(r.work) * waiting)
}

// backlog returns the time until the requests in flight beyond the intended ones have been
// worked off.
func (r *Room) backlog() time.Duration {
	excess := r.load.InFlight - r.intended()
	if excess <= 0 || r.demand <= 0 {
		return 0
	}
	return time.Duration(excess / (r.capacity * r.demand) * float64(time.Second))
}
