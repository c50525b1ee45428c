package entry

import (
	"bytes"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/fleet"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// servePeer serves a peer with a handler and returns its address.
func servePeer(t *testing.T, handler peer.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	node := peer.NewNode(peer.Config{Host: "peer", Clock: clockwork.NewRealClock()}, handler)
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
	return listener.Addr().String()
}

// newLargeDelta returns an encoded delta of more than maxCheckedDeltaBytes from an empty view.
func newLargeDelta(to uint64) []byte {
	random := rand.New(rand.NewPCG(1, 2))
	delta := registry.Delta{ToRevision: to}
	for i := range 400 {
		name := make([]byte, 24)
		for j := range name {
			name[j] = byte('a' + random.IntN(26))
		}
		delta.Sessions = append(delta.Sessions, registry.Host{Name: string(name), Session: uint64(i + 1)})
	}
	return delta.Encode()
}

// A host gets a large delta from the host that its hub names, and from the hub if that one
// fails. It keeps it for others.
func TestFetch_FromSourceAndFromHub(t *testing.T) {
	delta := newLargeDelta(9)
	require.Greater(t, len(delta), maxCheckedDeltaBytes)
	for _, sourceFails := range []bool{false, true} {
		var fromSource, fromHub atomic.Int64
		source := servePeer(t, func(_ string, _ peer.Message, reply peer.Reply) {
			fromSource.Add(1)
			response := peer.WatchResponse{Delta: delta}
			if sourceFails {
				response.Delta = nil
			}
			reply(response)
		})
		hub := servePeer(t, func(_ string, message peer.Message, reply peer.Reply) {
			request := message.(peer.WatchRequest)
			response := peer.WatchResponse{QuorumConfirmed: true, ConfirmedAge: time.Millisecond, OmittedRevision: 9, Sources: []string{source}}
			if request.Direct {
				fromHub.Add(1)
				response.Delta, response.OmittedRevision, response.Sources = delta, 0, nil
			}
			reply(response)
		})
		f := newFixture(t)
		f.daemon.Clock, f.daemon.Scope = clockwork.NewRealClock(), tally.NoopScope
		f.daemon.Protocol = protocol.Protocol{ParseFleet: func([]byte) (*fleet.Fleet, error) { return &fleet.Fleet{}, nil }}
		f.daemon.node = peer.NewNode(peer.Config{Host: "e-1", Clock: f.daemon.Clock}, nil)
		f.daemon.watcher = newHubWatcher(f.daemon)
		f.daemon.view = newStateView(f.daemon.Clock)
		f.daemon.view.replace(&registry.View{Revision: 3})
		checker := newViewChecker(f.daemon)
		checker.ask(t.Context(), hub)
		require.Equal(t, uint64(9), f.daemon.view.latest().Revision)
		require.Zero(t, checker.pending())
		require.Equal(t, int64(1), fromSource.Load())
		require.Equal(t, sourceFails, fromHub.Load() == 1)
		require.Equal(t, sourceFails, f.daemon.view.IsConfirmed(), "only a hub confirms the view")
		require.True(t, bytes.Equal(delta, f.daemon.deltas.response(peer.WatchRequest{Revision: 3}).Delta))
		require.Empty(t, f.daemon.deltas.response(peer.WatchRequest{Revision: 4}).Delta, "the delta is from another view")
		f.daemon.node.Close()
	}
}
