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

// engine is a target as the test knows it, beside what the owner believes.
type engine struct {
	name        string
	domain      string
	incarnation uint64
	sequence    uint64
	events      uint64
	// announced is the incarnation that the owner was told of, by itself or by
	// a permit; known is set once it announced itself.
	announced uint64
	known     bool
	replaced  bool
	left      bool
	heard     time.Time
	// done counts completed requests since the engine was cold.
	done int
	slow int
	cold bool
	// outside is the work of others that its newest report showed.
	outside int
	// old are messages that may come again.
	old []target.Announcement
}

// world counts everything exactly and checks each effect of the owner.
type world struct {
	t       *rapid.T
	now     time.Time
	owner   *Service
	config  Config
	fence   uint64
	engines []*engine
	// permits holds what is in flight; waiting the requests without a final
	// effect; answered the requests with one.
	permits  map[string]Permit
	waiting  map[string]Request
	answered map[string]bool
	backup   *Service
	next     int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: start, config: reviews(), fence: 1,
		permits: map[string]Permit{}, waiting: map[string]Request{}, answered: map[string]bool{},
	}
	w.config.DomainsOut = map[string]bool{}
	w.config.TargetsOut = map[string]bool{}
	w.config.Service.Limits.LoadFactor = rapid.SampledFrom([]float64{1, 1.1, 1.25, 2}).Draw(t, "factor")
	w.owner = New(w.config, w.fence)
	w.backup = New(w.config, 0)
	for i := range rapid.IntRange(1, 7).Draw(t, "engines") {
		w.engines = append(w.engines, &engine{name: fmt.Sprintf("e%d", i), domain: string(rune('A' + i%3)), incarnation: 1})
	}
	w.owner.Adopted(w.now)
	return w
}

func (w *world) some(name string) *engine {
	return w.engines[rapid.IntRange(0, len(w.engines)-1).Draw(w.t, name)]
}

func (w *world) announce(e *engine, cold bool) {
	e.sequence++
	a := announcement(e.name, e.incarnation, e.sequence)
	a.FailureDomain, a.Cold, a.CacheCapacityChats = e.domain, cold, 5
	e.old = append(e.old, a)
	if e.announced != e.incarnation {
		e.done, e.slow, e.cold = 0, 0, false
	}
	e.announced, e.known, e.left, e.replaced, e.heard = e.incarnation, true, false, false, w.now
	e.report(cold)
	require.True(w.t, w.owner.Announce(w.now, a))
}

func (e *engine) report(cold bool) {
	if cold && !e.cold {
		e.done, e.slow = 0, 0
	}
	e.cold = cold
}

func (w *world) load(e *engine, cold bool, outside int) {
	e.sequence++
	report := target.LoadReport{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}, Cold: cold}
	report.InFlight = w.inFlight(e) + outside
	known := w.owner.Load(w.now, report)
	require.Equal(w.t, e.known && e.announced == e.incarnation, known)
	if known {
		e.heard = w.now
		e.outside = outside
		e.report(cold)
	} else if e.known {
		e.replaced = true
	}
}

func (w *world) inFlight(e *engine) int {
	n := 0
	for _, p := range w.permits {
		// A permit of an earlier start may still be sent to the new one.
		if p.Target == e.name {
			n++
		}
	}
	return n
}

// admits says whether the engine may get new work. Of the owner's own state it
// takes only the circuit, which the test does not follow.
func (w *world) admits(e *engine, open map[string]bool) bool {
	return e.known && !e.replaced && !e.left && w.now.Sub(e.heard) < DefaultSuspectAfter &&
		!w.config.DomainsOut[e.domain] && !w.config.TargetsOut[e.name] && !open[e.name]
}

func (w *world) limit(e *engine) int {
	full, up := w.config.Service.Limits.InFlightPerTarget, w.config.Service.WarmUp
	if e.cold {
		return up.ColdLimit
	}
	return min(full, up.ColdLimit+(full-up.ColdLimit)*e.done/up.RampRequests)
}

func (w *world) acquire(request Request) {
	w.waiting[request.ID] = request
	w.owner.Acquire(w.now, request)
}

// settle checks the effects of one step, and that nothing waits that could run.
func (w *world) settle() {
	effects := w.owner.Effects()
	// before is the number in flight before the step's grants.
	status := w.owner.Status()
	open := map[string]bool{}
	for _, s := range status.Targets {
		open[s.Name] = s.State == route.CircuitOpen.String()
	}
	for _, effect := range effects {
		if effect.Refusal != nil {
			w.refused(effect.Refusal)
			continue
		}
		w.granted(effect, open)
	}
	w.conserves(status, open)
}

func (w *world) refused(refusal *Refusal) {
	_, waits := w.waiting[refusal.RequestID]
	require.True(w.t, waits, "a refusal for a request that does not wait")
	delete(w.waiting, refusal.RequestID)
	w.answered[refusal.RequestID] = true
}

func (w *world) granted(effect Effect, open map[string]bool) {
	p := *effect.Permit
	if effect.Decision.Reason == "Repeated" {
		require.Equal(w.t, w.permits[p.RequestID], p)
		return
	}
	request, waits := w.waiting[p.RequestID]
	require.True(w.t, waits, "a permit for a request that does not wait")
	require.False(w.t, w.answered[p.RequestID], "two final answers")
	require.Equal(w.t, w.fence, p.Fence)
	delete(w.waiting, p.RequestID)
	w.answered[p.RequestID] = true
	chosen := w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == p.Target })]
	// A probe closes its circuit behind itself.
	open = maps.Clone(open)
	open[p.Target] = false
	require.True(w.t, w.admits(chosen, open), "work for a target that takes none")
	require.Equal(w.t, chosen.announced, p.Incarnation)
	require.NotContains(w.t, request.Exclude, p.Target)
	require.Less(w.t, w.inFlight(chosen), w.limit(chosen), "beyond what the target can bear")
	w.checkBound(chosen, request, open)
	w.permits[p.RequestID] = p
}

// checkBound checks the admission against ceil(c × mean), counted anew.
func (w *world) checkBound(chosen *engine, request Request, open map[string]bool) {
	var all, unfilled route.Load
	for _, e := range w.engines {
		if !w.admits(e, open) {
			continue
		}
		all.InFlight += w.inFlight(e)
		all.Targets++
		if w.room(e) {
			unfilled.InFlight += w.inFlight(e)
			unfilled.Targets++
		}
	}
	factor := route.FactorOf(w.config.Service.Limits.LoadFactor)
	bound := factor.Bound(all)
	if w.inFlight(chosen)+1 <= bound {
		return
	}
	require.LessOrEqual(w.t, w.inFlight(chosen)+1, factor.Bound(unfilled), "beyond the bound")
	for _, e := range w.engines {
		if w.admits(e, open) && w.room(e) && !slices.Contains(request.Exclude, e.name) {
			require.Greater(w.t, w.inFlight(e)+1, bound, "beyond the bound while %s is within it", e.name)
		}
	}
}

// room says whether the engine is below its own limit, from which the owner may
// take the work that was reported from outside.
func (w *world) room(e *engine) bool {
	limit := int(w.owner.candidates[w.owner.byName[e.name]].Limit)
	require.LessOrEqual(w.t, limit, w.limit(e))
	require.GreaterOrEqual(w.t, limit, w.limit(e)-e.outside)
	return w.inFlight(e) < limit
}

// conserves checks that no request waits while a target has room for it, but for
// a short time for the target where its chat is warm.
func (w *world) conserves(status Status, open map[string]bool) {
	for id, request := range w.waiting {
		item := w.owner.queue.waiting[id]
		require.NotNil(w.t, item, "%s is lost", id)
		if item.held {
			require.True(w.t, w.now.Before(item.heldUntil))
			require.LessOrEqual(w.t, item.heldUntil.Sub(w.now), DefaultWarmWait)
			wanted := w.owner.targets[item.wants].name
			i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == wanted })
			require.True(w.t, w.admits(w.engines[i], open), "%s waits for %s, which takes no work", id, wanted)
			continue
		}
		if len(request.Exclude) > 0 {
			continue
		}
		for _, s := range status.Targets {
			i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == s.Name })
			if w.admits(w.engines[i], open) {
				require.GreaterOrEqual(w.t, s.InFlight, s.Limit, "%s waits while %s has room", id, s.Name)
			}
		}
	}
}

func (w *world) release(outcome Outcome, firstByte time.Duration) {
	ids := slices.Sorted(maps.Keys(w.permits))
	if len(ids) == 0 {
		return
	}
	p := w.permits[ids[rapid.IntRange(0, len(ids)-1).Draw(w.t, "permit")]]
	delete(w.permits, p.RequestID)
	for _, e := range w.engines {
		if e.name == p.Target && e.announced == p.Incarnation && outcome == OutcomeDone {
			e.complete(w.config, firstByte)
		}
	}
	release := done(p)
	release.Outcome, release.FirstByte = outcome, firstByte
	w.owner.Release(w.now, release)
	w.settle()
	w.owner.Release(w.now, release)
}

func (e *engine) complete(config Config, firstByte time.Duration) {
	if firstByte <= config.Service.WarmUp.ColdFirstByte {
		e.slow = 0
		e.done++
		return
	}
	e.slow++
	if e.slow >= 2 && e.done >= config.Service.WarmUp.RampRequests {
		e.done, e.slow = 0, 0
	}
}

// takeOver replaces the owner. What the backup holds may be missing.
func (w *world) takeOver(graceful bool) {
	copied := w.backup.Export(w.now, 0)
	if graceful {
		copied = w.owner.Export(w.now, 0)
	}
	w.fence++
	w.owner = New(w.config, w.fence)
	w.owner.Import(w.now, copied)
	for _, id := range slices.Sorted(maps.Keys(w.waiting)) {
		w.owner.Acquire(w.now, w.waiting[id])
	}
	for _, id := range slices.Sorted(maps.Keys(w.permits)) {
		w.owner.Adopt(w.now, w.permits[id])
	}
	require.False(w.t, slices.ContainsFunc(w.owner.Effects(), func(e Effect) bool { return e.Permit != nil }), "a grant before adoption")
	for _, e := range w.engines {
		e.relearn(w, graceful)
	}
	w.owner.Adopted(w.now)
	w.backup = New(w.config, 0)
}

// relearn sets what the test expects a new owner to know of the engine: no more
// than it has shown.
func (e *engine) relearn(w *world, graceful bool) {
	before := w.limit(e)
	at, known := w.owner.byName[e.name]
	if !known {
		e.announced, e.known, e.done, e.slow, e.cold = 0, false, 0, 0, false
		return
	}
	t := w.owner.targets[at]
	require.LessOrEqual(w.t, t.incarnation, e.incarnation)
	same := e.announced == t.incarnation
	if !graceful && t.known {
		require.GreaterOrEqual(w.t, w.now.Sub(t.lastSeen), DefaultSuspectAfter, "trusted before it was heard of")
	}
	e.announced, e.known, e.replaced, e.heard, e.left = t.incarnation, t.known, false, t.lastSeen, t.left
	e.done, e.slow, e.cold = t.warmUp.done, t.warmUp.slow, t.warmUp.reported
	if same && graceful && !t.warmUp.reported {
		require.LessOrEqual(w.t, w.limit(e), max(before, w.inFlight(e)), "a new owner believes more than was shown")
	}
}
