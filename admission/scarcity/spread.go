package scarcity

// Place is a target that can take a request.
type Place struct {
	// InFlight is the number of requests of all hosts on the target by the last digest, Slots
	// the number that it runs at once; 0 for unknown.
	InFlight float64
	Slots    int
}

// minPlacePart is the least part of its share by slots that a target gets, so that a host
// learns when its load has changed.
const minPlacePart = 0.1

// Spread chooses the target of a request at random and returns its index; -1 for no places.
// perSecond is the number of requests that all hosts send to the targets in a second.
//
// It is designed for hundreds of hosts that see the same loads, up to a second old, and
// would all choose the target with the least load: with three targets its queue is full
// before the next digest, and a fifth of all requests is rejected. The targets share the
// requests by their slots instead, and a difference from that in the loads is evened out
// within the settling time.
func Spread(places []Place, perSecond float64, random uint64) int {
	inFlight, slots := 0.0, 0.0
	for i := range places {
		inFlight += places[i].InFlight
		slots += places[i].weight()
	}
	if slots == 0 {
		return -1
	}
	total := 0.0
	for i := range places {
		total += places[i].share(inFlight, slots, perSecond)
	}
	const resolution = 1 << 53
	at := float64(random%resolution) / resolution * total
	for i := range places {
		at -= places[i].share(inFlight, slots, perSecond)
		if at < 0 {
			return i
		}
	}
	return len(places) - 1
}

// weight returns the slots of the target, or 1.
func (p *Place) weight() float64 { return float64(max(p.Slots, 1)) }

// share returns the part of the requests that the target gets, given the sums over all.
func (p *Place) share(inFlight, slots, perSecond float64) float64 {
	part := p.weight() / slots
	missing := inFlight*part - p.InFlight
	return max(part+missing/max(settlingTime.Seconds()*perSecond, 1), minPlacePart*part)
}
