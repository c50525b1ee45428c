package hub

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
)

// returnReplay replays hosts of one hub that start without a view at the same time. Views take
// the time of the links of the hub and of the hosts.
type returnReplay struct {
	spread     *deltaSpread
	bytes      int
	hubRate    float64
	hostRate   float64
	failsEvery int

	mu       sync.Mutex
	hubFree  time.Time
	direct   int
	passedOn map[string]int
	holds    map[string]bool
	lastAt   time.Time
}

// start gets the first view of a host as the host does, and polls the hub from then on.
func (r *returnReplay) start(number int) {
	host := fmt.Sprint("e-", number)
	request := peer.WatchRequest{Host: host, PeerAddress: host, IsFirst: true, StateOnly: true}
	for {
		replies := make(chan peer.WatchResponse, 1)
		go r.spread.reply(request, peer.WatchResponse{Delta: make([]byte, r.bytes)}, 7, r.bytes, func(m peer.Message) { replies <- m.(peer.WatchResponse) })
		response := <-replies
		request.Direct = false
		if len(response.Delta) > 0 {
			r.sendFromHub()
			break
		}
		if len(response.Sources) == 0 {
			continue
		}
		if r.passOn(response.Sources[0]) {
			break
		}
		request.Direct = true
	}
	r.mu.Lock()
	r.holds[host], r.lastAt = true, time.Now()
	r.mu.Unlock()
	for range 4 {
		r.spread.recordPoll(peer.WatchRequest{Host: host, PeerAddress: host, Revision: 7, PassesViews: number%r.failsEvery != 0}, true)
		time.Sleep(500 * time.Millisecond)
	}
}

// sendFromHub waits until the link of the hub has sent a view.
func (r *returnReplay) sendFromHub() {
	r.mu.Lock()
	r.direct++
	if r.hubFree.Before(time.Now()) {
		r.hubFree = time.Now()
	}
	r.hubFree = r.hubFree.Add(time.Duration(float64(r.bytes) / r.hubRate * float64(time.Second)))
	until := time.Until(r.hubFree)
	r.mu.Unlock()
	time.Sleep(until)
}

// passOn waits until a host has sent its view, and reports whether it has one.
func (r *returnReplay) passOn(source string) bool {
	time.Sleep(time.Duration(float64(r.bytes) / r.hostRate * float64(time.Second)))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passedOn[source]++
	return r.holds[source]
}

// The hubs sent the whole view to each host, so that the last of 141 hosts had it seconds after
// the first, at the rate of one hub's link.
func TestDeltaSpread_FirstViewsTravelBetweenHosts(t *testing.T) {
	for _, hosts := range []int{30, 141, 300} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const hubRate, bytes = 450_000, 30_000
				r := &returnReplay{
					spread: newDeltaSpread(clockwork.NewRealClock(), hubRate), bytes: bytes, hubRate: hubRate, hostRate: sourceRate,
					failsEvery: 1000, passedOn: map[string]int{}, holds: map[string]bool{},
				}
				random := rand.New(rand.NewPCG(1, 2))
				begun := time.Now()
				var started sync.WaitGroup
				for i := range hosts {
					delay := time.Duration(random.Int64N(int64(300 * time.Millisecond)))
					started.Go(func() {
						time.Sleep(delay)
						r.start(i + 1)
					})
				}
				started.Wait()
				t.Logf("%d hosts: %d views from the hub, all after %s", hosts, r.direct, r.lastAt.Sub(begun))
				require.Len(t, r.holds, hosts)
				require.LessOrEqual(t, r.direct, 20, "whole views that the hub sends")
				require.Less(t, r.lastAt.Sub(begun), 1200*time.Millisecond, "the time grows with the logarithm of the hosts")
				for source, views := range r.passedOn {
					require.LessOrEqual(t, float64(views*bytes), sourceRate*r.lastAt.Sub(begun).Seconds()+bytes, "bytes that %s passes on", source)
				}
				time.Sleep(maxDeltaWait)
			})
		})
	}
}

// Hosts of an earlier release have the view and don't pass it on, and a host is not sent to one
// that has the roster of another hub.
func TestDeltaSpread_OnlyHostsThatPassViewsAreSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeltaSpread(clockwork.NewRealClock(), 450_000)
		s.recordPoll(peer.WatchRequest{Host: "e-1", PeerAddress: "a:1", Revision: 7}, true)
		s.recordPoll(peer.WatchRequest{Host: "e-2", PeerAddress: "b:1", Revision: 7, PassesViews: true}, false)
		s.recordPoll(peer.WatchRequest{Host: "e-3", PeerAddress: "c:1", Revision: 6, PassesViews: true}, true)
		ask := func() (response peer.WatchResponse) {
			m := peer.WatchRequest{Host: "e-9", IsFirst: true}
			s.reply(m, peer.WatchResponse{Delta: make([]byte, 10_000)}, 7, 10_000, func(m peer.Message) { response = m.(peer.WatchResponse) })
			return response
		}
		require.NotEmpty(t, ask().Delta)
		s.recordPoll(peer.WatchRequest{Host: "e-4", PeerAddress: "d:1", Revision: 7, PassesViews: true}, true)
		require.Equal(t, []string{"d:1"}, ask().Sources)
		time.Sleep(time.Second)
	})
}

// A host that came back to a hub got the replies to the polls that it had abandoned as well.
func TestRecordRequest_AbandonedRepliesAreNotWanted(t *testing.T) {
	clock := clockwork.NewFakeClock()
	w := newWatchers(clock)
	first := w.recordRequest(peer.WatchRequest{Host: "e-1", ReplyTimeout: 4 * time.Second})
	other := w.recordRequest(peer.WatchRequest{Host: "e-2"})
	require.True(t, first())
	clock.Advance(4 * time.Second)
	require.True(t, first(), "the host still waits")
	clock.Advance(time.Millisecond)
	require.False(t, first(), "its reply timeout has passed")
	second := w.recordRequest(peer.WatchRequest{Host: "e-1", ReplyTimeout: 4 * time.Second})
	require.True(t, second())
	w.recordRequest(peer.WatchRequest{Host: "e-1", ReplyTimeout: 4 * time.Second})
	require.False(t, second(), "the host has polled again")
	clock.Advance(time.Hour)
	require.True(t, other(), "hosts of earlier releases don't say how long they wait")
}

// Replies with digests waited for the link of a busy hub, and the confirmations of the views
// with them.
func TestPacedDigestInterval_GrowsWithWaitingReplies(t *testing.T) {
	require.Equal(t, time.Second/10, pacedDigestInterval(time.Second/10, maxWaitingReplies))
	require.Equal(t, busyDigestInterval, pacedDigestInterval(time.Second/10, maxWaitingReplies+1))
	require.Equal(t, congestedDigestInterval, pacedDigestInterval(time.Second/10, maxWaitingForDigests+1))
	require.Equal(t, 2*time.Second, pacedDigestInterval(2*time.Second, maxWaitingForDigests+1))
	require.Less(t, 2*congestedDigestInterval, 3100*time.Millisecond, "hosts use a digest for 3 s")
}

// The share of the link that rosters take is planned with the size of an entry.
func TestRosterEntryBytes_AreThoseOfReplies(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for _, targets := range []int{75, 910, 3000} {
		var response peer.WatchResponse
		for i := range targets {
			response.Entries = append(response.Entries, newRandomEntry(random, i))
		}
		perEntry := float64(replySize(t, response)) / float64(targets)
		t.Logf("%d targets: %.1f bytes each", targets, perEntry)
		require.InDelta(t, rosterEntryBytes, perEntry, rosterEntryBytes/4)
	}
}

// newRandomEntry returns the roster entry of a target with a random name and address.
func newRandomEntry(random *rand.Rand, number int) roster.Entry {
	return roster.Entry{
		Announcement: target.Announcement{
			Name: fmt.Sprintf("i-%010x", random.Uint64()&0xff_ffff_ffff), Service: fmt.Sprintf("service-%d", number%12), FailureDomain: fmt.Sprintf("domain-%d", number%3),
			Address: fmt.Sprintf("10.%d.%d.%d:8428", number%3, random.IntN(256), random.IntN(256)), Version: "v1", Capacity: 64,
			Stamp: target.Stamp{Incarnation: 1_776_477_204_400 + random.Uint64N(1000), Sequence: random.Uint64N(1000)},
		},
		State: roster.Ready, LastSeen: time.Now().Add(-time.Duration(random.Int64N(int64(time.Second)))),
	}
}
