package entry

import (
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// checkReplay replays the checks of one host whose watched hub has stopped confirming its
// view. replies are the hubs that confirm it, after a round trip.
type checkReplay struct {
	hubs    []string
	replies map[string]bool
	check   viewCheck
	now     time.Time
	// confirmedAt is the last confirmation, asked counts the requests.
	confirmedAt time.Time
	asked       int
	deadlines   map[string]time.Time
}

func newCheckReplay(replies ...string) *checkReplay {
	start := time.Unix(0, 0)
	r := &checkReplay{
		hubs: []string{"watched", "lost", "c", "d", "e"}, replies: map[string]bool{}, now: start, confirmedAt: start,
		deadlines: map[string]time.Time{},
	}
	for _, hub := range replies {
		r.replies[hub] = true
	}
	return r
}

// run replays a duration and returns the largest age of the view.
func (r *checkReplay) run(duration time.Duration) (oldest time.Duration) {
	for end := r.now.Add(duration); r.now.Before(end); r.now = r.now.Add(viewCheckInterval) {
		for hub, deadline := range r.deadlines {
			if r.replies[hub] {
				r.confirmedAt = r.now
			} else if r.now.Before(deadline) {
				continue
			}
			r.check.recordReply(hub)
			delete(r.deadlines, hub)
		}
		age := r.now.Sub(r.confirmedAt)
		oldest = max(oldest, age)
		if hub := r.check.hubToAsk(r.now, age, r.hubs, "watched"); hub != "" {
			r.asked++
			r.deadlines[hub] = r.now.Add(viewCheckTimeout)
		}
	}
	return oldest
}

// A host finds a hub that confirms its view before the view counts as unconfirmed, even
// if the watched hub and the next one are lost.
func TestViewCheck_FindsCurrentHubWithTwoLost(t *testing.T) {
	r := newCheckReplay("c", "d", "e")
	require.LessOrEqual(t, r.run(time.Minute), maxUnconfirmedAge)
	perSecond := float64(r.asked) / 60
	require.LessOrEqual(t, perSecond, 2.0, "hubs that are overloaded are not asked more often than needed")
}

// A host that is cut off from all hubs asks them about once a second.
func TestViewCheck_AsksSparinglyWithoutHubs(t *testing.T) {
	r := newCheckReplay()
	r.run(time.Minute)
	require.LessOrEqual(t, r.asked, 75)
	r.replies["d"] = true
	asked := r.asked
	r.run(6 * time.Second)
	require.Greater(t, r.asked, asked)
	require.Less(t, r.now.Sub(r.confirmedAt), maxUnconfirmedAge)
}

// While the watched hub confirms the view, no other hub is asked.
func TestViewCheck_NoRequestWhileConfirmed(t *testing.T) {
	r := newCheckReplay("c")
	for range 100 {
		r.confirmedAt = r.now
		r.run(maxConfirmedAge - viewCheckInterval)
	}
	require.Zero(t, r.asked)
}

// A host leaves a hub that is behind for one that has just confirmed the view, and not for
// one that is as far behind or has confirmed it long ago.
func TestViewCheck_CurrentHubIsOneThatHasJustConfirmed(t *testing.T) {
	now := time.Unix(1000, 0)
	var c viewCheck
	require.Empty(t, c.currentHub(now))
	c.recordConfirmation(now, "b", maxConfirmedAge)
	require.Empty(t, c.currentHub(now), "as far behind")
	c.recordConfirmation(now, "c", 100*time.Millisecond)
	c.recordConfirmation(now, "b", maxConfirmedAge)
	require.Equal(t, "c", c.currentHub(now))
	require.Equal(t, "c", c.currentHub(now.Add(maxConfirmedAge+checkSpacing)), "until other hubs are asked again")
	require.Empty(t, c.currentHub(now.Add(2*maxConfirmedAge)))
}

// newDelta returns an encoded delta between two revisions.
func newDelta(from, to uint64) []byte {
	delta := registry.Delta{FromRevision: from, ToRevision: to}
	return delta.Encode()
}

// A delta of the watched hub that comes after the one of another hub changes nothing and
// is no failure of the hub. It does not confirm the view either.
func TestApplyState_DeltaOfEarlierViewIsSkipped(t *testing.T) {
	f := newFixture(t)
	watcher := newHubWatcher(f.daemon)
	base := *f.view
	base.Revision, base.FleetVersion = 5, 0
	f.daemon.view.replace(&base)
	require.NoError(t, watcher.applyState(peer.WatchResponse{Delta: newDelta(5, 8)}, f.clock.Now()))
	require.Equal(t, uint64(8), f.daemon.view.latest().Revision)
	require.NoError(t, watcher.applyState(peer.WatchResponse{Delta: newDelta(5, 6), ConfirmedAge: 1}, f.clock.Now()))
	require.Equal(t, uint64(8), f.daemon.view.latest().Revision)
	require.False(t, f.daemon.view.IsConfirmed())
	require.NoError(t, watcher.applyState(peer.WatchResponse{ConfirmedAge: time.Millisecond}, f.clock.Now()))
	require.True(t, f.daemon.view.IsConfirmed())
	f.clock.Advance(maxUnconfirmedAge + time.Millisecond)
	require.False(t, f.daemon.view.IsConfirmed())
}

// A hub that does not send its delta has a later view, so that its reply confirms nothing.
func TestApplyState_OmittedDeltaConfirmsNothing(t *testing.T) {
	f := newFixture(t)
	watcher := newHubWatcher(f.daemon)
	require.NoError(t, watcher.applyState(peer.WatchResponse{ConfirmedAge: 1, OmittedRevision: 9}, f.clock.Now()))
	require.False(t, f.daemon.view.IsConfirmed())
}

// A host whose view does not fit a hub's delta asked for the same delta again and again.
func TestApplyResponse_DeltaThatDoesNotFitAsksForWholeView(t *testing.T) {
	f := newFixture(t)
	watcher := newHubWatcher(f.daemon)
	base := *f.view
	base.Revision = 5
	f.daemon.view.replace(&base)
	err := watcher.applyResponse(peer.WatchResponse{Delta: newDelta(7, 9)}, f.clock.Now(), nil)
	require.ErrorIs(t, err, registry.ErrStaleDelta, "the delta leads to an earlier configuration")
	require.False(t, watcher.needsWholeView)
	base.FleetVersion = 0
	f.daemon.view.replace(&base)
	err = watcher.applyResponse(peer.WatchResponse{Delta: newDelta(7, 9)}, f.clock.Now(), nil)
	require.ErrorIs(t, err, registry.ErrWrongBase)
	require.True(t, watcher.needsWholeView)
	require.NoError(t, watcher.applyResponse(peer.WatchResponse{Delta: newDelta(0, 9)}, f.clock.Now(), nil))
	require.False(t, watcher.needsWholeView)
	require.Equal(t, uint64(9), f.daemon.view.latest().Revision)
}

// While a host asks a preferred hub that is lost, it polls the other hub as before; the
// attempt took the time of a poll without changes.
func TestShouldFailBack_AsksBesideThePolls(t *testing.T) {
	lost, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lost.Close() }()
	f := newFixture(t)
	f.daemon.Clock, f.daemon.Scope = clockwork.NewRealClock(), tally.NoopScope
	f.daemon.node = peer.NewNode(peer.Config{Host: "e-1", Clock: f.daemon.Clock}, nil)
	defer f.daemon.node.Close()
	watcher := newHubWatcher(f.daemon)
	f.daemon.watcher, f.daemon.checker = watcher, newViewChecker(f.daemon)
	watcher.failback.recordFailover(time.Now())
	watcher.failback.nextAttempt = time.Now()
	begun := time.Now()
	require.False(t, watcher.shouldFailBack(t.Context(), lost.Addr().String()))
	require.Less(t, time.Since(begun), viewCheckTimeout/2)
	require.True(t, watcher.probing)
	require.Eventually(t, func() bool {
		return !watcher.shouldFailBack(t.Context(), lost.Addr().String()) && !watcher.probing
	}, 10*time.Second, 10*time.Millisecond, "the attempt has failed")
	require.True(t, watcher.failback.nextAttempt.After(time.Now()))

	hub := servePeer(t, func(_ string, _ peer.Message, reply peer.Reply) { reply(peer.WatchResponse{QuorumConfirmed: true}) })
	watcher.failback.nextAttempt = time.Now()
	require.Eventually(t, func() bool { return watcher.shouldFailBack(t.Context(), hub) }, 10*time.Second, 10*time.Millisecond, "the hub can serve")
}
