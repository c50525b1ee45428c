package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/peer"
)

// A full hub said no more than that it can't serve, and its hosts all went to the same one.
func TestNotCurrentError_FullHubNamesOthers(t *testing.T) {
	require.ErrorIs(t, notCurrentError(&peer.WatchResponse{}), errHubNotCurrent)
	var full *hubFullError
	require.ErrorAs(t, notCurrentError(&peer.WatchResponse{RetryAfter: time.Second, Hubs: []string{"x", "c"}}), &full)
	w := newHubWatcher(newFixture(t).daemon)
	require.Equal(t, 2, w.indexOf([]string{"a", "b", "c"}, full.hubs))
	require.Equal(t, 1, w.indexOf([]string{"a", "b"}, full.hubs), "none is known, so the next one is asked")
	require.Equal(t, full.retryAfter/2, jitter(full.retryAfter, 0))
	require.Less(t, jitter(full.retryAfter, 0.999), full.retryAfter*3/2)
}
