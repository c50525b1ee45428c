package peer

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target/roster"
)

// changingReply is a pending reply that is urgent once its channel is closed.
type changingReply struct {
	urgent chan struct{}
	latest WatchResponse
}

func (r *changingReply) Urgent(<-chan struct{}) <-chan struct{} { return r.urgent }

func (r *changingReply) Latest() WatchResponse { return r.latest }

// awaitQueued waits until a number of frames wait for their turns.
func (p *pacer) awaitQueued(t *testing.T, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		queued := 0
		for _, queue := range p.queues {
			queued += len(queue)
		}
		return queued == count
	}, 10*time.Second, time.Millisecond)
}

// Guards against a leaving target that a host learns of seconds later, since the reply to its poll
// waits with a digest of loads behind rosters for other hosts.
func TestPacer_ReplyWithUrgentChangeOvertakesRosters(t *testing.T) {
	digest := WatchResponse{Loads: map[roster.Key]int{1: 1}}
	clock := clockwork.NewFakeClock()
	p := &pacer{bytesPerSecond: 1000, clock: clock}
	order := make(chan string, 8)
	send := func(name string, rank priority, pending PendingReply) {
		_, err := p.encodePending(nil, rank, pending, func() ([]byte, error) {
			order <- name
			return make([]byte, 100), nil
		})
		require.NoError(t, err)
	}
	send("first", priorityState, nil)
	go send("sending", priorityState, nil)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	for i, name := range []string{"roster", "another roster"} {
		go send(name, priorityState, nil)
		p.awaitQueued(t, i+1)
	}
	outdated, current := &changingReply{urgent: make(chan struct{})}, &changingReply{urgent: make(chan struct{})}
	go send("digest", priorityOf(digest), current)
	p.awaitQueued(t, 3)
	go send("digest with a change", priorityOf(digest), outdated)
	p.awaitQueued(t, 4)
	close(outdated.urgent)
	require.Eventually(t, func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.queues[priorityChange]) == 1
	}, 10*time.Second, time.Millisecond)
	require.Equal(t, "first", <-order)
	for _, name := range []string{"sending", "digest with a change", "roster", "another roster", "digest"} {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(100 * time.Millisecond)
		require.Equal(t, name, <-order)
	}
}

// A reply is sent as it is when its turn comes, not as it was when it was queued.
func TestEncodeWanted_SendsTheLatestReply(t *testing.T) {
	conn := &Conn{clock: clockwork.NewFakeClock()}
	latest := WatchResponse{RosterVersion: 2, WithoutLoads: true}
	f := frame{isReply: true, message: WatchResponse{RosterVersion: 1, Pending: &changingReply{latest: latest}}}
	require.NotEmpty(t, conn.encodeWanted(&f))
	require.Equal(t, latest, f.message)
}

// Guards against a change that waits behind a large state delta for the same host.
func TestConn_ChangeDoesNotWaitBehindStateOfItsHost(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &pacer{bytesPerSecond: 1000, clock: clock}
	own, other := net.Pipe()
	defer func() { _ = other.Close() }()
	conn := newConn("host", own, clock, nil, newTraffic(), p)
	defer conn.close()
	p.isTaken = true
	for rank := range priorities {
		go conn.paceLoop(rank)
	}
	require.NoError(t, conn.enqueue(frame{callID: 1, isReply: true, message: WatchResponse{Delta: make([]byte, maxUrgentDeltaBytes+1)}}))
	p.awaitQueued(t, 1)
	require.NoError(t, conn.enqueue(frame{callID: 2, isReply: true, message: WatchResponse{Entries: []roster.Entry{{}}}}))
	p.awaitQueued(t, 2)
	p.passTurn()
	require.EqualValues(t, 2, (<-conn.sendQueue).callID)
}
