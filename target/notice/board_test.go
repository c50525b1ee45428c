package notice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/target"
)

var start = time.Unix(1_000_000, 0)

func TestRecord_LeavingHoldsForOneIncarnation(t *testing.T) {
	board := NewBoard()
	require.True(t, board.Record(start, "t-1", 7, target.ResponseHeader{Leaving: true}).Leaving)
	require.False(t, board.Record(start, "t-1", 7, target.ResponseHeader{Leaving: true}).Leaving, "known")
	require.True(t, board.IsLeaving("t-1", 7))
	require.False(t, board.IsLeaving("t-1", 8), "a later start is not bound")
	require.False(t, board.IsLeaving("t-2", 7))

	// A success without the header doesn't revoke the notice.
	board.Record(start, "t-1", 7, target.ResponseHeader{Status: 200})
	require.True(t, board.IsLeaving("t-1", 7))

	// A late response of the former start must not bind the new one.
	board.Record(start, "t-1", 8, target.ResponseHeader{RetryAfter: time.Second})
	require.Zero(t, board.Record(start, "t-1", 7, target.ResponseHeader{Leaving: true, RetryAfter: time.Minute}))
	require.False(t, board.IsLeaving("t-1", 8))
	require.Equal(t, start.Add(time.Second), board.PausedUntil("t-1", 8))
}

func TestRecord_LongestPauseHolds(t *testing.T) {
	board := NewBoard()
	require.Zero(t, board.PausedUntil("t-1", 1))
	until := board.Record(start, "t-1", 1, target.ResponseHeader{RetryAfter: 5 * time.Second}).PausedUntil
	require.Equal(t, start.Add(5*time.Second), until)
	require.Zero(t, board.Record(start.Add(time.Second), "t-1", 1, target.ResponseHeader{RetryAfter: time.Second}))
	require.Equal(t, until, board.PausedUntil("t-1", 1))
	require.Zero(t, board.PausedUntil("t-1", 2))

	board.Record(start, "t-0", 1, target.ResponseHeader{Leaving: true})
	require.Equal(t, []string{"t-0", "t-1"}, board.Blocked(until.Add(-1)))
	require.Equal(t, []string{"t-0"}, board.Blocked(until))
}

// Names of targets are new at each start in some deployments; without pruning, a host
// that runs for months would keep all of them.
func TestRecord_OldNoticesArePruned(t *testing.T) {
	board := NewBoard()
	board.Record(start, "old", 1, target.ResponseHeader{Leaving: true})
	board.Record(start.Add(recordTTL+time.Second), "new", 1, target.ResponseHeader{Leaving: true})
	require.Len(t, board.byTarget, 1)
	require.True(t, board.IsLeaving("new", 1))
}
