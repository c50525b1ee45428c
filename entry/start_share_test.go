package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
)

// The first hosts that were back after a loss of power sent the demand of the whole fleet to
// the first targets that they learned of. They send no more than these have room for, and
// refuse the rest with spread delays.
func TestStartShare_FirstHostsDontOverloadFirstTargets(t *testing.T) {
	clock := clockwork.NewFakeClock()
	const hosts, targets, slots, demand = 12, 4, 8, 40
	inFlight, refused := map[string]int{}, 0
	shortest, longest := time.Hour, time.Duration(0)
	var first []admission.Permit
	fixtures := make([]*fixture, hosts)
	for i := range fixtures {
		f := newFixtureWithClock(t, clock)
		f.daemon.Settings.Host = fmt.Sprint("e-", i)
		for target := range targets {
			entry := f.newRosterEntry(fmt.Sprint("t-", target), "engines", "a", 1)
			entry.Capacity = slots
			f.applyEntries(entry)
		}
		f.selector.hosts.recordPresent(hosts)
		fixtures[i] = f
		for j := range demand {
			permit, refusal := f.acquire(t, fmt.Sprint("r-", i, "-", j), "engines")
			if refusal == nil {
				inFlight[permit.Target]++
				if i == 0 {
					first = append(first, permit)
				}
				continue
			}
			refused++
			require.Equal(t, admission.RefusedQueueFull, refusal.Code)
			shortest, longest = min(shortest, refusal.RetryAfter), max(longest, refusal.RetryAfter)
		}
	}
	total := 0
	for target, count := range inFlight {
		total += count
		require.LessOrEqual(t, count, 2*slots, target)
	}
	require.GreaterOrEqual(t, total, targets*slots)
	require.LessOrEqual(t, total, targets*slots+hosts, "each host rounds up")
	require.Equal(t, hosts*demand-total, refused)
	require.GreaterOrEqual(t, shortest, startRetryAfter)
	require.Less(t, longest, 2*startRetryAfter)
	require.Greater(t, longest-shortest, startRetryAfter/2, "callers don't come back together")

	// A request that ends makes room, and the limit ends once the number of hosts is known.
	f := fixtures[0]
	f.release(first[0], admission.OutcomeDone)
	_, refusal := f.acquire(t, "next", "engines")
	require.Nil(t, refusal)
	_, refusal = f.acquire(t, "beyond", "engines")
	require.NotNil(t, refusal)
	_, refusal = f.acquire(t, "retry", "engines", "t-0")
	require.Nil(t, refusal, "a request that another target has refused is not refused for this")
	f.selector.applyRoster(nil, 141)
	_, refusal = f.acquire(t, "ordinary", "engines")
	require.Nil(t, refusal)
}

// Hosts of a hub that doesn't report how many are back, or that is lost, are not limited.
func TestStartShare_OrdinaryOperationIsUnchanged(t *testing.T) {
	f := newFixture(t)
	entry := f.newRosterEntry("t-1", "engines", "a", 1)
	entry.Capacity = 1
	f.applyEntries(entry)
	for i := range 20 {
		_, refusal := f.acquire(t, fmt.Sprint("r-", i), "engines")
		require.Nil(t, refusal)
	}
	f.selector.hosts.recordPresent(3)
	_, refusal := f.acquire(t, "limited", "engines")
	require.NotNil(t, refusal)
	f.clock.Advance(presentTTL + time.Millisecond)
	_, refusal = f.acquire(t, "hub lost", "engines")
	require.Nil(t, refusal)
	f.selector.hosts.recordPresent(3)
	f.selector.hosts.record(141)
	require.Zero(t, f.selector.hosts.starting())
	require.Equal(t, 1, startShare(3, 1, 141))
	require.Equal(t, 28, startShare(60*64, 1, 141))
}

// After a loss of power, targets that the hubs learned of late counted as recently joined, and
// the first ones got all shared prompts. A target that has really joined still gets none at
// first.
func TestUpdateTarget_ReturningTargetsHaveNotJoined(t *testing.T) {
	f := newFixture(t)
	f.applyEntries(f.newRosterEntry("t-1", "engines", "a", 1))
	f.clock.Advance(startupSlack + time.Second)
	f.applyEntries(f.newRosterEntry("joined", "engines", "a", returnedSequence-1), f.newRosterEntry("forgotten", "engines", "a", returnedSequence))
	f.selector.hosts.recordPresent(12)
	f.applyEntries(f.newRosterEntry("late", "engines", "a", 1))
	joined := func(name string) bool {
		request := admission.Request{}
		state := f.selector.byName[name]
		return f.selector.describeCandidate(f.clock.Now(), state, f.view, &f.view.Fleet.Services[0], &request, serviceLoads{}).RecentlyJoined
	}
	require.False(t, joined("t-1"))
	require.True(t, joined("joined"))
	require.False(t, joined("forgotten"))
	require.False(t, joined("late"), "the fleet starts")
	f.selector.hosts.record(141)
	f.applyEntries(f.newRosterEntry("new", "engines", "a", 1))
	require.True(t, joined("new"))
}

// Hosts don't have equal demand: one that has its share goes on while the digests say that the
// targets have room, and stops before they are full.
func TestStartShare_ReportedRoomIsUsed(t *testing.T) {
	f := newFixture(t)
	const slots = 64
	entry := f.newRosterEntry("t-1", "engines", "a", 1)
	entry.Capacity = slots
	f.applyEntries(entry)
	f.selector.hosts.recordPresent(slots)
	admitted := func() (count int) {
		for i := range slots {
			if _, refusal := f.acquire(t, fmt.Sprint("r-", i), "engines"); refusal == nil {
				count++
			}
		}
		return count
	}
	require.Equal(t, 1, admitted(), "without a report")
	f.selector.applyLoads(byKey(map[string]int{"t-1": 20}), 0, nil)
	require.InDelta(t, startFreePart*slots-20, 1+admitted(), 2)
	f.selector.applyLoads(byKey(map[string]int{"t-1": 60}), 0, nil)
	require.Zero(t, admitted())
}
