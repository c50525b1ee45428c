package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// fixture selects targets for one entry host without a network.
type fixture struct {
	clock    *clockwork.FakeClock
	daemon   *Entry
	selector *targetSelector
	view     *registry.View
}

func newFixture(t testing.TB) *fixture { return newFixtureWithClock(t, clockwork.NewFakeClock()) }

// newFixtureWithClock returns a host that shares its clock with others.
func newFixtureWithClock(t testing.TB, clock *clockwork.FakeClock) *fixture {
	log, err := logs.New(io.Discard, "info", "json")
	require.NoError(t, err)
	f := &fixture{clock: clock}
	f.daemon = &Entry{
		Dependencies: Dependencies{
			Settings: &settings.Settings{Host: "e-1", FailureDomain: "a"}, Clock: f.clock, Log: log, Scope: tally.NewTestScope("", nil),
		},
		view: newStateView(f.clock),
	}
	f.daemon.crashes = newCrashGuard(f.daemon)
	f.selector = newTargetSelector(f.daemon)
	f.daemon.selector = f.selector
	f.view = &registry.View{
		FleetVersion: 1, DomainsOut: map[string]bool{}, TargetsOut: map[string]bool{},
		Fleet: &fleet.Fleet{Services: []fleet.Service{
			{Name: "engines", Kind: fleet.KindModel, MovesCache: true, WarmUp: fleet.WarmUp{ColdPerSecond: 20}},
			{Name: "treasury", Kind: fleet.KindPlain},
		}},
	}
	f.daemon.view.replace(f.view)
	return f
}

// byKey returns loads by the keys of the targets.
func byKey(loads map[string]int) map[roster.Key]int {
	keyed := map[roster.Key]int{}
	for name, load := range loads {
		keyed[roster.KeyOf(name)] = load
	}
	return keyed
}

// newRosterEntry returns the roster entry of a ready target.
func (f *fixture) newRosterEntry(name, service, domain string, sequence uint64) roster.Entry {
	return roster.Entry{
		Announcement: target.Announcement{
			Name: name, Service: service, FailureDomain: domain, Address: name + ":1", Capacity: 8,
			Stamp: target.Stamp{Incarnation: 1, Sequence: sequence},
		},
		State: roster.Ready, LastSeen: f.clock.Now(),
	}
}

func (f *fixture) applyEntries(entries ...roster.Entry) { f.selector.applyRoster(entries, 0) }

func (f *fixture) acquire(t testing.TB, id, service string, exclude ...string) (admission.Permit, *admission.Refusal) {
	permit, err := f.selector.Acquire(t.Context(), admission.Request{ID: id, Service: service, Exclude: exclude})
	if err == nil {
		return permit, nil
	}
	refusal := &admission.Refusal{}
	require.ErrorAs(t, err, &refusal)
	return permit, refusal
}

func (f *fixture) release(permit admission.Permit, outcome admission.Outcome) {
	f.selector.Release(admission.Release{RequestID: permit.RequestID, Service: permit.Service, Target: permit.Target, Outcome: outcome})
}

func TestAcquire_SkipsUnavailableTargets(t *testing.T) {
	f := newFixture(t)
	_, refusal := f.acquire(t, "r", "treasury")
	require.Equal(t, admission.RefusedNoTarget, refusal.Code)
	require.Positive(t, refusal.RetryAfter)

	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1), f.newRosterEntry("t-2", "treasury", "b", 1))
	permit, _ := f.acquire(t, "r", "treasury")
	require.Equal(t, "t-1", permit.Target, "a target in the same failure domain is preferred")

	leaving := f.newRosterEntry("t-1", "treasury", "a", 2)
	leaving.State = roster.Leaving
	f.applyEntries(leaving)
	permit, _ = f.acquire(t, "r", "treasury")
	require.Equal(t, "t-2", permit.Target)

	out := *f.view
	out.DomainsOut = map[string]bool{"b": true}
	f.daemon.view.replace(&out)
	_, refusal = f.acquire(t, "r", "treasury")
	require.NotNil(t, refusal, "one target is draining, the failure domain of the other one is out of service")
	f.daemon.view.replace(f.view)
	_, refusal = f.acquire(t, "r", "treasury", "t-2")
	require.NotNil(t, refusal)
}

// A stream goes on only at targets of the version that began it, whatever the others cost.
func TestAcquire_RequiredVersionIsKept(t *testing.T) {
	f := newFixture(t)
	var entries []roster.Entry
	for i, version := range []string{"v1", "v1", "v2", "v2", "v2", ""} {
		entry := f.newRosterEntry(fmt.Sprint("e-", i), "engines", "a", 1)
		entry.Version = version
		entries = append(entries, entry)
	}
	f.applyEntries(entries...)
	for i := range 60 {
		version := []string{"v1", "v2", ""}[i%3]
		request := admission.Request{ID: fmt.Sprint(i), Service: "engines", Version: version, RequiresVersion: true}
		permit, err := f.selector.Acquire(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, version, permit.Version)
	}
	_, err := f.selector.Acquire(t.Context(), admission.Request{ID: "r", Service: "engines", Version: "v3", RequiresVersion: true})
	refusal := &admission.Refusal{}
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, admission.RefusedNoTarget, refusal.Code)
	require.Contains(t, refusal.Message, "6 have another version than \"v3\"")
}

// A request that arrived before its service left the configuration is still sent to a
// target of that service, within the limits that it arrived under.
func TestAcquire_ServiceRemovedSinceArrival(t *testing.T) {
	f := newFixture(t)
	f.selector.hosts.record(1)
	cold := f.newRosterEntry("e-2", "engines", "b", 1)
	cold.WarmUpRemaining = 10 * time.Second
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1), cold)
	f.clock.Advance(time.Second)
	arrived := f.view.Fleet.Services[0]
	without := *f.view
	without.FleetVersion, without.Fleet = 2, &fleet.Fleet{Services: f.view.Fleet.Services[1:]}
	f.daemon.view.replace(&without)

	request := admission.Request{ID: "r", Service: arrived.Name, ServiceConfig: &arrived, Exclude: []string{"e-1"}}
	permit, err := f.selector.Acquire(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, "e-2", permit.Target)
	_, err = f.selector.Acquire(t.Context(), request)
	refusal := &admission.Refusal{}
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, admission.RefusedNoTarget, refusal.Code, "the cold target has its request")

	_, refusal = f.acquire(t, "r", arrived.Name)
	require.Equal(t, admission.RefusedUnknownService, refusal.Code)
}

// An unreachable target is avoided until it responds, but still used when no
// other target is left.
func TestAcquire_UnreachableTargetIsLastResort(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1), f.newRosterEntry("t-2", "treasury", "b", 1))
	permit, _ := f.acquire(t, "r", "treasury")
	f.release(permit, admission.OutcomeUnreachable)
	for range 20 {
		f.clock.Advance(time.Second)
		again, _ := f.acquire(t, "r", "treasury")
		require.Equal(t, "t-2", again.Target)
		f.release(again, admission.OutcomeDone)
	}
	require.Equal(t, map[string]string{"t-1": "t-1:1"}, f.selector.collectUnreachable())
	fallback, _ := f.acquire(t, "r", "treasury", "t-2")
	require.Equal(t, "t-1", fallback.Target)
	f.release(fallback, admission.OutcomeDone)
	require.Empty(t, f.selector.collectUnreachable())
	f.clock.Advance(5 * failureRateHalfLife)
	recovered, _ := f.acquire(t, "r", "treasury")
	require.Equal(t, "t-1", recovered.Target, "an old failure is no longer counted")
}

// All hosts together stay below the request rate of a cold target, however many
// requests each of them has.
func TestColdTarget_HostsStayBelowRate(t *testing.T) {
	for _, hosts := range []int{1, 15, 102} {
		fixtures := make([]*fixture, hosts)
		for i := range fixtures {
			fixtures[i] = newFixture(t)
			fixtures[i].daemon.Settings.Host = fmt.Sprint("e-", i)
			fixtures[i].selector.hosts.record(hosts)
			cold := fixtures[i].newRosterEntry("e-1", "engines", "a", 1)
			cold.WarmUpRemaining = 10 * time.Second
			fixtures[i].applyEntries(cold)
		}
		const step = 10 * time.Millisecond
		var sent []int
		for tick := range 800 {
			sent = append(sent, 0)
			for _, f := range fixtures {
				f.clock.Advance(step)
				if _, refusal := f.acquire(t, fmt.Sprint(tick), "engines"); refusal == nil {
					sent[tick]++
				}
			}
		}
		window := int(time.Second / step)
		sum := 0
		for tick, n := range sent {
			sum += n
			if tick >= window {
				sum -= sent[tick-window]
			}
			require.LessOrEqual(t, sum, 20*3/2+5, "%d hosts in the second before tick %d", hosts, tick)
		}
		require.Positive(t, sum, "a cold target receives requests")
	}
}

// While every other target is cold as well, capacity that the hosts leave
// unused on one shifts load to the last warm target. A small number of hosts
// spreads its requests evenly enough to use the full rate.
func TestColdTarget_FewHostsUseFullRate(t *testing.T) {
	const hosts, coldPerSecond, seconds = 18, 20, 8
	sent := 0
	for i := range hosts {
		f := newFixture(t)
		f.daemon.Settings.Host = fmt.Sprint("e-", i)
		f.selector.hosts.record(hosts)
		cold := f.newRosterEntry("e-1", "engines", "a", 1)
		cold.WarmUpRemaining = 10 * time.Second
		f.applyEntries(cold)
		for range seconds * 100 {
			f.clock.Advance(10 * time.Millisecond)
			if _, refusal := f.acquire(t, "r", "engines"); refusal == nil {
				sent++
			}
		}
	}
	// The hosts' start offsets take up the first interval.
	require.GreaterOrEqual(t, sent, coldPerSecond*(seconds-1))
	require.LessOrEqual(t, sent, coldPerSecond*seconds)
}

// Until the number of hosts is known, each host uses a small share of the
// limits. A smaller count is accepted only after the largest one has expired.
func TestHostCount_DefaultAndExpiry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	hosts := &hostCount{clock: clock}
	require.Equal(t, defaultHostCount, hosts.count())
	hosts.record(18)
	hosts.record(0)
	require.Equal(t, 18, hosts.count())
	hosts.record(7)
	require.Equal(t, 18, hosts.count(), "a restarted hub knows only some of the hosts")
	clock.Advance(hostCountTTL + time.Second)
	hosts.record(7)
	require.Equal(t, 7, hosts.count())
}

// All hosts of the largest fleet have restarted while the hubs are away, so that none knows
// how many they are. Their shares must not add up to more than a limit.
func TestHostCount_SharesOfUnknownFleetStayWithinLimit(t *testing.T) {
	const largestFleet = 390
	hosts := &hostCount{clock: clockwork.NewFakeClock()}
	require.LessOrEqual(t, float64(largestFleet)/float64(hosts.count()), 1.0)
}

// In no window do all hosts together send more retries than the fleet allows.
func TestRetryBudget_HostsStayBelowFleetLimit(t *testing.T) {
	limits := settings.Retries{Share: 0.2, Extra: 126, Window: 10 * time.Second}
	for _, hosts := range []int{3, 18, 102} {
		clock := clockwork.NewFakeClock()
		budgets := make([]*retryBudget, hosts)
		for i := range budgets {
			budgets[i] = newRetryBudget(limits, func() int { return hosts }, clock)
		}
		const perTick = 2
		var requests, retries []int
		for range 600 {
			clock.Advance(50 * time.Millisecond)
			requests, retries = append(requests, 0), append(retries, 0)
			at := len(requests) - 1
			for i := range perTick {
				budgets[(at*perTick+i)%hosts].RecordRequest("s")
				requests[at]++
			}
			for _, budget := range budgets {
				for budget.TakeRetry("s") {
					retries[at]++
				}
			}
		}
		window := int(limits.Window / (50 * time.Millisecond))
		for end := window; end <= len(requests); end++ {
			sent, retried := 0, 0
			for i := end - window; i < end; i++ {
				sent += requests[i]
				retried += retries[i]
			}
			require.LessOrEqual(t, float64(retried), limits.Share*float64(sent)+float64(limits.Extra), "%d hosts", hosts)
			require.Positive(t, retried)
		}
	}
}

// The requests of other hosts on a target count, and are gradually replaced by
// the mean as the report ages.
func TestEstimateLoad_IncludesOtherHosts(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1), f.newRosterEntry("e-2", "engines", "a", 1))
	f.selector.applyLoads(byKey(map[string]int{"e-1": 12}), 2, byKey(map[string]int{"e-1": 1}))
	one, two := f.selector.byName["e-1"], f.selector.byName["e-2"]
	list := []*targetState{one, two}
	inFlight, _ := one.estimateLoad(f.clock.Now(), serviceLoads{hosts: 18, mean: meanOthersLoad(f.clock.Now(), list)})
	require.InDelta(t, 11, inFlight, 0.01)
	f.clock.Advance(loadReportTTL * 9 / 10)
	inFlight, _ = one.estimateLoad(f.clock.Now(), serviceLoads{hosts: 18, mean: meanOthersLoad(f.clock.Now(), list)})
	require.InDelta(t, 6.5, inFlight, 0.6, "close to the mean of both targets")
	one.recordLoad(f.clock.Now(), target.Load{Running: 30, Queued: 4, Slots: 8})
	inFlight, queued := one.estimateLoad(f.clock.Now(), serviceLoads{hosts: 18})
	require.InDelta(t, 30, inFlight, 0.01)
	require.InDelta(t, 4, queued, 0.01)
}

// On many hosts a digest is older than most requests are long. The home of popular
// prompts holds more than the mean, although one digest in two shows it idle: without
// its usual load, hosts would send to it as to any other target. Long requests are
// still there, so that their report counts.
func TestEstimateLoad_ShortRequestsAreEstimatedByUsualLoad(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("home", "engines", "a", 1), f.newRosterEntry("other", "engines", "a", 1))
	for i := range 40 {
		f.clock.Advance(500 * time.Millisecond)
		f.selector.applyLoads(byKey(map[string]int{"home": 6 * (i % 2), "other": 1}), 1, nil)
	}
	f.clock.Advance(500 * time.Millisecond)
	f.selector.applyLoads(byKey(map[string]int{"home": 0, "other": 1}), 1, nil)
	home := f.selector.byName["home"]
	estimate := func(duration time.Duration) float64 {
		inFlight, _ := home.estimateLoad(f.clock.Now(), serviceLoads{hosts: 100, mean: 1, reportAge: 600 * time.Millisecond, duration: duration})
		return inFlight
	}
	require.InDelta(t, 2.5, estimate(150*time.Millisecond), 0.5)
	require.Less(t, estimate(time.Minute), 0.2)
	require.Less(t, estimate(0), 0.2, "the duration is unknown")
}

// A target that this host learned of a moment ago does not count as idle: its first
// reports miss most of the requests that other hosts have just sent to it. Its service
// tells how many to expect; other services may hold more or fewer.
func TestApplyLoads_NewTargetStartsWithMeanOfItsService(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1), f.newRosterEntry("e-2", "engines", "a", 1), f.newRosterEntry("t-1", "treasury", "a", 1))
	loads := map[string]int{"e-1": 8, "e-2": 10, "t-1": 2}
	f.selector.applyLoads(byKey(loads), 6.7, byKey(map[string]int{"e-1": 1}))
	f.clock.Advance(100 * time.Millisecond)
	f.applyEntries(f.newRosterEntry("e-3", "engines", "a", 1), f.newRosterEntry("t-2", "treasury", "a", 1))
	loads["e-3"], loads["t-2"] = 0, 0
	f.selector.applyLoads(byKey(loads), 4, byKey(map[string]int{"e-1": 1}))
	require.InDelta(t, 8.5, f.selector.byName["e-3"].usualOthers, 0.01)
	require.InDelta(t, 2, f.selector.byName["t-2"].usualOthers, 0.01)
}

// A reply without loads changes nothing in what the host knows of them.
func TestApplyResponse_WithoutLoadsKeepsLoads(t *testing.T) {
	f := newFixture(t)
	watcher := newHubWatcher(f.daemon)
	entries := []roster.Entry{f.newRosterEntry("e-1", "engines", "a", 1)}
	require.NoError(t, watcher.applyResponse(peer.WatchResponse{Entries: entries, Loads: byKey(map[string]int{"e-1": 7}), MeanLoad: 7}, f.clock.Now(), nil))
	f.clock.Advance(10 * time.Millisecond)
	reportAge := f.selector.reports.age(f.clock.Now())
	require.NoError(t, watcher.applyResponse(peer.WatchResponse{WithoutLoads: true}, f.clock.Now(), nil))
	require.InDelta(t, 7, f.selector.byName["e-1"].othersInFlight, 0)
	require.Equal(t, reportAge, f.selector.reports.age(f.clock.Now()))
}

func TestApplyRoster_RestartClearsFailures(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1))
	permit, _ := f.acquire(t, "r", "treasury")
	f.release(permit, admission.OutcomeUnreachable)
	again := f.newRosterEntry("t-1", "treasury", "a", 1)
	again.Incarnation = 2
	f.applyEntries(again)
	require.Empty(t, f.selector.collectUnreachable())
	gone := f.newRosterEntry("t-1", "treasury", "a", 2)
	gone.Incarnation, gone.State = 2, roster.Gone
	f.applyEntries(gone)
	require.Zero(t, f.selector.readyCount())
}

func TestPrefixCacheIndex_ExpiryAndLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	index := newPrefixCacheIndex()
	parts := []admission.PromptPart{{Key: 1, Tokens: 500}, {Key: 2, Tokens: 1000}, {Key: 3, Tokens: 100}}
	index.recordSent(now, 7, parts[:2])
	require.Equal(t, 1500, index.cachedTokens(now, 7, parts))
	require.Zero(t, index.cachedTokens(now, 8, parts))
	require.Zero(t, index.cachedTokens(now, 7, parts[1:2:2][:0]))
	require.Zero(t, index.cachedTokens(now, 7, []admission.PromptPart{{Key: 9, Tokens: 1}, {Key: 2, Tokens: 1000}}), "a part counts only if all parts before it are cached")
	require.Zero(t, index.cachedTokens(now.Add(cachedPartTTL+time.Second), 7, parts))
	for i := range uint64(maxCachedParts * 2) {
		index.recordSent(now.Add(time.Duration(i)*time.Millisecond), 7, []admission.PromptPart{{Key: i}})
	}
	require.LessOrEqual(t, len(index.lastSent), maxCachedParts)
}

func TestRetryBudget_InitialBurst(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := settings.Retries{Share: 0.2, Extra: 126, Window: 10 * time.Second}
	budget := newRetryBudget(limits, func() int { return 1 }, clock)
	taken := 0
	for budget.TakeRetry("s") {
		taken++
	}
	require.InDelta(t, burstFraction*126, taken, 1, "a single host can use the whole burst at once")
}

// A retry that was not used is available again, but never more than the burst.
func TestRetryBudget_ReturnedRetryIsAvailableWithinBurst(t *testing.T) {
	limits := settings.Retries{Share: 0.2, Extra: 10, Window: 10 * time.Second}
	budget := newRetryBudget(limits, func() int { return 1 }, clockwork.NewFakeClock())
	take := func() (taken int) {
		for budget.TakeRetry("s") {
			taken++
		}
		return taken
	}
	burst := take()
	require.Equal(t, 4, burst)
	budget.ReturnRetry("s")
	require.Equal(t, 1, take())
	for range 2 * burst {
		budget.ReturnRetry("s")
	}
	require.Equal(t, burst, take())
}

// A plain service with full queues admits a share of the requests and spreads
// the retry delays of the others.
func TestThrottle_FullServiceAdmitsShare(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "treasury", "a", 1))
	acquireMany := func() (granted, refused int) {
		for i := range 400 {
			permit, refusal := f.acquire(t, fmt.Sprint(i), "treasury")
			if refusal == nil {
				granted++
				f.release(permit, admission.OutcomeDone)
				continue
			}
			refused++
			require.Equal(t, admission.RefusedQueueFull, refusal.Code)
			require.GreaterOrEqual(t, refusal.RetryAfter, queueFullRetryAfter)
			require.Less(t, refusal.RetryAfter, 2*queueFullRetryAfter)
		}
		return granted, refused
	}
	f.selector.applyLoads(byKey(map[string]int{"t-1": 3}), 0, nil)
	_, refused := acquireMany()
	require.Zero(t, refused, "slots are free")
	for range 6 {
		f.clock.Advance(200 * time.Millisecond)
		f.selector.applyLoads(byKey(map[string]int{"t-1": 60}), 0, nil)
	}
	granted, refused := acquireMany()
	require.Positive(t, granted)
	require.Greater(t, refused, granted)
	for range 6 {
		f.clock.Advance(200 * time.Millisecond)
		f.selector.applyLoads(byKey(map[string]int{"t-1": 1}), 0, nil)
	}
	_, refused = acquireMany()
	require.Zero(t, refused, "slots are free again")
}
