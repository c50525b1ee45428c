package entry

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"comfreytiller.dev/common/rendezvous"
	"comfreytiller.dev/target/ratelimit"
	"comfreytiller.dev/target/roster"
)

// demandPeriod is the time over which the demand for a service is averaged. It is longer
// than bursts, since a pace for more requests leaves no room for a burst.
const demandPeriod = 30 * time.Second

// demandRate is the moving average of the requests per second of this host to a service.
type demandRate struct {
	rate       float64
	recordedAt time.Time
}

// perSecond returns the rate now; 0 if no request was recorded.
func (d *demandRate) perSecond(now time.Time) float64 {
	if d == nil {
		return 0
	}
	return d.rate * math.Exp(-float64(now.Sub(d.recordedAt))/float64(demandPeriod))
}

// recordDemand records a request to a service. The caller must hold t.mu.
func (t *targetSelector) recordDemand(now time.Time, service string) {
	d := t.demand[service]
	if d == nil {
		d = &demandRate{}
		t.demand[service] = d
	}
	d.rate, d.recordedAt = d.perSecond(now)+1/demandPeriod.Seconds(), now
}

// applyRateLimits applies the rate limits in the entries of a hub. The caller must hold
// t.mu.
func (t *targetSelector) applyRateLimits(now time.Time, entries []roster.Entry) {
	for _, entry := range entries {
		s := t.byName[entry.Name]
		if s == nil || s.Incarnation != entry.Incarnation {
			continue
		}
		s.hubLimit = entry.RateLimit
		t.applyRateLimit(now, s, entry.RateLimit, "")
	}
}

// applyRateLimit applies a rate limit of a target that a response told or, if request is
// empty, a hub. The caller must hold t.mu.
func (t *targetSelector) applyRateLimit(now time.Time, s *targetState, limit ratelimit.Limit, request string) {
	before := s.limit
	s.limit = before.Latest(limit)
	switch {
	case !s.limit.IsLimited:
		s.slots = nil
	case s.slots == nil:
		const phases = 1 << 16
		phase := float64(rendezvous.Score(t.daemon.Settings.Host, s.Name)%phases) / phases
		s.slots = ratelimit.NewSchedule(now, s.pace(t.serviceLoads(now, s.Service, nil)), phase)
	}
	if s.limit.IsLimited == before.IsLimited && s.limit.PerSecond == before.PerSecond {
		return
	}
	log := t.log.WithFields(logrus.Fields{
		"Target": s.Name, "Incarnation": s.Incarnation, "Service": s.Service, "Request": request, "OwnInFlight": s.ownInFlight,
		"PerSecond": s.limit.PerSecond, "PerSecondBefore": before.PerSecond, "SaidAge": now.Sub(s.limit.SaidAt), "Hosts": t.hosts.count(),
	})
	if s.limit.IsLimited {
		log.Infof("Target %s takes %.3g requests per second from all hosts.", s.Name, s.limit.PerSecond)
	} else {
		log.Infof("Target %s names no rate limit any more.", s.Name)
	}
}

// rateLimitReports returns the rate limits that the hub of this host does not know.
func (t *targetSelector) rateLimitReports() []ratelimit.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []ratelimit.Report
	for _, list := range t.byService {
		for _, s := range list {
			if s.limit.Differs(s.hubLimit) {
				reports = append(reports, ratelimit.Report{Target: s.Name, Incarnation: s.Incarnation, Limit: s.limit})
			}
		}
	}
	return reports
}

// pace returns this host's share of the target's rate limit.
func (s *targetState) pace(loads serviceLoads) ratelimit.Pace {
	return ratelimit.NewPace(s.limit.PerSecond, loads.hosts, loads.demand)
}

// hasSlot reports whether the target's rate limit allows a request of this host now.
func (s *targetState) hasSlot(now time.Time, loads serviceLoads) bool {
	return s.slots == nil || s.slots.Allows(now, s.pace(loads))
}

// usableSlots returns how many of its slots the target uses when it gets all requests that
// its rate limit allows, if they take the given time.
func (s *targetState) usableSlots(duration time.Duration) int {
	if !s.limit.IsLimited || duration <= 0 {
		return s.Capacity
	}
	return min(s.Capacity, int(math.Ceil(s.limit.PerSecond*duration.Seconds())))
}

// useSlot counts a request that is sent now in this host's share of the rate limit.
func (s *targetState) useSlot(now time.Time, loads serviceLoads) {
	if s.slots != nil {
		s.slots.Use(now, s.pace(loads))
	}
}
