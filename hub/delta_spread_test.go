package hub

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
)

// spreadReplay replays the hosts of one hub that need a large delta. A host that has it tells
// the hub with its next poll.
type spreadReplay struct {
	spread *deltaSpread
	delta  []byte

	mu              sync.Mutex
	direct, sourced int
	lastAt          time.Time
}

// fetch gets the delta as a host does.
func (r *spreadReplay) fetch(host string, sourceTime, applyTime time.Duration) {
	request := peer.WatchRequest{Host: host, PeerAddress: host}
	for {
		replies := make(chan peer.WatchResponse, 1)
		go r.spread.reply(request, peer.WatchResponse{Delta: r.delta}, 7, len(r.delta), func(m peer.Message) { replies <- m.(peer.WatchResponse) })
		response := <-replies
		r.mu.Lock()
		switch {
		case len(response.Delta) > 0:
			r.direct++
		case len(response.Sources) > 0:
			r.sourced++
		}
		r.lastAt = time.Now()
		r.mu.Unlock()
		if len(response.Sources) > 0 {
			time.Sleep(sourceTime)
		}
		if len(response.Delta) > 0 || len(response.Sources) > 0 {
			time.Sleep(applyTime)
			r.spread.recordPoll(peer.WatchRequest{Host: host, PeerAddress: host, Revision: 7}, true)
			return
		}
	}
}

// A hub with a slow link sends a large delta to few of its hosts; the others get it from
// them, long before the hub could have sent it to each.
func TestDeltaSpread_HostsGetDeltaFromEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hosts, bytesPerSecond = 120, 450_000
		r := &spreadReplay{spread: newDeltaSpread(clockwork.NewRealClock(), bytesPerSecond), delta: make([]byte, 26_000)}
		begun := time.Now()
		var fetching sync.WaitGroup
		for i := range hosts {
			fetching.Go(func() { r.fetch(fmt.Sprint("e-", i), 25*time.Millisecond, 100*time.Millisecond) })
		}
		fetching.Wait()
		require.Equal(t, hosts, r.direct+r.sourced)
		require.LessOrEqual(t, r.direct, hosts/5)
		alone := time.Duration(float64(hosts*len(r.delta)) / bytesPerSecond * float64(time.Second))
		require.Less(t, r.lastAt.Sub(begun), alone/4)
		time.Sleep(time.Second)
	})
}

// A host that can't get the delta from others gets it from the hub, also beside hosts that
// have it. A host is no source for itself, nor one that has not polled for a while.
func TestDeltaSpread_DirectAndExpiredSources(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newDeltaSpread(clockwork.NewRealClock(), 450_000)
		s.recordPoll(peer.WatchRequest{Host: "e-1", PeerAddress: "a:1", Revision: 7}, true)
		s.recordPoll(peer.WatchRequest{Host: "e-2", PeerAddress: "", Revision: 7}, true)
		s.recordPoll(peer.WatchRequest{Host: "e-3", PeerAddress: "c:1", Revision: 6}, true)
		ask := func(m peer.WatchRequest) (response peer.WatchResponse) {
			s.reply(m, peer.WatchResponse{Delta: make([]byte, 10_000)}, 7, 10_000, func(m peer.Message) { response = m.(peer.WatchResponse) })
			time.Sleep(time.Second)
			return response
		}
		require.Equal(t, []string{"a:1"}, ask(peer.WatchRequest{Host: "e-3"}).Sources)
		s.recordPoll(peer.WatchRequest{Host: "e-1", PeerAddress: "a:1", Revision: 7}, true)
		require.NotEmpty(t, ask(peer.WatchRequest{Host: "e-3", Direct: true}).Delta)
		s.recordPoll(peer.WatchRequest{Host: "e-1", PeerAddress: "a:1", Revision: 7}, true)
		require.NotEmpty(t, ask(peer.WatchRequest{Host: "e-1"}).Delta)
		time.Sleep(sourceTTL)
		require.NotEmpty(t, ask(peer.WatchRequest{Host: "e-3"}).Delta)
	})
}

// Hosts that are cut off from targets find the others by their hubs.
func TestDeltaSpread_HostAddresses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	d := newDeltaSpread(clock, 0)
	d.recordPoll(peer.WatchRequest{Host: "b", PeerAddress: "10.0.0.2:1"}, true)
	clock.Advance(sourceTTL)
	d.recordPoll(peer.WatchRequest{Host: "a", PeerAddress: "10.0.0.1:1"}, false)
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1"}, d.hostAddresses())
	clock.Advance(1)
	require.Equal(t, []string{"10.0.0.1:1"}, d.hostAddresses())
}
