package entry

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/route"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// The load of the replay: engines with 64 slots serve prompts with 10,512 shared tokens.
const (
	prefillEngines = 60
	prefillSlots   = 64
	firstTokens    = 7_000
	sharedTokens   = 10_512
	firstParts     = 12
	sharedPrompts  = 150
	// promptLifetime is the time after which a shared prompt is replaced by another one
	// with the same first part.
	promptLifetime    = 40 * time.Second
	hotPromptShare    = 0.12
	prefillPerSecond  = 66_000
	prefillTick       = 20 * time.Millisecond
	prefillDigest     = 500 * time.Millisecond
	prefillRestart    = 2 * time.Second
	engineCacheTokens = 430_000
	// prefillWarmUp is the time at the start that is not counted: caches are empty, and
	// hosts have not learned yet what engines hold.
	prefillWarmUp       = 15 * time.Second
	replayLength        = 30 * time.Second
	prefillRequestsRate = 330
)

// prefillReplay sends requests with shared prompts from many hosts to engines with prefix
// caches, and counts the shared tokens that an engine prefills although another one holds
// them.
type prefillReplay struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	random  *rand.Rand
	hosts   []*fixture
	engines []*replayEngine
	// figures adds the fourth figure to the load of the engines. former drops the sources
	// that homes did not have before.
	figures, former bool

	elapsed                    time.Duration
	requests, overloaded, lost int
	// again is the number of shared tokens that were prefilled although another engine
	// held them, by reason in reasons, first the number of those that none held.
	again, transferred, first, cached int
	reasons                           map[string]int
}

// replayEngine is an engine of the replay. It caches prompts as it begins to run them.
type replayEngine struct {
	name, domain string
	sequence     uint64
	incarnation  uint64
	state        roster.State
	down         bool
	backAt       time.Time
	slowdown     float64
	lastUsed     map[uint64]time.Time
	running      []*replayRun
}

type replayRun struct {
	host   *fixture
	permit admission.Permit
	prompt *admission.Prompt
	endsAt time.Time
}

func newPrefillReplay(t *testing.T, hosts int, figures bool) *prefillReplay {
	clock := clockwork.NewFakeClock()
	r := &prefillReplay{t: t, clock: clock, random: rand.New(rand.NewPCG(21, 22)), figures: figures, reasons: map[string]int{}}
	for i := range hosts {
		f := newFixtureWithClock(t, clock)
		f.daemon.Settings.Host, f.daemon.Settings.FailureDomain = fmt.Sprint("h-", i), fmt.Sprint(i%3)
		f.selector.hosts.record(hosts)
		f.view.Fleet.Services[0].WarmUp.ColdPerSecond = 0
		f.daemon.view.replace(f.view)
		r.hosts = append(r.hosts, f)
	}
	for i := range prefillEngines {
		r.start(fmt.Sprint(i % 3))
	}
	return r
}

// announce tells all hosts of a change of an engine.
func (r *prefillReplay) announce(e *replayEngine) {
	e.sequence++
	entry := roster.Entry{
		Announcement: target.Announcement{
			Name: e.name, Service: "engines", FailureDomain: e.domain, Address: e.name + ":1", Capacity: prefillSlots,
			Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence},
		},
		State: e.state, LastSeen: r.clock.Now(),
	}
	for _, host := range r.hosts {
		host.applyEntries(entry)
	}
}

// crash ends an engine with its requests and its cache. It comes back with a new name.
func (r *prefillReplay) crash(e *replayEngine) {
	e.down, e.backAt = true, r.clock.Now().Add(prefillRestart)
	for _, run := range e.running {
		r.lost++
		run.host.selector.Release(admission.Release{Service: "engines", Target: e.name, Incarnation: e.incarnation, Outcome: admission.OutcomeUnreachable})
	}
	e.running, e.lastUsed = nil, map[uint64]time.Time{}
}

// replace removes an engine and starts another one.
func (r *prefillReplay) replace(e *replayEngine) {
	e.down, e.state = true, roster.Gone
	r.announce(e)
	r.start(e.domain)
}

// start starts an engine.
func (r *prefillReplay) start(domain string) {
	e := &replayEngine{
		name: fmt.Sprint("e-", len(r.engines)), domain: domain, incarnation: 1, state: roster.Ready, slowdown: 1, lastUsed: map[uint64]time.Time{},
	}
	r.engines = append(r.engines, e)
	r.announce(e)
}

// live returns the engines that are not gone.
func (r *prefillReplay) live() []*replayEngine {
	return slices.DeleteFunc(slices.Clone(r.engines), func(e *replayEngine) bool { return e.state == roster.Gone })
}

// held returns how many shared tokens of a prompt an engine has cached.
func (e *replayEngine) held(prompt *admission.Prompt) int {
	tokens := 0
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		if _, cached := e.lastUsed[part.Key]; !cached || e.down {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// use marks the shared parts of a prompt as used and evicts others that no longer fit.
func (e *replayEngine) use(now time.Time, prompt *admission.Prompt) {
	for _, part := range prompt.Parts[:len(prompt.Parts)-1] {
		e.lastUsed[part.Key] = now
	}
	for len(e.lastUsed) > engineCacheTokens/sharedTokens*2 {
		oldest := prompt.Parts[0].Key
		for other, at := range e.lastUsed {
			if at.Before(e.lastUsed[oldest]) {
				oldest = other
			}
		}
		delete(e.lastUsed, oldest)
	}
}

// send sends one request, again to other engines if the first are down.
func (r *prefillReplay) send() {
	host := r.hosts[r.random.IntN(len(r.hosts))]
	// Few prompts are popular.
	id := uint64(math.Pow(r.random.Float64(), 2)*sharedPrompts) + 1
	if r.random.Float64() < hotPromptShare {
		id = 0
	}
	generation := uint64((r.elapsed + promptLifetime*time.Duration(id)/sharedPrompts) / promptLifetime)
	r.requests++
	prompt := &admission.Prompt{Tokens: sharedTokens + 400, MaxOutputTokens: 300, Parts: []admission.PromptPart{
		{Key: 1 + id%firstParts, Tokens: firstTokens},
		{Key: 1000 + id + generation*1000, Tokens: sharedTokens - firstTokens},
		{Key: r.random.Uint64(), Tokens: 400},
	}}
	var tried []string
	for range 3 {
		permit, err := host.selector.Acquire(r.t.Context(), admission.Request{ID: "r", Service: "engines", Prompt: prompt, Exclude: tried})
		if err != nil {
			return
		}
		e := r.engine(permit.Target)
		if e.down {
			host.selector.Release(admission.Release{Service: "engines", Target: permit.Target, Outcome: admission.OutcomeUnreachable})
			tried = append(tried, permit.Target)
			continue
		}
		r.run(host, e, permit, prompt)
		return
	}
}

func (r *prefillReplay) engine(name string) *replayEngine {
	for _, e := range r.engines {
		if e.name == name {
			return e
		}
	}
	return nil
}

// run starts a request on an engine.
func (r *prefillReplay) run(host *fixture, e *replayEngine, permit admission.Permit, prompt *admission.Prompt) {
	now, total := r.clock.Now(), 0
	for _, other := range r.engines {
		total += len(other.running)
	}
	if float64(len(e.running)) > 2*float64(total)/prefillEngines+3 {
		r.overloaded++
	}
	if r.former && permit.Reason == route.Home.String() {
		permit.CacheSource = ""
	}
	var source *replayEngine
	for _, other := range r.engines {
		if other.name+":1" == permit.CacheSource {
			source = other
		}
	}
	held, copied, elsewhere := e.held(prompt), 0, 0
	if source != nil {
		copied = max(source.held(prompt)-held, 0)
	}
	for _, other := range r.engines {
		elsewhere = max(elsewhere, other.held(prompt))
	}
	if again := max(elsewhere-held-copied, 0); r.elapsed >= prefillWarmUp {
		r.cached += held
		r.transferred += copied
		r.again += again
		r.first += sharedTokens - held - copied - again
		if again > 0 {
			r.reasons[r.reason(host, permit, source)] += again
		}
	}
	missing := prompt.Parts[len(prompt.Parts)-1].Tokens + sharedTokens - held - copied
	e.use(now, prompt)
	work := time.Duration(float64(missing)/prefillPerSecond*float64(time.Second)) + 900*time.Millisecond
	crowd := 1 + float64(len(e.running))/prefillSlots
	e.running = append(e.running, &replayRun{host: host, permit: permit, prompt: prompt, endsAt: now.Add(time.Duration(float64(work) * crowd * e.slowdown))})
	load := target.Load{Running: len(e.running), Slots: prefillSlots}
	if r.figures {
		load.Slowdown = e.slowdown
	}
	host.selector.recordResponse(permit, target.ResponseHeader{Status: 200, Load: &load})
}

// reason says why a shared prompt is prefilled again.
func (r *prefillReplay) reason(host *fixture, permit admission.Permit, source *replayEngine) string {
	text := fmt.Sprintf("%s, ", permit.Reason)
	switch {
	case source != nil:
		text += "source has it no more"
	case permit.Inputs.CachedTokens >= sharedTokens:
		text += "believed to be cached"
	case permit.Inputs.CachedTokens > 0:
		text += "believed to be cached in part"
	default:
		text += "no source"
	}
	if now := r.clock.Now(); source == nil {
		for name, s := range host.selector.byName {
			if s.isAvoided(now) && !r.engine(name).down {
				return text + ", an engine is avoided"
			}
		}
		if s := host.selector.byName[permit.Target]; s.firstSeen.Sub(host.selector.firstTargetSeen) > startupSlack {
			text += ", joined later"
		}
	}
	return text
}

// tick advances the clock, ends requests and sends new ones.
func (r *prefillReplay) tick(at time.Duration) {
	r.clock.Advance(prefillTick)
	r.elapsed = at
	now := r.clock.Now()
	loads := map[string]int{}
	for _, e := range r.engines {
		if e.down && !now.Before(e.backAt) && e.state != roster.Gone {
			r.replace(e)
		}
		kept := e.running[:0]
		for _, run := range e.running {
			if now.Before(run.endsAt) {
				kept = append(kept, run)
				continue
			}
			took := run.endsAt.Sub(now.Add(-time.Second))
			run.host.selector.Release(admission.Release{
				Service: "engines", Target: e.name, Incarnation: run.permit.Incarnation, Outcome: admission.OutcomeDone, Succeeded: true,
				FirstByte: took / 4, Duration: took, Prompt: run.prompt, Inputs: run.permit.Inputs,
			})
		}
		e.running = kept
		if e.state != roster.Gone {
			loads[e.name] = len(kept)
		}
	}
	if at%prefillDigest == 0 {
		total, sum := byKey(loads), 0
		for _, load := range loads {
			sum += load
		}
		for _, host := range r.hosts {
			host.selector.applyLoads(total, float64(sum)/float64(len(loads)), host.selector.ownLoads())
		}
	}
	for range int(prefillRequestsRate * prefillTick / time.Second) {
		r.send()
	}
	if r.random.Float64() < math.Mod(prefillRequestsRate*prefillTick.Seconds(), 1) {
		r.send()
	}
}
