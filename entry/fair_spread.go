package entry

import (
	"math"
	"math/rand/v2"

	"comfreytiller.dev/admission/scarcity"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/route"
)

// spread leaves one of the candidates of a plain service that is in need, or nearly so, until
// the returned function is called. With room for everything, the nearest and least loaded
// target is chosen as before. The caller must hold t.mu.
func (t *targetSelector) spread(service *fleet.Service, list []*targetState, candidates []route.LocalTarget) (restore func()) {
	if t.fair == nil || service.Kind != fleet.KindPlain {
		return func() {}
	}
	perSecond := t.fair.sentPerSecond(service.Name)
	if perSecond == 0 {
		return func() {}
	}
	places, at := t.fair.places[:0], t.fair.placesAt[:0]
	for i, s := range list {
		candidate := &candidates[i]
		if candidate.Availability == route.Available && !candidate.AtCapacity && !candidate.Unhealthy {
			slots := math.Ceil(float64(s.Capacity) / max(candidate.Slowdown, 1))
			places = append(places, scarcity.Place{InFlight: s.othersInFlight + float64(s.ownInFlight), Slots: int(slots)})
			at = append(at, i)
		}
	}
	t.fair.places, t.fair.placesAt = places, at
	chosen := scarcity.Spread(places, perSecond, rand.Uint64())
	for index, i := range at {
		if index != chosen {
			candidates[i].Availability = route.Excluded
		}
	}
	return func() {
		for _, i := range at {
			candidates[i].Availability = route.Available
		}
	}
}

// sentPerSecond returns the number of requests a second that all hosts send to a service; 0 if
// it has room for everything.
func (f *fairAdmission) sentPerSecond(service string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil {
		return 0
	}
	return s.SentPerSecond(f.clock.Now())
}
