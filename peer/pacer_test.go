package peer

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target/roster"
)

// The bulk frames of all connections together keep to the rate, in the order of their turns,
// and a connection that closes does not keep the others waiting.
func TestPacer_KeepsToRateOverAllConnections(t *testing.T) {
	clock := clockwork.NewFakeClock()
	p := &pacer{bytesPerSecond: 1000, clock: clock}
	frame := func() ([]byte, error) { return make([]byte, 100), nil }
	_, err := p.encode(nil, frame)
	require.NoError(t, err, "the first frame finds the link free")
	closed := make(chan struct{})
	results := make(chan error, 2)
	go func() {
		_, err := p.encode(closed, frame)
		results <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	require.Equal(t, int64(1), p.waiting.Load())
	close(closed)
	require.ErrorIs(t, <-results, ErrClosed)
	go func() {
		_, err := p.encode(nil, frame)
		results <- err
	}()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(99 * time.Millisecond)
	require.Empty(t, results)
	clock.Advance(time.Millisecond)
	require.NoError(t, <-results)
}

// Bulk frames kept to their rate beside any amount of other frames, which don't wait: together
// they exceeded the link. Guards as well against bulk frames that get nothing beside the usual
// amount of others.
func TestPacer_BulkYieldsToExcessOfUrgentFrames(t *testing.T) {
	const rate = 6000
	for urgent, expected := range map[int]time.Duration{0: time.Second, rate / 6: time.Second, rate: 1833 * time.Millisecond, 9 * rate: 3 * time.Second} {
		clock := clockwork.NewFakeClock()
		p := &pacer{bytesPerSecond: rate, clock: clock, chargedAt: clock.Now()}
		clock.Advance(time.Second)
		p.recordUrgent(urgent)
		_, err := p.encode(nil, func() ([]byte, error) { return make([]byte, rate), nil })
		require.NoError(t, err)
		require.InDelta(t, expected, p.freeAt.Sub(clock.Now()), float64(time.Millisecond), "%d urgent bytes", urgent)
	}
}

// Small replies and the messages of the quorum never wait for the bulk rate.
func TestIsBulk_SmallMessagesAreUrgent(t *testing.T) {
	for _, urgent := range []Message{QuorumMessages{Messages: make([]byte, 1<<20)}, Pong{}, WatchResponse{QuorumConfirmed: true, Delta: []byte{1}}, RosterUpdate{Entries: []roster.Entry{{}}}} {
		require.False(t, isBulk(urgent), "%T", urgent)
	}
	for _, bulk := range []Message{WatchResponse{Entries: []roster.Entry{{}}}, WatchResponse{Delta: make([]byte, maxUrgentDeltaBytes+1)}, RosterUpdate{Loads: map[roster.Key]int{1: 1}}} {
		require.True(t, isBulk(bulk), "%T", bulk)
	}
}

// Digests of loads kept rosters and confirmations waiting after hundreds of hosts had started
// at the same time.
func TestPacer_UrgentMessagesFirst(t *testing.T) {
	digest := WatchResponse{Loads: map[roster.Key]int{1: 1}}
	view := WatchResponse{Delta: make([]byte, maxUrgentDeltaBytes+1), Loads: digest.Loads}
	change := WatchResponse{Entries: []roster.Entry{{}}, Loads: digest.Loads}
	clock := clockwork.NewFakeClock()
	p := &pacer{bytesPerSecond: 1000, clock: clock}
	order := make(chan string, 8)
	send := func(name string, message Message, closed <-chan struct{}) {
		_, err := p.encodeRanked(closed, priorityOf(message), func() ([]byte, error) {
			order <- name
			return make([]byte, 100), nil
		})
		if err != nil {
			order <- err.Error()
		}
	}
	send("first", digest, nil)
	require.Equal(t, "first", <-order)
	waiting := func(count int64) {
		require.Eventually(t, func() bool {
			p.mu.Lock()
			defer p.mu.Unlock()
			queued := 0
			for _, queue := range p.queues {
				queued += len(queue)
			}
			return int64(queued) == count-1
		}, 10*time.Second, time.Millisecond)
	}
	go send("next", digest, nil)
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	closed := make(chan struct{})
	for i, message := range []struct {
		name    string
		message Message
	}{{"report", RosterUpdate{Loads: digest.Loads}}, {"digest", digest}, {"roster", WatchResponse{Entries: make([]roster.Entry, maxChangedEntries+1)}}, {"view", view}, {"change", change}} {
		go send(message.name, message.message, nil)
		waiting(int64(i + 2))
	}
	go send("lost", change, closed)
	waiting(7)
	close(closed)
	require.Equal(t, ErrClosed.Error(), <-order)
	for _, name := range []string{"next", "change", "roster", "view", "report", "digest"} {
		require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(100 * time.Millisecond)
		require.Equal(t, name, <-order)
	}
}

// A reply that nobody waits for any more takes no time of the link.
func TestEncodeWanted_DropsAbandonedReplies(t *testing.T) {
	conn := &Conn{clock: clockwork.NewFakeClock()}
	wanted := true
	f := frame{isReply: true, message: WatchResponse{Delta: []byte{1}, IsWanted: func() bool { return wanted }}}
	require.NotEmpty(t, conn.encodeWanted(&f))
	wanted = false
	require.Empty(t, conn.encodeWanted(&f))
}
