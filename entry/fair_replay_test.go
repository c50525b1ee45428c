package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/target/roster"
)

const (
	fairReplayHosts   = 60
	fairReplaySlots   = 8
	fairReplayTargets = 3
	fairReplayWork    = 120 * time.Millisecond
	fairReplayStep    = 10 * time.Millisecond
)

var fairReplayDomains = [fairReplayTargets]string{"a", "b", "c"}

// fairReplay sends the requests of many hosts to three plain targets, which run 200 a
// second, and gives each host a digest of the loads each half second.
type fairReplay struct {
	t      *testing.T
	clock  *clockwork.FakeClock
	random *rand.Rand
	hosts  []*fixture
	// queues holds the requests on each target in their order; the first ones run.
	queues  map[string][]*fairReplayRequest
	digests []map[string]int
	// all and served count by rank, refused the requests that met a full queue.
	all, served map[int]int
	refused     int
}

type fairReplayRequest struct {
	host   *fixture
	permit admission.Permit
	sentAt time.Time
	endsAt time.Time
	rank   int
}

func newFairReplay(t *testing.T, fair bool) *fairReplay {
	r := &fairReplay{
		t: t, clock: clockwork.NewFakeClock(), random: rand.New(rand.NewPCG(3, 4)), queues: map[string][]*fairReplayRequest{},
		all: map[int]int{}, served: map[int]int{},
	}
	for i := range fairReplayHosts {
		f := newFixtureWithClock(t, r.clock)
		f.daemon.Settings.Host, f.daemon.Settings.FailureDomain = fmt.Sprint("e-", i), fairReplayDomains[i%fairReplayTargets]
		f.daemon.Protocol.Features = func([]string) protocol.Features { return protocol.Features{FairAdmission: fair} }
		f.selector = newTargetSelector(f.daemon)
		f.selector.hosts.record(fairReplayHosts)
		for name := range fairReplayTargets {
			f.applyEntries(f.newRosterEntry(fmt.Sprint("t-", name), "treasury", fairReplayDomains[name], 1))
		}
		r.hosts = append(r.hosts, f)
	}
	return r
}

// run sends a number of requests a second for a time.
func (r *fairReplay) run(perSecond float64, duration time.Duration) {
	arrivals := 0.0
	for step := range int(duration / fairReplayStep) {
		r.clock.Advance(fairReplayStep)
		r.advanceTargets()
		if step%10 == 0 {
			digest := map[string]int{}
			for name, queue := range r.queues {
				digest[name] = len(queue)
			}
			r.digests = append(r.digests, digest)
		}
		for i, host := range r.hosts {
			if (step+i)%50 == 0 {
				r.sendDigest(host, r.digests[max(len(r.digests)-4, 0)])
			}
		}
		for arrivals += perSecond * fairReplayStep.Seconds(); arrivals >= 1; arrivals-- {
			r.send()
		}
	}
}

// sendDigest gives a host the loads of some time ago, which contain its own.
func (r *fairReplay) sendDigest(host *fixture, digest map[string]int) {
	reported := map[roster.Key]int{}
	for name, s := range host.selector.byName {
		reported[roster.KeyOf(name)] = min(s.ownInFlight, digest[name])
	}
	host.selector.applyLoads(byKey(digest), 0, reported)
}

// send sends a request of a random rank to a random host.
func (r *fairReplay) send() {
	host, rank := r.hosts[r.random.IntN(len(r.hosts))], r.random.IntN(3)
	r.all[rank]++
	now := r.clock.Now()
	permit, err := host.selector.Acquire(r.t.Context(), admission.Request{
		ID: "r", Service: "treasury", Workspace: fmt.Sprint("w-", r.random.IntN(12)), Priority: -rank, Started: now, Deadline: now.Add(3 * time.Second),
		ContentKey: r.random.Uint64(),
	})
	if err != nil {
		return
	}
	queue := r.queues[permit.Target]
	if len(queue) >= fairReplaySlots+24 {
		r.refused++
		host.selector.Release(admission.Release{Service: "treasury", Target: permit.Target, Outcome: admission.OutcomeRefused})
		return
	}
	r.queues[permit.Target] = append(queue, &fairReplayRequest{host: host, permit: permit, sentAt: now, rank: rank})
}

func (r *fairReplay) advanceTargets() {
	now := r.clock.Now()
	for name, queue := range r.queues {
		kept := queue[:0]
		for _, request := range queue {
			if request.endsAt.IsZero() || request.endsAt.After(now) {
				kept = append(kept, request)
				continue
			}
			r.served[request.rank]++
			request.host.selector.Release(admission.Release{
				Service: "treasury", Target: name, Outcome: admission.OutcomeDone, Duration: now.Sub(request.sentAt),
			})
		}
		for i := range min(len(kept), fairReplaySlots) {
			if kept[i].endsAt.IsZero() {
				kept[i].endsAt = now.Add(fairReplayWork)
			}
		}
		r.queues[name] = kept
	}
}

func (r *fairReplay) share(rank int) float64 { return float64(r.served[rank]) / float64(r.all[rank]) }

func (r *fairReplay) total() int {
	total := 0
	for _, served := range r.served {
		total += served
	}
	return total
}

// overload sends half of what the targets can run, then one and a half times that, which
// is counted.
func (r *fairReplay) overload() {
	r.run(100, 10*time.Second)
	for rank := range 3 {
		require.Greater(r.t, r.share(rank), 0.97, "nothing is refused with room")
	}
	r.all, r.served, r.refused = map[int]int{}, map[int]int{}, 0
	r.run(300, 20*time.Second)
	r.t.Logf("served %d of 4,000 possible, by rank %.3f %.3f %.3f, rejected by targets %d", r.total(), r.share(0), r.share(1), r.share(2), r.refused)
}

// Guards against hosts whose selectors, with the loads as they have them, refuse too much,
// serve a lower rank first, or send to one target together until its queue is full.
func TestFairAdmission_HostsShareTheRoomByRank(t *testing.T) {
	throttled := newFairReplay(t, false)
	throttled.overload()
	r := newFairReplay(t, true)
	r.overload()
	require.Greater(t, r.total(), 3700)
	require.Greater(t, r.total(), throttled.total())
	require.Greater(t, r.share(0), 0.9)
	require.Greater(t, r.share(1), r.share(2)+0.2)
	require.Greater(t, r.share(2), 0.25*float64(r.total())/6000)
	require.Less(t, r.refused, throttled.refused/4, "the queues of the targets are rarely full")
}
