package entry

import (
	"time"

	"comfreytiller.dev/target/roster"
)

// ownLoads returns this host's requests in flight by target; nil for none.
func (t *targetSelector) ownLoads() map[roster.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var own map[roster.Key]int
	for name, s := range t.byName {
		if s.ownInFlight == 0 {
			continue
		}
		if own == nil {
			own = map[roster.Key]int{}
		}
		own[roster.KeyOf(name)] = s.ownInFlight
	}
	return own
}

// applyLoads applies the number of requests in flight of all hosts by target.
// total includes reported, the requests that this host reported itself. Targets
// missing from total have the mean load.
func (t *targetSelector) applyLoads(total map[roster.Key]int, mean float64, reported map[roster.Key]int) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.updateThrottles(now)
	t.reports.record(now)
	others := make(map[string]float64, len(t.byName))
	for name := range t.byName {
		load, key := mean, roster.KeyOf(name)
		if inFlight, listed := total[key]; listed {
			load = float64(inFlight)
		}
		others[name] = max(load-float64(reported[key]), 0)
	}
	for _, list := range t.byService {
		usual := meanKnownLoad(list, others)
		for _, s := range list {
			s.recordOthers(now, others[s.Name], usual)
		}
	}
}

// meanKnownLoad returns the mean of the given loads over the targets with an earlier
// report; over all targets if none has one.
func meanKnownLoad(list []*targetState, loads map[string]float64) float64 {
	var known, all []float64
	for _, s := range list {
		all = append(all, loads[s.Name])
		if !s.othersInFlightAt.IsZero() {
			known = append(known, loads[s.Name])
		}
	}
	if len(known) == 0 {
		known = all
	}
	sum := 0.0
	for _, load := range known {
		sum += load
	}
	return sum / float64(max(len(known), 1))
}

// serviceLoads returns what this host knows of the requests to a service with the given
// targets. The caller must hold t.mu.
func (t *targetSelector) serviceLoads(now time.Time, service string, list []*targetState) serviceLoads {
	return serviceLoads{
		hosts: t.hosts.count(), mean: meanOthersLoad(now, list), reportAge: t.reports.age(now), duration: t.durations[service],
		demand: t.demand[service].perSecond(now),
	}
}
