package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/ratelimit"
	"comfreytiller.dev/target/roster"
)

// What the requests of all hosts to a target with a rate limit must stay below, in any
// window: a multiple of what the limit allows, and some more. A host counts from a while
// after it has received the limit.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitExtra     = 5
	limitReaction  = 500 * time.Millisecond
	replayDuration = 400 * time.Millisecond
)

// limitReplay sends the requests of many hosts to a service, one of whose targets names a
// rate limit.
type limitReplay struct {
	t       *testing.T
	clock   *clockwork.FakeClock
	random  *rand.Rand
	hosts   []*fixture
	limited string
	// limit is the rate limit that the target names now; 0 for none.
	limit float64
	// toldAt is when each host received the limit first.
	toldAt map[*fixture]time.Time
	// arrivals are those at the limited target from hosts that count, limits the limits at
	// these times.
	arrivals []time.Time
	limits   []float64
	// all counts the arrivals at all targets, refused the requests without a target.
	all     map[string]int
	refused int
	running []runningRequest
}

type runningRequest struct {
	host   *fixture
	permit admission.Permit
	endsAt time.Time
}

func newLimitReplay(t *testing.T, hosts int, targets ...string) *limitReplay {
	r := &limitReplay{
		t: t, clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(11, uint64(hosts))), limited: targets[0],
		toldAt: map[*fixture]time.Time{}, all: map[string]int{},
	}
	for i := range hosts {
		r.hosts = append(r.hosts, r.newHost(i, hosts, targets))
	}
	return r
}

func (r *limitReplay) newHost(i, hosts int, targets []string) *fixture {
	f := newFixtureWithClock(r.t, r.clock)
	f.daemon.Settings.Host = fmt.Sprint("e-", i)
	f.selector.hosts.record(hosts)
	for _, name := range targets {
		f.applyEntries(f.newRosterEntry(name, "engines", "a", 1))
	}
	return f
}

// run sends a number of requests a second of the whole fleet for a time.
func (r *limitReplay) run(perSecond float64, duration time.Duration) {
	const step = 10 * time.Millisecond
	for range int(duration / step) {
		r.clock.Advance(step)
		now := r.clock.Now()
		r.finish(now)
		for range int(perSecond*step.Seconds() + r.random.Float64()) {
			r.send(now, r.hosts[r.random.IntN(len(r.hosts))])
		}
	}
}

func (r *limitReplay) send(now time.Time, f *fixture) {
	prompt := &admission.Prompt{Parts: []admission.PromptPart{{Key: r.random.Uint64N(60) + 1, Tokens: 2000}, {Key: r.random.Uint64(), Tokens: 100}}}
	permit, err := f.selector.Acquire(r.t.Context(), admission.Request{ID: "r", Service: "engines", Prompt: prompt})
	if err != nil {
		r.refused++
		return
	}
	r.all[permit.Target]++
	header := target.ResponseHeader{Status: 200, TellsRateLimit: true}
	if permit.Target == r.limited {
		told, known := r.toldAt[f]
		if known && now.Sub(told) >= limitReaction {
			r.arrivals, r.limits = append(r.arrivals, now), append(r.limits, r.limit)
			r.check(now)
		}
		if r.limit > 0 {
			header.RateLimit = &r.limit
			if !known {
				r.toldAt[f] = now
			}
		}
	}
	f.selector.recordResponse(permit, header)
	r.running = append(r.running, runningRequest{f, permit, now.Add(replayDuration)})
}

// check requires that the window that ends now holds no more requests than the limits
// named in it allow.
func (r *limitReplay) check(now time.Time) {
	count, highest := 0, 0.0
	for i := len(r.arrivals) - 1; i >= 0 && now.Sub(r.arrivals[i]) < limitWindow; i-- {
		if r.limits[i] == 0 {
			return
		}
		count, highest = count+1, max(highest, r.limits[i])
	}
	allowed := limitFactor*highest*limitWindow.Seconds() + limitExtra
	require.LessOrEqual(r.t, float64(count), allowed, "requests in a window of a limit of %v a second", highest)
}

func (r *limitReplay) finish(now time.Time) {
	for len(r.running) > 0 && !r.running[0].endsAt.After(now) {
		r.running[0].host.release(r.running[0].permit, admission.OutcomeDone)
		r.running = r.running[1:]
	}
}

// A target names a rate limit for all hosts together, which get it one after the other in
// its responses and none of which knows what the others send. However many hosts there
// are, and while no hub tells them anything, their requests stay within the limit, and the
// other targets get the rest.
func TestTargetRateLimit_HostsTogetherStayBelowIt(t *testing.T) {
	for _, hosts := range []int{3, 18, 300} {
		for _, perSecond := range []float64{40, 150} {
			t.Run(fmt.Sprintf("%d hosts, %v requests a second", hosts, perSecond), func(t *testing.T) {
				r := newLimitReplay(t, hosts, "t-1", "t-2", "t-3")
				r.run(perSecond, 5*time.Second)
				r.limit = 5
				r.run(perSecond, 40*time.Second)
				r.limit = 2.5
				r.run(perSecond, 40*time.Second)
				require.Zero(t, r.refused, "the other targets take the rest")
				require.Positive(t, r.all["t-1"])
			})
		}
	}
}

// All targets of a service name a limit, and the requests come in bursts. A host that
// sent nothing for a while must not catch up with it.
func TestTargetRateLimit_BurstAfterALullStaysBelowIt(t *testing.T) {
	for _, hosts := range []int{3, 18, 300} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			r := newLimitReplay(t, hosts, "t-1")
			r.limit = 6
			r.run(100, 20*time.Second)
			for range 5 {
				r.run(0, 20*time.Second)
				before := r.all["t-1"]
				r.run(400, 5*time.Second)
				require.Greater(t, r.all["t-1"], before, "the target gets requests")
			}
		})
	}
}

// exchangeReports passes the reports of all hosts to a hub's table, and its entries to all
// hosts.
func (r *limitReplay) exchangeReports(hub *roster.Table) {
	now := r.clock.Now()
	for _, f := range r.hosts {
		for _, report := range f.selector.rateLimitReports() {
			hub.RecordRateLimit(now, report)
		}
	}
	entries, _ := hub.ChangedSince(0)
	for _, f := range r.hosts {
		f.applyEntries(entries...)
	}
}

func newHubTable(f *fixture, targets ...string) *roster.Table {
	hub := roster.NewTable()
	for _, name := range targets {
		hub.Merge(f.clock.Now(), f.newRosterEntry(name, "engines", "a", 1))
	}
	return hub
}

// What the responses to one host tell of a limit, its figure and its end, is known to all
// hosts once they have polled the hubs, also to those that start later, and a hub that has
// lost it gets it back from the hosts.
func TestTargetRateLimit_HubsTellWhatOneHostLearned(t *testing.T) {
	r := newLimitReplay(t, 20, "t-1", "t-2")
	hub := newHubTable(r.hosts[0], "t-1", "t-2")
	limitAt := func(f *fixture) ratelimit.Limit { return f.selector.byName["t-1"].limit }
	tell := func(f *fixture, limit *float64) {
		r.clock.Advance(time.Second)
		permit := admission.Permit{Target: "t-1", Incarnation: 1, Service: "engines"}
		f.selector.recordResponse(permit, target.ResponseHeader{Status: 200, TellsRateLimit: true, RateLimit: limit})
	}
	five, seven := 5.0, 7.0
	tell(r.hosts[3], &five)
	require.False(t, limitAt(r.hosts[4]).IsLimited)
	r.exchangeReports(hub)
	for _, f := range r.hosts {
		require.InDelta(t, five, limitAt(f).PerSecond, 0)
		require.Empty(t, f.selector.rateLimitReports(), "nothing is left to report")
	}

	hub = newHubTable(r.hosts[0], "t-1", "t-2")
	entries, _ := hub.ChangedSince(0)
	r.hosts[0].applyEntries(entries...)
	require.True(t, limitAt(r.hosts[0]).IsLimited, "a hub that restarted does not know better")
	r.exchangeReports(hub)
	started := r.newHost(20, 20, []string{"t-1", "t-2"})
	r.hosts = append(r.hosts, started)
	r.exchangeReports(hub)
	require.InDelta(t, five, limitAt(started).PerSecond, 0)

	tell(r.hosts[5], &seven)
	r.exchangeReports(hub)
	require.InDelta(t, seven, limitAt(r.hosts[6]).PerSecond, 0)
	tell(r.hosts[6], nil)
	r.exchangeReports(hub)
	for _, f := range r.hosts {
		require.False(t, limitAt(f).IsLimited)
	}

	// The next start of the target has named no limit, and a late response of the former
	// one doesn't tell it.
	tell(r.hosts[7], &five)
	restarted := r.hosts[7].newRosterEntry("t-1", "engines", "a", 1)
	restarted.Incarnation = 2
	r.hosts[7].applyEntries(restarted)
	tell(r.hosts[7], &five)
	require.False(t, limitAt(r.hosts[7]).IsLimited)
}

// While the queues of a plain service's targets with a limit stay empty, those of the
// others fill up. The share of admitted requests must follow from what is left.
func TestUpdateThrottles_LimitedTargetsOfferFewSlots(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1), f.newRosterEntry("t-2", "treasury", "a", 1))
	one, two := 1.0, f.selector.byName["t-2"]
	f.selector.recordResponse(admission.Permit{Target: "t-1", Incarnation: 1, Service: "treasury"}, target.ResponseHeader{Status: 200, TellsRateLimit: true, RateLimit: &one})
	f.selector.durations["treasury"] = 50 * time.Millisecond
	require.Equal(t, 1, f.selector.byName["t-1"].usableSlots(50*time.Millisecond))
	require.Equal(t, two.Capacity, two.usableSlots(50*time.Millisecond))
	f.selector.applyLoads(byKey(map[string]int{"t-1": 0, "t-2": 3 * two.Capacity}), 0, nil)
	require.Less(t, f.selector.throttles["treasury"].AdmitRate(), 1.0)
}

// Beside targets with a limit, the others take prompts until all of their slots are in use.
// What a host only guesses of the others' requests, without a report, is no reason to
// refuse.
func TestAcquire_PromptBesideLimitedTargetsIsRefusedWhenSlotsAreInUse(t *testing.T) {
	f := newFixture(t)
	f.selector.hosts.record(300)
	f.applyEntries(f.newRosterEntry("t-1", "engines", "a", 1), f.newRosterEntry("t-2", "engines", "a", 1))
	limit := 0.1
	f.selector.recordResponse(admission.Permit{Target: "t-1", Incarnation: 1, Service: "engines"}, target.ResponseHeader{Status: 200, TellsRateLimit: true, RateLimit: &limit})
	acquire := func() error {
		_, err := f.selector.Acquire(t.Context(), admission.Request{ID: "r", Service: "engines", Prompt: samplePrompt(1, 2)})
		return err
	}
	for range 20 {
		require.NoError(t, acquire(), "no report")
	}
	f.selector.applyLoads(byKey(map[string]int{"t-2": 8}), 0, nil)
	var refusal *admission.Refusal
	require.ErrorAs(t, acquire(), &refusal)
	require.Equal(t, admission.RefusedNoTarget, refusal.Code)
	require.Positive(t, refusal.RetryAfter)
}

// Only a response of the target tells its limit. An attempt that failed without one, a
// response of another target at its address, or a value that can't be read end nothing.
func TestRecordResponse_OnlyOwnResponseEndsRateLimit(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "engines", "a", 1))
	permit := admission.Permit{Target: "t-1", Incarnation: 1, Service: "engines"}
	limit := 4.0
	f.selector.recordResponse(permit, target.ResponseHeader{Status: 200, TellsRateLimit: true, RateLimit: &limit})
	for name, header := range map[string]target.ResponseHeader{
		"no response":    {},
		"another target": {Status: 421, NotExecuted: true},
		"unreadable":     {Status: 200, RateLimitProblem: "not a number"},
	} {
		f.clock.Advance(time.Second)
		f.selector.recordResponse(permit, header)
		require.True(t, f.selector.byName["t-1"].limit.IsLimited, name)
	}
	f.clock.Advance(time.Second)
	f.selector.recordResponse(permit, target.ResponseHeader{Status: 500, TellsRateLimit: true})
	require.False(t, f.selector.byName["t-1"].limit.IsLimited)
}
