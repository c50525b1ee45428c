package entry

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// fixture decides for one entry host without a network.
type fixture struct {
	clock   *clockwork.FakeClock
	entry   *Entry
	targets *targets
	view    *registry.View
}

func newFixture(t testing.TB) *fixture {
	log, err := logs.New(io.Discard, "info", "json")
	require.NoError(t, err)
	f := &fixture{clock: clockwork.NewFakeClock()}
	f.entry = &Entry{
		Dependencies: Dependencies{
			Settings: &settings.Settings{Host: "e-1", FailureDomain: "a"}, Clock: f.clock, Log: log,
		},
		view: newFleetView(),
	}
	f.targets = newTargets(f.entry)
	f.entry.targets = f.targets
	f.view = &registry.View{
		FleetVersion: 1, DomainsOut: map[string]bool{}, TargetsOut: map[string]bool{},
		Fleet: &fleet.Fleet{Services: []fleet.Service{
			{Name: "engines", Kind: fleet.KindModel, MovesCache: true, WarmUp: fleet.WarmUp{ColdPerSecond: 20}},
			{Name: "treasury", Kind: fleet.KindPlain},
		}},
	}
	f.entry.view.set(f.view)
	return f
}

// entryOf is a target's word.
func (f *fixture) entryOf(name, service, domain string, sequence uint64) roster.Entry {
	return roster.Entry{
		Announcement: target.Announcement{
			Name: name, Service: service, FailureDomain: domain, Address: name + ":1", Capacity: 8,
			Stamp: target.Stamp{Incarnation: 1, Sequence: sequence},
		},
		State: roster.Ready, Heard: f.clock.Now(),
	}
}

func (f *fixture) hear(entries ...roster.Entry) { f.targets.take(entries, 0) }

func (f *fixture) ask(t testing.TB, id, service string, exclude ...string) (admission.Permit, *admission.Refusal) {
	permit, err := f.targets.Acquire(t.Context(), admission.Request{ID: id, Service: service, Exclude: exclude})
	if err == nil {
		return permit, nil
	}
	refusal := &admission.Refusal{}
	require.ErrorAs(t, err, &refusal)
	return permit, refusal
}

func (f *fixture) end(permit admission.Permit, outcome admission.Outcome) {
	f.targets.Release(admission.Release{RequestID: permit.RequestID, Service: permit.Service, Target: permit.Target, Outcome: outcome})
}

func TestWhatTakesNoWorkIsPassedOver(t *testing.T) {
	f := newFixture(t)
	_, refusal := f.ask(t, "r", "treasury")
	require.Equal(t, admission.RefusedNoTarget, refusal.Code)
	require.Positive(t, refusal.RetryAfter)

	f.hear(f.entryOf("t-1", "treasury", "a", 1), f.entryOf("t-2", "treasury", "b", 1))
	permit, _ := f.ask(t, "r", "treasury")
	require.Equal(t, "t-1", permit.Target, "the near one")

	leaving := f.entryOf("t-1", "treasury", "a", 2)
	leaving.State = roster.Leaving
	f.hear(leaving)
	permit, _ = f.ask(t, "r", "treasury")
	require.Equal(t, "t-2", permit.Target)

	out := *f.view
	out.DomainsOut = map[string]bool{"b": true}
	f.entry.view.set(&out)
	_, refusal = f.ask(t, "r", "treasury")
	require.NotNil(t, refusal, "one leaves, the other's failure domain is out")
	f.entry.view.set(f.view)
	_, refusal = f.ask(t, "r", "treasury", "t-2")
	require.NotNil(t, refusal)
}

// A target that can't be reached is avoided until it answers, and is still the
// last resort.
func TestAnUnreachableTargetIsTheLastResort(t *testing.T) {
	f := newFixture(t)
	f.hear(f.entryOf("t-1", "treasury", "a", 1), f.entryOf("t-2", "treasury", "b", 1))
	permit, _ := f.ask(t, "r", "treasury")
	f.end(permit, admission.OutcomeUnreachable)
	for range 20 {
		f.clock.Advance(time.Second)
		again, _ := f.ask(t, "r", "treasury")
		require.Equal(t, "t-2", again.Target)
		f.end(again, admission.OutcomeDone)
	}
	require.Equal(t, map[string]string{"t-1": "t-1:1"}, f.targets.unreachable())
	last, _ := f.ask(t, "r", "treasury", "t-2")
	require.Equal(t, "t-1", last.Target)
	f.end(last, admission.OutcomeDone)
	require.Empty(t, f.targets.unreachable())
	f.clock.Advance(5 * failingHalves)
	near, _ := f.ask(t, "r", "treasury")
	require.Equal(t, "t-1", near.Target, "an old failure counts no more")
}

// All hosts together stay below what a cold target bears, whatever each of them
// would like to send.
func TestHostsShareWhatAColdTargetBears(t *testing.T) {
	for _, hosts := range []int{1, 15, 102} {
		fixtures := make([]*fixture, hosts)
		for i := range fixtures {
			fixtures[i] = newFixture(t)
			fixtures[i].entry.Settings.Host = fmt.Sprint("e-", i)
			fixtures[i].targets.hosts.take(hosts)
			cold := fixtures[i].entryOf("e-1", "engines", "a", 1)
			cold.WarmUp = 10 * time.Second
			fixtures[i].hear(cold)
		}
		const step = 10 * time.Millisecond
		var sent []int
		for tick := range 800 {
			sent = append(sent, 0)
			for _, f := range fixtures {
				f.clock.Advance(step)
				if _, refusal := f.ask(t, fmt.Sprint(tick), "engines"); refusal == nil {
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
		require.Positive(t, sum, "a cold target gets what it bears")
	}
}

// While every other target is cold as well, what the hosts leave unused of one
// goes to the last warm target. Few hosts meet evenly enough to use all of it.
func TestFewHostsUseAllThatAColdTargetBears(t *testing.T) {
	const hosts, bears, seconds = 18, 20, 8
	sent := 0
	for i := range hosts {
		f := newFixture(t)
		f.entry.Settings.Host = fmt.Sprint("e-", i)
		f.targets.hosts.take(hosts)
		cold := f.entryOf("e-1", "engines", "a", 1)
		cold.WarmUp = 10 * time.Second
		f.hear(cold)
		for range seconds * 100 {
			f.clock.Advance(10 * time.Millisecond)
			if _, refusal := f.ask(t, "r", "engines"); refusal == nil {
				sent++
			}
		}
	}
	// The first interval goes to the hosts' turns.
	require.GreaterOrEqual(t, sent, bears*(seconds-1))
	require.LessOrEqual(t, sent, bears*seconds)
}

// Until the number of hosts is known the share is a small one.
func TestAnUnknownNumberOfHostsIsTakenForALargeOne(t *testing.T) {
	clock := clockwork.NewFakeClock()
	hosts := &hostCount{clock: clock}
	require.Equal(t, assumedHosts, hosts.count())
	hosts.take(18)
	hosts.take(0)
	require.Equal(t, 18, hosts.count())
	hosts.take(7)
	require.Equal(t, 18, hosts.count(), "hubs that were restarted know few")
	clock.Advance(hostsLast + time.Second)
	hosts.take(7)
	require.Equal(t, 7, hosts.count())
}

// In no window do all hosts together send more once more than the fleet allows.
func TestHostsShareTheRetries(t *testing.T) {
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
			sent, again := 0, 0
			for i := end - window; i < end; i++ {
				sent += requests[i]
				again += retries[i]
			}
			require.LessOrEqual(t, float64(again), limits.Share*float64(sent)+float64(limits.Extra), "%d hosts", hosts)
			require.Positive(t, again)
		}
	}
}

// What other hosts have on a target counts, and gives way to the mean as it grows
// old.
func TestLoadsOfOtherHostsCount(t *testing.T) {
	f := newFixture(t)
	f.hear(f.entryOf("e-1", "engines", "a", 1), f.entryOf("e-2", "engines", "a", 1))
	f.targets.takeLoads(map[string]int{"e-1": 12}, 2, map[string]int{"e-1": 1})
	one, two := f.targets.byName["e-1"], f.targets.byName["e-2"]
	list := []*known{one, two}
	running, _ := one.estimate(f.clock.Now(), 18, meanOthers(f.clock.Now(), list))
	require.InDelta(t, 11, running, 0.01)
	f.clock.Advance(loadLasts * 9 / 10)
	running, _ = one.estimate(f.clock.Now(), 18, meanOthers(f.clock.Now(), list))
	require.InDelta(t, 6.5, running, 0.6, "the mean of both")
	one.told(f.clock.Now(), target.Load{Running: 30, Waiting: 4, Slots: 8})
	running, waiting := one.estimate(f.clock.Now(), 18, 0)
	require.InDelta(t, 30, running, 0.01)
	require.InDelta(t, 4, waiting, 0.01)
}

func TestARestartedTargetStartsAfresh(t *testing.T) {
	f := newFixture(t)
	f.hear(f.entryOf("t-1", "treasury", "a", 1))
	permit, _ := f.ask(t, "r", "treasury")
	f.end(permit, admission.OutcomeUnreachable)
	again := f.entryOf("t-1", "treasury", "a", 1)
	again.Incarnation = 2
	f.hear(again)
	require.Empty(t, f.targets.unreachable())
	gone := f.entryOf("t-1", "treasury", "a", 2)
	gone.Incarnation, gone.State = 2, roster.Gone
	f.hear(gone)
	require.Zero(t, f.targets.count())
}

func TestPartsThatWereSentAreKeptForAWhile(t *testing.T) {
	now := time.Unix(1000, 0)
	kept := newKeptParts()
	parts := []admission.PromptPart{{Key: 1, Tokens: 500}, {Key: 2, Tokens: 1000}, {Key: 3, Tokens: 100}}
	kept.add(now, 7, parts[:2])
	require.Equal(t, 1500, kept.tokens(now, 7, parts))
	require.Zero(t, kept.tokens(now, 8, parts))
	require.Zero(t, kept.tokens(now, 7, parts[1:2:2][:0]))
	require.Zero(t, kept.tokens(now, 7, []admission.PromptPart{{Key: 9, Tokens: 1}, {Key: 2, Tokens: 1000}}), "a part counts only after all before it")
	require.Zero(t, kept.tokens(now.Add(keptLasts+time.Second), 7, parts))
	for i := range uint64(mostKept * 2) {
		kept.add(now.Add(time.Duration(i)*time.Millisecond), 7, []admission.PromptPart{{Key: i}})
	}
	require.LessOrEqual(t, len(kept.used), mostKept)
}

func TestLimitsOfWindowsCanFail(t *testing.T) {
	clock := clockwork.NewFakeClock()
	limits := settings.Retries{Share: 0.2, Extra: 126, Window: 10 * time.Second}
	budget := newRetryBudget(limits, func() int { return 1 }, clock)
	taken := 0
	for budget.TakeRetry("s") {
		taken++
	}
	require.InDelta(t, savedPart*126, taken, 1, "one host alone has what is saved up at once")
}

// A plain service whose queues are full lets a share of the requests through and
// tells the others when to come back, spread over a while.
func TestAFullServiceLetsAShareThrough(t *testing.T) {
	f := newFixture(t)
	f.hear(f.entryOf("t-1", "treasury", "a", 1))
	ask := func() (granted, refused int) {
		for i := range 400 {
			permit, refusal := f.ask(t, fmt.Sprint(i), "treasury")
			if refusal == nil {
				granted++
				f.end(permit, admission.OutcomeDone)
				continue
			}
			refused++
			require.Equal(t, admission.RefusedQueueFull, refusal.Code)
			require.GreaterOrEqual(t, refusal.RetryAfter, fullRetry)
			require.Less(t, refusal.RetryAfter, 2*fullRetry)
		}
		return granted, refused
	}
	f.targets.takeLoads(map[string]int{"t-1": 3}, 0, nil)
	_, refused := ask()
	require.Zero(t, refused, "there is room")
	for range 6 {
		f.clock.Advance(200 * time.Millisecond)
		f.targets.takeLoads(map[string]int{"t-1": 60}, 0, nil)
	}
	granted, refused := ask()
	require.Positive(t, granted)
	require.Greater(t, refused, granted)
	for range 6 {
		f.clock.Advance(200 * time.Millisecond)
		f.targets.takeLoads(map[string]int{"t-1": 1}, 0, nil)
	}
	_, refused = ask()
	require.Zero(t, refused, "it has room again")
}
