package admission

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/route"
	"comfreytiller.dev/target"
)

// referenceEngine is the test's own record of a target, independent of the owner's
// state.
type referenceEngine struct {
	name           string
	domain         string
	incarnation    uint64
	sequence       uint64
	lastCacheEvent uint64
	// announcedIncarnation is the incarnation that the owner knows from an
	// announcement or a permit; known is set once the engine has announced itself.
	announcedIncarnation uint64
	known                bool
	superseded           bool
	left                 bool
	lastSeen             time.Time
	// completed counts the requests completed since the engine was cold.
	completed      int
	slowFirstBytes int
	reportedCold   bool
	// externalLoad is the load from outside the fleet in the engine's newest report.
	externalLoad int
	// sentAnnouncements may be delivered again.
	sentAnnouncements []target.Announcement
}

// referenceModel keeps exact counts and checks each effect of the owner against them.
type referenceModel struct {
	t       *rapid.T
	now     time.Time
	owner   *Controller
	config  Config
	fence   uint64
	engines []*referenceEngine
	// permits holds the permits in flight, waiting the requests without a final
	// effect, and answered the requests with one.
	permits      map[string]Permit
	waiting      map[string]Request
	answered     map[string]bool
	backup       *Controller
	requestCount int
}

func newReferenceModel(t *rapid.T) *referenceModel {
	m := &referenceModel{
		t: t, now: start, config: testConfig(), fence: 1,
		permits: map[string]Permit{}, waiting: map[string]Request{}, answered: map[string]bool{},
	}
	m.config.DomainsOut = map[string]bool{}
	m.config.TargetsOut = map[string]bool{}
	m.config.Service.Limits.LoadFactor = rapid.SampledFrom([]float64{1, 1.1, 1.25, 2}).Draw(t, "factor")
	m.owner = New(m.config, m.fence)
	m.backup = New(m.config, 0)
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		m.engines = append(m.engines, &referenceEngine{name: fmt.Sprintf("e%d", i), domain: string(rune('A' + i%3)), incarnation: 1})
	}
	m.owner.CompleteAdoption(m.now)
	return m
}

func (m *referenceModel) drawEngine(name string) *referenceEngine {
	return m.engines[rapid.IntRange(0, len(m.engines)-1).Draw(m.t, name)]
}

func (m *referenceModel) announce(e *referenceEngine, cold bool) {
	e.sequence++
	a := newAnnouncement(e.name, e.incarnation, e.sequence)
	a.FailureDomain, a.Cold, a.CacheCapacityChats = e.domain, cold, 5
	e.sentAnnouncements = append(e.sentAnnouncements, a)
	if e.announcedIncarnation != e.incarnation {
		e.completed, e.slowFirstBytes, e.reportedCold = 0, 0, false
	}
	e.announcedIncarnation, e.known, e.left, e.superseded, e.lastSeen = e.incarnation, true, false, false, m.now
	e.setReportedCold(cold)
	require.True(m.t, m.owner.HandleAnnouncement(m.now, a))
}

func (e *referenceEngine) setReportedCold(cold bool) {
	if cold && !e.reportedCold {
		e.completed, e.slowFirstBytes = 0, 0
	}
	e.reportedCold = cold
}

func (m *referenceModel) reportLoad(e *referenceEngine, cold bool, outside int) {
	e.sequence++
	report := target.LoadReport{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}, Cold: cold}
	report.InFlight = m.inFlight(e) + outside
	known := m.owner.HandleLoadReport(m.now, report)
	require.Equal(m.t, e.known && e.announcedIncarnation == e.incarnation, known)
	if known {
		e.lastSeen = m.now
		e.externalLoad = outside
		e.setReportedCold(cold)
	} else if e.known {
		e.superseded = true
	}
}

func (m *referenceModel) inFlight(e *referenceEngine) int {
	n := 0
	for _, p := range m.permits {
		// A permit of an earlier incarnation may still be sent to the new one.
		if p.Target == e.name {
			n++
		}
	}
	return n
}

// admits reports whether the engine may get new requests. It takes only the state of
// the circuit breaker from the owner, since the test does not model it.
func (m *referenceModel) admits(e *referenceEngine, open map[string]bool) bool {
	return e.known && !e.superseded && !e.left && m.now.Sub(e.lastSeen) < DefaultSuspectAfter &&
		!m.config.DomainsOut[e.domain] && !m.config.TargetsOut[e.name] && !open[e.name]
}

func (m *referenceModel) limit(e *referenceEngine) int {
	full, warmUp := m.config.Service.Limits.InFlightPerTarget, m.config.Service.WarmUp
	if e.reportedCold {
		return warmUp.ColdLimit
	}
	return min(full, warmUp.ColdLimit+(full-warmUp.ColdLimit)*e.completed/warmUp.RampRequests)
}

func (m *referenceModel) acquire(request Request) {
	m.waiting[request.ID] = request
	m.owner.Acquire(m.now, request)
}

// checkEffects checks the effects of one step, and that no queued request could be
// granted.
func (m *referenceModel) checkEffects() {
	effects := m.owner.TakeEffects()
	// status is the state after the step; open lists the targets with an open circuit.
	status := m.owner.Status()
	open := map[string]bool{}
	for _, s := range status.Targets {
		open[s.Name] = s.State == route.CircuitOpen.String()
	}
	for _, effect := range effects {
		if effect.Refusal != nil {
			m.checkRefusal(effect.Refusal)
			continue
		}
		m.checkPermit(effect, open)
	}
	m.checkNoIdleCapacity(status, open)
}

func (m *referenceModel) checkRefusal(refusal *Refusal) {
	_, isWaiting := m.waiting[refusal.RequestID]
	require.True(m.t, isWaiting, "refusal of a request that is not waiting")
	delete(m.waiting, refusal.RequestID)
	m.answered[refusal.RequestID] = true
}

func (m *referenceModel) checkPermit(effect Effect, open map[string]bool) {
	p := *effect.Permit
	if effect.Decision.Reason == "Repeated" {
		require.Equal(m.t, m.permits[p.RequestID], p)
		return
	}
	request, isWaiting := m.waiting[p.RequestID]
	require.True(m.t, isWaiting, "permit for a request that is not waiting")
	require.False(m.t, m.answered[p.RequestID], "the request got two final answers")
	require.Equal(m.t, m.fence, p.Fence)
	delete(m.waiting, p.RequestID)
	m.answered[p.RequestID] = true
	chosen := m.engines[slices.IndexFunc(m.engines, func(e *referenceEngine) bool { return e.name == p.Target })]
	// A granted probe blocks its circuit for further requests.
	open = maps.Clone(open)
	open[p.Target] = false
	require.True(m.t, m.admits(chosen, open), "permit on a target that admits no requests")
	require.Equal(m.t, chosen.announcedIncarnation, p.Incarnation)
	require.NotContains(m.t, request.Exclude, p.Target)
	require.Less(m.t, m.inFlight(chosen), m.limit(chosen), "permit exceeds the target's own limit")
	m.checkBound(chosen, request, open)
	m.permits[p.RequestID] = p
}

// checkBound checks the admission against ceil(c × mean), computed from the test's own
// counts.
func (m *referenceModel) checkBound(chosen *referenceEngine, request Request, open map[string]bool) {
	var all, unfilled route.Load
	for _, e := range m.engines {
		if !m.admits(e, open) {
			continue
		}
		all.InFlight += m.inFlight(e)
		all.Targets++
		if m.hasRoom(e) {
			unfilled.InFlight += m.inFlight(e)
			unfilled.Targets++
		}
	}
	factor := route.LoadFactorOf(m.config.Service.Limits.LoadFactor)
	bound := factor.Bound(all)
	if m.inFlight(chosen)+1 <= bound {
		return
	}
	require.LessOrEqual(m.t, m.inFlight(chosen)+1, factor.Bound(unfilled), "permit exceeds the load bound")
	for _, e := range m.engines {
		if m.admits(e, open) && m.hasRoom(e) && !slices.Contains(request.Exclude, e.name) {
			require.Greater(m.t, m.inFlight(e)+1, bound, "permit exceeds the load bound while %s is within it", e.name)
		}
	}
}

// hasRoom reports whether the engine is below its own limit. The owner may subtract
// the external load from that limit.
func (m *referenceModel) hasRoom(e *referenceEngine) bool {
	limit := int(m.owner.candidates[m.owner.byName[e.name]].Limit)
	require.LessOrEqual(m.t, limit, m.limit(e))
	require.GreaterOrEqual(m.t, limit, m.limit(e)-e.externalLoad)
	return m.inFlight(e) < limit
}

// checkNoIdleCapacity checks that no request stays queued while a target has room for
// it, except a deferred one that waits a short time for its warm target.
func (m *referenceModel) checkNoIdleCapacity(status Status, open map[string]bool) {
	for id, request := range m.waiting {
		item := m.owner.queue.byID[id]
		require.NotNil(m.t, item, "request %s is missing from the queue", id)
		if item.deferred {
			require.True(m.t, m.now.Before(item.deferredUntil))
			require.LessOrEqual(m.t, item.deferredUntil.Sub(m.now), DefaultWarmWait)
			wanted := m.owner.targets[item.warmTarget].name
			i := slices.IndexFunc(m.engines, func(e *referenceEngine) bool { return e.name == wanted })
			require.True(m.t, m.admits(m.engines[i], open), "request %s waits for target %s, which admits no requests", id, wanted)
			continue
		}
		if len(request.Exclude) > 0 {
			continue
		}
		for _, s := range status.Targets {
			i := slices.IndexFunc(m.engines, func(e *referenceEngine) bool { return e.name == s.Name })
			if m.admits(m.engines[i], open) {
				require.GreaterOrEqual(m.t, s.InFlight, s.Limit, "request %s waits while target %s has room", id, s.Name)
			}
		}
	}
}

func (m *referenceModel) release(outcome Outcome, firstByte time.Duration) {
	ids := slices.Sorted(maps.Keys(m.permits))
	if len(ids) == 0 {
		return
	}
	p := m.permits[ids[rapid.IntRange(0, len(ids)-1).Draw(m.t, "permit")]]
	delete(m.permits, p.RequestID)
	for _, e := range m.engines {
		if e.name == p.Target && e.announcedIncarnation == p.Incarnation && outcome == OutcomeDone {
			e.recordCompletion(m.config, firstByte)
		}
	}
	release := doneRelease(p)
	release.Outcome, release.FirstByte = outcome, firstByte
	m.owner.Release(m.now, release)
	m.checkEffects()
	m.owner.Release(m.now, release)
}

func (e *referenceEngine) recordCompletion(config Config, firstByte time.Duration) {
	if firstByte <= config.Service.WarmUp.ColdFirstByte {
		e.slowFirstBytes = 0
		e.completed++
		return
	}
	e.slowFirstBytes++
	if e.slowFirstBytes >= 2 && e.completed >= config.Service.WarmUp.RampRequests {
		e.completed, e.slowFirstBytes = 0, 0
	}
}

// takeOver replaces the owner. Without a graceful handover, the new owner starts from
// the backup, which may be incomplete.
func (m *referenceModel) takeOver(graceful bool) {
	copied := m.backup.Export(m.now, 0)
	if graceful {
		copied = m.owner.Export(m.now, 0)
	}
	m.fence++
	m.owner = New(m.config, m.fence)
	m.owner.Import(m.now, copied)
	for _, id := range slices.Sorted(maps.Keys(m.waiting)) {
		m.owner.Acquire(m.now, m.waiting[id])
	}
	for _, id := range slices.Sorted(maps.Keys(m.permits)) {
		m.owner.AdoptPermit(m.now, m.permits[id])
	}
	require.False(m.t, slices.ContainsFunc(m.owner.TakeEffects(), func(e Effect) bool { return e.Permit != nil }), "permit granted before the adoption was complete")
	for _, e := range m.engines {
		e.syncWithNewOwner(m, graceful)
	}
	m.owner.CompleteAdoption(m.now)
	m.backup = New(m.config, 0)
}

// syncWithNewOwner updates the engine record to what a new owner knows, and checks
// that the owner assumes no more progress than the engine has shown.
func (e *referenceEngine) syncWithNewOwner(m *referenceModel, graceful bool) {
	before := m.limit(e)
	at, known := m.owner.byName[e.name]
	if !known {
		e.announcedIncarnation, e.known, e.completed, e.slowFirstBytes, e.reportedCold = 0, false, 0, 0, false
		return
	}
	t := m.owner.targets[at]
	require.LessOrEqual(m.t, t.incarnation, e.incarnation)
	same := e.announcedIncarnation == t.incarnation
	if !graceful && t.known {
		require.GreaterOrEqual(m.t, m.now.Sub(t.lastSeen), DefaultSuspectAfter, "target is not suspect before its first message to the new owner")
	}
	e.announcedIncarnation, e.known, e.superseded, e.lastSeen, e.left = t.incarnation, t.known, false, t.lastSeen, t.left
	e.completed, e.slowFirstBytes, e.reportedCold = t.warmUp.completed, t.warmUp.slowFirstBytes, t.warmUp.reportedCold
	if same && graceful && !t.warmUp.reportedCold {
		require.LessOrEqual(m.t, m.limit(e), max(before, m.inFlight(e)), "the new owner assumes more warm-up progress than was shown")
	}
}
