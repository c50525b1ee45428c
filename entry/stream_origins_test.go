package entry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/peer"
)

// stubHub answers reports and questions of versions from a table.
type stubHub struct {
	address string
	table   atomic.Pointer[origin.Table]
}

func newStubHub(t *testing.T) *stubHub {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	h := &stubHub{address: listener.Addr().String()}
	h.restart()
	node := peer.NewNode(peer.Config{Host: "hub", Clock: clockwork.NewRealClock()}, func(_ string, message peer.Message, reply peer.Reply) {
		update, ok := message.(peer.RosterUpdate)
		if !ok {
			return
		}
		table := h.table.Load()
		table.Add(time.Now(), update.Origins...)
		response := peer.RosterUpdate{}
		if version, found := table.Find(time.Now(), update.WantedOrigin); found {
			response.Origins = []origin.Record{{Key: update.WantedOrigin, Version: version, Until: time.Now().Add(time.Second)}}
		}
		reply(response)
	})
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _ = node.ServeConn(conn) }()
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		node.Close()
	})
	return h
}

// restart forgets all streams.
func (h *stubHub) restart() { h.table.Store(origin.NewTable(100)) }

// newOriginsFixture returns the origins of a host with the given hubs.
func newOriginsFixture(t *testing.T, hubs ...string) *streamOrigins {
	f := newFixture(t)
	f.daemon.Clock, f.daemon.Scope = clockwork.NewRealClock(), tally.NoopScope
	f.daemon.node = peer.NewNode(peer.Config{Host: "e-1", Clock: f.daemon.Clock}, nil)
	t.Cleanup(f.daemon.node.Close)
	f.daemon.watcher = newHubWatcher(f.daemon)
	f.daemon.watcher.setConfiguredHubs(hubs)
	origins := newStreamOrigins(f.daemon)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		origins.run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return origins
}

// A host reports to the next hub if one does not confirm, and asks all of them. It knows its
// own streams without any hub, and never guesses.
func TestStreamOrigins_ReportedToOneHubFoundAtAny(t *testing.T) {
	lost, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = lost.Close() }()
	hub := newStubHub(t)
	first, second := newOriginsFixture(t, lost.Addr().String(), hub.address), newOriginsFixture(t, hub.address, lost.Addr().String())
	first.RecordOrigin("s", "a", "v1", time.Now().Add(time.Minute))
	require.Eventually(t, func() bool {
		version, err := second.FindOrigin(t.Context(), "s", "a")
		return err == nil && version == "v1"
	}, 10*time.Second, 10*time.Millisecond)
	_, err = second.FindOrigin(t.Context(), "s", "b")
	require.ErrorIs(t, err, errUnknownOrigin)

	alone := newOriginsFixture(t, lost.Addr().String())
	alone.RecordOrigin("s", "c", "v2", time.Now().Add(time.Minute))
	version, err := alone.FindOrigin(t.Context(), "s", "c")
	require.NoError(t, err)
	require.Equal(t, "v2", version)
	_, err = alone.FindOrigin(t.Context(), "s", "a")
	require.ErrorIs(t, err, errUnknownOrigin)
}

// A hub whose process has started again knows no stream; the host reports its own again.
func TestStreamOrigins_ReportedAgainToRestartedHub(t *testing.T) {
	hub := newStubHub(t)
	origins := newOriginsFixture(t, hub.address)
	origins.RecordOrigin("s", "a", "v1", time.Now().Add(time.Minute))
	known := func() bool {
		_, found := hub.table.Load().Find(time.Now(), origin.KeyOf("s", "a"))
		return found
	}
	require.Eventually(t, known, 10*time.Second, 5*time.Millisecond)
	hub.restart()
	origins.daemon.origins = origins
	watcher := origins.daemon.watcher
	for _, source := range []uint64{7, 8} {
		require.NoError(t, watcher.applyResponse(peer.WatchResponse{RosterSource: source}, time.Now(), nil))
	}
	require.Eventually(t, known, 10*time.Second, 5*time.Millisecond)
}
