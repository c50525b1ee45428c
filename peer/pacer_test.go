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

// Small replies and the messages of the quorum never wait for the bulk rate.
func TestIsBulk_SmallMessagesAreUrgent(t *testing.T) {
	for _, urgent := range []Message{QuorumMessages{Messages: make([]byte, 1<<20)}, Pong{}, WatchResponse{QuorumConfirmed: true, Delta: []byte{1}}, RosterUpdate{Entries: []roster.Entry{{}}}} {
		require.False(t, isBulk(urgent), "%T", urgent)
	}
	for _, bulk := range []Message{WatchResponse{Entries: []roster.Entry{{}}}, WatchResponse{Delta: make([]byte, maxUrgentDeltaBytes+1)}, RosterUpdate{Loads: map[roster.Key]int{1: 1}}} {
		require.True(t, isBulk(bulk), "%T", bulk)
	}
}
