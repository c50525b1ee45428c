package entry

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

// newStartingHost returns a host without a view, with real connections.
func newStartingHost(t *testing.T, name string) *fixture {
	f := newFixture(t)
	f.daemon.Clock, f.daemon.Scope = clockwork.NewRealClock(), tally.NoopScope
	f.daemon.Settings.Host = name
	f.daemon.Protocol = protocol.Protocol{ParseFleet: func([]byte) (*fleet.Fleet, error) { return &fleet.Fleet{}, nil }}
	f.daemon.node = peer.NewNode(peer.Config{Host: name, Clock: f.daemon.Clock}, nil)
	t.Cleanup(f.daemon.node.Close)
	f.daemon.view = newStateView(f.daemon.Clock)
	f.daemon.watcher, f.daemon.checker, f.daemon.views = newHubWatcher(f.daemon), newViewChecker(f.daemon), newViewSource(f.daemon)
	return f
}

// requestCounts counts the requests with IsFirst by whether the hub itself was asked.
type requestCounts struct{ sourced, direct atomic.Int64 }

// serveFirst serves a hub that names a source, and sends the view itself if asked to.
func serveFirst(t *testing.T, source string, whole peer.WatchResponse, counts *requestCounts) string {
	return servePeer(t, func(_ string, message peer.Message, reply peer.Reply) {
		request := message.(peer.WatchRequest)
		switch {
		case !request.IsFirst:
			reply(peer.WatchResponse{QuorumConfirmed: true, ConfirmedAge: time.Millisecond, RosterSource: request.RosterSource, RosterVersion: request.RosterVersion})
		case request.Direct:
			counts.direct.Add(1)
			reply(whole)
		default:
			counts.sourced.Add(1)
			reply(peer.WatchResponse{QuorumConfirmed: true, ConfirmedAge: time.Millisecond, OmittedRevision: 9, Sources: []string{source}})
		}
	})
}

// A host gets its first view and roster from the host that its hub names, serves with them,
// and passes them on. Only the hub confirms the view.
func TestFetchFirst_FromHostAndOnToTheNext(t *testing.T) {
	entry := newFixture(t).newRosterEntry("t-1", "treasury", "a", 1)
	entry.LastSeen = time.Now()
	first := newStartingHost(t, "e-1")
	delta := newLargeDelta(9)
	whole := peer.WatchResponse{
		QuorumConfirmed: true, ConfirmedAge: time.Millisecond, Delta: delta, Checksum: xxhash.Sum64(delta),
		RosterSource: 3, RosterVersion: 4, Entries: []roster.Entry{entry},
	}
	var counts requestCounts
	require.NoError(t, first.daemon.watcher.applyFirst(whole, "hub", time.Now()))
	source := servePeer(t, func(_ string, message peer.Message, reply peer.Reply) {
		reply(first.daemon.views.response(message.(peer.WatchRequest)))
	})
	hub := serveFirst(t, source, whole, &counts)
	second := newStartingHost(t, "e-2")
	received, err := second.daemon.watcher.fetchFirst(t.Context(), hub, false)
	require.NoError(t, err)
	require.True(t, received)
	require.Equal(t, uint64(9), second.daemon.view.latest().Revision)
	require.Equal(t, first.daemon.view.latest().Hosts, second.daemon.view.latest().Hosts)
	require.Equal(t, &rosterPosition{source: 3, version: 4}, second.daemon.watcher.position.Load())
	require.Equal(t, 1, second.selector.readyCount())
	require.False(t, second.daemon.view.IsConfirmed(), "a host confirms nothing")
	require.Zero(t, counts.direct.Load())
	require.NoError(t, second.daemon.watcher.poll(t.Context(), hub, false))
	require.True(t, second.daemon.view.IsConfirmed(), "the hub confirms the view")
	require.NotEmpty(t, second.daemon.views.response(peer.WatchRequest{IsFirst: true}).Delta)
	require.Empty(t, second.daemon.views.response(peer.WatchRequest{IsFirst: true, Revision: 9}).Delta, "it is no newer")
}

// Sources that are lost, have no view, or send a damaged one don't keep a host from its first
// view: it asks for other sources, and then the hub.
func TestFetchFirst_FailingSources(t *testing.T) {
	delta := newLargeDelta(9)
	whole := peer.WatchResponse{QuorumConfirmed: true, ConfirmedAge: time.Millisecond, Delta: delta}
	damaged := whole
	damaged.Checksum = xxhash.Sum64(delta) + 1
	for name, response := range map[string]peer.WatchResponse{"no view": {}, "damaged": damaged} {
		t.Run(name, func(t *testing.T) {
			source := servePeer(t, func(_ string, _ peer.Message, reply peer.Reply) { reply(response) })
			var counts requestCounts
			hub := serveFirst(t, source, whole, &counts)
			f := newStartingHost(t, "e-1")
			received, err := f.daemon.watcher.fetchFirst(t.Context(), hub, false)
			require.NoError(t, err)
			require.True(t, received)
			require.Equal(t, uint64(9), f.daemon.view.latest().Revision)
			require.Equal(t, int64(maxFirstRounds-1), counts.sourced.Load())
			require.Equal(t, int64(1), counts.direct.Load())
			require.True(t, f.daemon.view.IsConfirmed())
		})
	}
}

// A hub of an earlier release takes the request for one for the state alone, and sends the
// roster with the next poll.
func TestFetchFirst_HubOfEarlierRelease(t *testing.T) {
	delta := newLargeDelta(9)
	hub := servePeer(t, func(_ string, message peer.Message, reply peer.Reply) {
		require.True(t, message.(peer.WatchRequest).StateOnly)
		reply(peer.WatchResponse{QuorumConfirmed: true, ConfirmedAge: time.Millisecond, Delta: delta})
	})
	f := newStartingHost(t, "e-1")
	received, err := f.daemon.watcher.fetchFirst(t.Context(), hub, false)
	require.NoError(t, err)
	require.True(t, received)
	require.Nil(t, f.daemon.watcher.position.Load())
	require.Zero(t, f.daemon.watcher.rosterSource)
	require.Empty(t, f.daemon.views.response(peer.WatchRequest{IsFirst: true}).Delta, "a host without a roster is no source")
}

// A hub without contact with a majority sends no first view, and its view is not used.
func TestFetchFirst_HubWithoutMajority(t *testing.T) {
	hub := servePeer(t, func(_ string, _ peer.Message, reply peer.Reply) { reply(peer.WatchResponse{Delta: newLargeDelta(9)}) })
	f := newStartingHost(t, "e-1")
	_, err := f.daemon.watcher.fetchFirst(t.Context(), hub, false)
	require.ErrorIs(t, err, errHubNotCurrent)
	require.Nil(t, f.daemon.view.latest())
}

// A host passes on no more views than a part of its link carries: callers need the rest.
func TestViewSource_KeepsToItsShareOfTheLink(t *testing.T) {
	f := newFixture(t)
	f.daemon.view = newStateView(f.clock)
	f.daemon.watcher, f.daemon.checker, f.daemon.views = newHubWatcher(f.daemon), newViewChecker(f.daemon), newViewSource(f.daemon)
	delta := newLargeDelta(9)
	f.daemon.Protocol = protocol.Protocol{ParseFleet: func([]byte) (*fleet.Fleet, error) { return &fleet.Fleet{}, nil }}
	require.NoError(t, f.daemon.watcher.applyFirst(peer.WatchResponse{Delta: delta, RosterSource: 3}, "hub", f.clock.Now()))
	sent := 0
	const period = 10 * time.Second
	for range int(period / (5 * time.Millisecond)) {
		sent += len(f.daemon.views.response(peer.WatchRequest{IsFirst: true}).Delta)
		f.clock.Advance(5 * time.Millisecond)
	}
	limit := sharedViewRate*(period+maxSharedBacklog).Seconds() + float64(len(delta))
	require.LessOrEqual(t, float64(sent), limit)
	require.GreaterOrEqual(t, float64(sent), sharedViewRate*period.Seconds()*0.9)
}

// Hosts get views from hubs and from each other in any order, also old ones and some with
// false versions. Revision, configuration version and outage version never go back, and no
// host confirms a view.
func TestViews_VersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type versions struct{ revision, fleet, outage uint64 }
		f := newFixture(t)
		f.daemon.Protocol = protocol.Protocol{ParseFleet: func([]byte) (*fleet.Fleet, error) { return &fleet.Fleet{}, nil }}
		hosts := make([]*hubWatcher, 3)
		for i := range hosts {
			daemon := &Entry{Dependencies: f.daemon.Dependencies, crashes: f.daemon.crashes, view: newStateView(f.clock)}
			daemon.selector, daemon.watcher = newTargetSelector(daemon), newHubWatcher(daemon)
			daemon.checker, daemon.views = newViewChecker(daemon), newViewSource(daemon)
			hosts[i] = daemon.watcher
		}
		current := func(w *hubWatcher) versions {
			view := w.daemon.view.latest()
			if view == nil {
				return versions{}
			}
			return versions{view.Revision, view.FleetVersion, view.OutageVersion}
		}
		history := []*registry.View{{Revision: 1}}
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			last := *history[len(history)-1]
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "host")]
			before := current(host)
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				last.Revision++
				if rapid.Bool().Draw(rt, "outage") {
					last.OutageVersion++
				} else {
					last.FleetVersion++
					last.FleetConfig = []byte{byte(last.FleetVersion)}
				}
				history = append(history, &last)
			case 1:
				view := rapid.SampledFrom(history).Draw(rt, "view")
				// Errors are those of views that are older.
				_ = host.applyFirst(peer.WatchResponse{QuorumConfirmed: true, Delta: registry.EncodeView(view), RosterSource: 3}, "hub", f.clock.Now())
			case 2:
				inconsistent := last
				inconsistent.OutageVersion = rapid.Uint64Range(0, last.OutageVersion).Draw(rt, "outage version")
				inconsistent.FleetVersion = rapid.Uint64Range(0, last.FleetVersion).Draw(rt, "fleet version")
				_ = host.applyFirst(peer.WatchResponse{Delta: registry.EncodeView(&inconsistent), RosterSource: 3}, "host", f.clock.Now())
			case 3:
				source := hosts[rapid.IntRange(0, len(hosts)-1).Draw(rt, "source")]
				response := source.daemon.views.response(peer.WatchRequest{IsFirst: true, Revision: before.revision})
				if len(response.Delta) > 0 {
					require.Greater(rt, current(source).revision, before.revision, "only a later view is passed on")
					require.Zero(rt, response.ConfirmedAge)
					require.False(rt, response.QuorumConfirmed)
					_ = host.applyFirst(response, "host", f.clock.Now())
				}
			}
			after := current(host)
			require.GreaterOrEqual(rt, after.revision, before.revision)
			require.GreaterOrEqual(rt, after.fleet, before.fleet)
			require.GreaterOrEqual(rt, after.outage, before.outage)
			require.False(rt, host.daemon.view.IsConfirmed())
		}
	})
}
