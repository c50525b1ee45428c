package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/settings"
	"comfreytiller.dev/target"
	"comfreytiller.dev/target/roster"
	"comfreytiller.dev/target/web"
)

// cutKind is how the network treats connections of a host that is cut off from a target.
type cutKind string

const (
	// cutResets resets connections right after they were accepted.
	cutResets cutKind = "Resets"
	// cutRefuses lets no connection be opened.
	cutRefuses cutKind = "Refuses"
	// cutHangs answers no attempt to open a connection.
	cutHangs cutKind = "Hangs"
	// cutRefusesNew refuses new connections, and old ones live on.
	cutRefusesNew cutKind = "RefusesNew"
)

// cutDialer is the direct dialer of a host that may be cut off from targets.
type cutDialer struct {
	mu  sync.Mutex
	cut map[string]cutKind
	// open are the connections that were opened, by address.
	open map[string][]net.Conn
}

func (d *cutDialer) set(kind cutKind, addresses ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		d.cut[address] = kind
		if kind == cutRefusesNew || kind == "" {
			continue
		}
		for _, c := range d.open[address] {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
		d.open[address] = nil
	}
}

// DialContext implements target.Dialer.
func (d *cutDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	kind := d.cut[address]
	d.mu.Unlock()
	switch kind {
	case cutRefuses, cutRefusesNew:
		return nil, errors.New("connection refused")
	case cutHangs:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if kind == cutResets {
		return dialReset(ctx)
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open[address] = append(d.open[address], c)
	return c, nil
}

// dialReset returns a connection that its peer resets right after it was accepted.
func dialReset(ctx context.Context) (net.Conn, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		defer listener.Close()
		c, err := listener.Accept()
		if err == nil {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return (&net.Dialer{}).DialContext(ctx, "tcp", listener.Addr().String())
}

// relayHost is an entry host with nothing but what connects it to targets.
type relayHost struct {
	*Entry
	cuts *cutDialer
}

// startRelayHosts starts hosts that know of each other and of the ready targets.
func startRelayHosts(t *testing.T, count int, targets ...string) []*relayHost {
	var hosts []*relayHost
	var addresses []string
	log, err := logs.New(io.Discard, "info", "json")
	require.NoError(t, err)
	for i := range count {
		h := &relayHost{cuts: &cutDialer{cut: map[string]cutKind{}, open: map[string][]net.Conn{}}, Entry: &Entry{Dependencies: Dependencies{
			Settings: &settings.Settings{Host: fmt.Sprintf("e-%d", i)}, Clock: clockwork.NewRealClock(), Log: log, Scope: tally.NewTestScope("", nil),
		}}}
		h.view = newStateView(h.Clock)
		h.dialer = newTargetDialer(h.Entry)
		h.dialer.direct = h.cuts
		h.crashes, h.watcher = newCrashGuard(h.Entry), newHubWatcher(h.Entry)
		h.selector = newTargetSelector(h.Entry)
		h.node = peer.NewNode(peer.Config{Host: h.Settings.Host, Clock: h.Clock, Relay: h.dialer.relay, MaxRelayed: defaultMaxRelays}, h.receive)
		t.Cleanup(h.node.Close)
		h.peerListener, err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = h.peerListener.Close() })
		h.log = log
		go h.servePeers()
		var entries []roster.Entry
		for n, address := range targets {
			entries = append(entries, roster.Entry{
				Announcement: target.Announcement{Name: fmt.Sprintf("t-%d", n), Service: "treasury", Address: address, Stamp: target.Stamp{Incarnation: 1, Sequence: 1}},
				State:        roster.Ready, LastSeen: h.Clock.Now(),
			})
		}
		h.selector.applyRoster(entries, 0)
		hosts, addresses = append(hosts, h), append(addresses, h.peerListener.Addr().String())
	}
	for i, h := range hosts {
		h.dialer.relaysAt = h.Clock.Now()
		for other, address := range addresses {
			if other != i {
				h.dialer.relays = append(h.dialer.relays, address)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			h.dialer.run(ctx)
		}()
		t.Cleanup(func() {
			cancel()
			<-stopped
		})
	}
	return hosts
}

// call sends a call to a target and returns its body.
func (h *relayHost) call(t *testing.T, client *web.Client, address string) (string, error) {
	response, err := client.Send(t.Context(), target.Call{RequestID: "r", Address: address, Service: "treasury", Name: "Balance", FirstByteTimeout: 5 * time.Second})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, err := response.Body(1 << 20)
	return string(body), err
}

// startHTTPTarget starts a target that answers each call with its ID.
func startHTTPTarget(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(web.HeaderRequestID, r.Header.Get(web.HeaderRequestID))
		_, _ = io.WriteString(w, `"answer"`)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// newClient returns a client for targets that connects as the host does.
func (h *relayHost) newClient(t *testing.T) *web.Client {
	client := web.NewClient(h.Clock, web.WithDialer(h.dialer), web.WithDialTimeout(300*time.Millisecond))
	t.Cleanup(client.Close)
	return client
}

// Guards against a host that reaches no target, stays in rotation and serves nothing, while the
// other hosts reach all targets.
func TestRelays_HostThatIsCutOffServesThroughOthers(t *testing.T) {
	for _, kind := range []cutKind{cutResets, cutRefuses, cutHangs, cutRefusesNew} {
		t.Run(string(kind), func(t *testing.T) {
			addresses := []string{startHTTPTarget(t), startHTTPTarget(t)}
			hosts := startRelayHosts(t, 2, addresses...)
			h := hosts[0]
			client := h.newClient(t)
			for _, address := range addresses {
				_, err := h.call(t, client, address)
				require.NoError(t, err)
			}
			h.cuts.set(kind, addresses...)
			const detection, served = 3, 20
			for _, address := range addresses {
				for range detection {
					_, _ = h.call(t, client, address)
				}
				for range served {
					body, err := h.call(t, client, address)
					require.NoError(t, err)
					require.Equal(t, `"answer"`, body)
				}
			}
			if kind != cutRefusesNew {
				require.Eventually(t, func() bool { return h.checkReady() != nil }, 10*time.Second, 10*time.Millisecond, "a host that reaches no target leaves the rotation")
			}
			require.NoError(t, hosts[1].checkReady())
			h.cuts.set("", addresses...)
			require.Eventually(t, func() bool {
				return !h.dialer.paths.isCut(addresses[0]) && !h.dialer.paths.isCut(addresses[1]) && h.checkReady() == nil
			}, 10*time.Second, 10*time.Millisecond)
			_, err := h.call(t, client, addresses[0])
			require.NoError(t, err)
		})
	}
}

// Guards against a zone whose hosts are all cut off and take each other for relays.
func TestRelays_MostHostsAreCutOff(t *testing.T) {
	address := startHTTPTarget(t)
	hosts := startRelayHosts(t, 6, address)
	cut := hosts[:5]
	clients := make([]*web.Client, len(cut))
	for i, h := range cut {
		h.cuts.set(cutResets, address)
		clients[i] = h.newClient(t)
	}
	const detection, served = 8, 20
	for i := range detection + served {
		for n, h := range cut {
			_, err := h.call(t, clients[n], address)
			if i >= detection {
				require.NoError(t, err)
			}
		}
	}
}

// Guards against a relay that is gone without a trace and takes up the time of each connection.
func TestRelays_SilentRelayIsNotTriedAgain(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer silent.Close()
	address := startHTTPTarget(t)
	h := startRelayHosts(t, 2, address)[0]
	h.dialer.mu.Lock()
	h.dialer.relays = append(h.dialer.relays, silent.Addr().String())
	h.dialer.mu.Unlock()
	h.cuts.set(cutRefuses, address)
	for range 10 {
		c, err := h.dialer.DialContext(t.Context(), "tcp", address)
		require.NoError(t, err)
		require.NoError(t, c.Close())
	}
	require.Eventually(t, func() bool {
		c, err := h.dialer.DialContext(t.Context(), "tcp", address)
		require.NoError(t, err)
		require.NoError(t, c.Close())
		return len(h.dialer.usableRelays()) == 1
	}, 10*time.Second, time.Millisecond, "the silent one is paused")
}

// A target that is down must count as unreachable at once, and must not make a host unready.
func TestRelays_TargetThatIsDownIsUnreachable(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	h := startRelayHosts(t, 3, address)[0]
	_, err = h.call(t, h.newClient(t), address)
	require.ErrorIs(t, err, target.ErrUnreachable)
	require.False(t, h.dialer.paths.isCut(address))
	require.NoError(t, h.checkReady())
}

// A relay connects only to ready targets that it reaches itself, so that nobody gets further
// through it, and no connection has two relays.
func TestRelays_ServeReadyTargetsOnly(t *testing.T) {
	served, other := startHTTPTarget(t), startHTTPTarget(t)
	hosts := startRelayHosts(t, 3, served)
	relay := hosts[1].peerListener.Addr().String()
	_, err := hosts[0].node.DialRelay(t.Context(), relay, other)
	require.ErrorIs(t, err, peer.ErrRelayUnreachable)
	hosts[1].cuts.set(cutRefuses, served)
	hosts[1].dialer.recordFailure(served, errors.New("refused"))
	_, err = hosts[0].node.DialRelay(t.Context(), relay, served)
	require.ErrorIs(t, err, peer.ErrRelayUnavailable)
	c, err := hosts[0].node.DialRelay(t.Context(), hosts[2].peerListener.Addr().String(), served)
	require.NoError(t, err)
	require.NoError(t, c.Close())
}

// A response without a length ends with its connection. One whose relay is lost must not look
// complete, and one that the target has ended must.
func TestRelays_EndOfResponseIsThatOfTheTarget(t *testing.T) {
	for name, isLost := range map[string]bool{"relay lost": true, "ended by the target": false} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer listener.Close()
			hosts := startRelayHosts(t, 2, listener.Addr().String())
			finish := make(chan struct{})
			go func() {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = io.WriteString(c, "part")
				<-finish
			}()
			hosts[0].cuts.set(cutRefuses, listener.Addr().String())
			c, err := hosts[0].dialer.DialContext(t.Context(), "tcp", listener.Addr().String())
			require.NoError(t, err)
			defer c.Close()
			part := make([]byte, len("part"))
			_, err = io.ReadFull(c, part)
			require.NoError(t, err)
			if isLost {
				hosts[1].node.Close()
				defer close(finish)
			} else {
				close(finish)
			}
			_, err = io.ReadAll(c)
			if isLost {
				require.ErrorIs(t, err, peer.ErrRelayAborted)
				return
			}
			require.NoError(t, err)
		})
	}
}
