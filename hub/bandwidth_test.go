package hub

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target/roster"
)

// Limits of the network that fleets are built for.
const (
	// maxControlRate is what a host may use for control, in bytes per second.
	maxControlRate = 7_000
	// maxDigestLinkShare is the share of a hub's link that digests may use, so that changes
	// and the messages of the quorum have the rest.
	maxDigestLinkShare = 0.5
	// hubLinkRate is the rate of a hub's link, in bytes per second.
	hubLinkRate = 750_000
)

// In steady operation the digests of the loads used four fifths of the hubs' links. When
// hosts came from hubs that were lost, the replies to them delayed the messages of the
// quorum, and the hubs that were left lost contact with each other.
func TestDigests_LeaveBandwidthForChanges(t *testing.T) {
	for _, size := range []struct{ hosts, targets int }{{59, 204}, {99, 204}, {78, 910}, {130, 910}} {
		t.Run(fmt.Sprintf("%d hosts, %d targets", size.hosts, size.targets), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			h := &Hub{}
			h.Clock = clockwork.NewFakeClock()
			h.watchers, h.loads = newWatchers(h.Clock), newLoadTracker(h.Clock)
			for host := range size.hosts {
				h.watchers.recordWatch(fmt.Sprint("e-", host), 0)
			}
			var targets []string
			loads := map[string]int{}
			for range size.targets {
				name := fmt.Sprintf("i-%010x", random.Uint64()&0xff_ffff_ffff)
				targets = append(targets, name)
				loads[name] = 4 + random.IntN(10)
			}
			h.loads.recordHub("h-2", byKey(loads))
			var response peer.WatchResponse
			response.Loads, response.MeanLoad = h.loads.digest(func() []roster.Key { return keysOf(targets) })
			perSecond := float64(time.Second) / float64(h.digestInterval())
			rate := perSecond * float64(replySize(t, response))
			require.LessOrEqual(t, rate, float64(maxControlRate), "bytes per second for one host")
			require.LessOrEqual(t, rate*float64(size.hosts), maxDigestLinkShare*hubLinkRate, "bytes per second for all hosts of a hub")
		})
	}
}

// replySize returns the size of an encoded reply.
func replySize(t *testing.T, response peer.WatchResponse) int {
	clock := clockwork.NewRealClock()
	server := peer.NewNode(peer.Config{Host: "hub", Clock: clock}, func(_ string, _ peer.Message, reply peer.Reply) { reply(response) })
	client := peer.NewNode(peer.Config{Host: "host", Clock: clock}, nil)
	defer server.Close()
	defer client.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_ = server.ServeConn(conn)
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
	defer cancel()
	_, err = client.Call(ctx, listener.Addr().String(), peer.WatchRequest{Host: "host"})
	require.NoError(t, err)
	return client.Traffic()["WatchResponse"].ReceivedBytes
}
