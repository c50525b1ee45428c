package hub

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/comfreytiller/state"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/quorum"
	"comfreytiller.dev/settings"
)

// slowness describes hosts that are alive but slow.
type slowness struct {
	// linkStall and writeStall are the probabilities, per thousand, that a message or a write
	// takes between minStall and maxStall.
	linkStall, writeStall int
	// pauseInterval is the mean time between two pauses of a process, each between minStall
	// and maxStall; 0 for no pauses.
	pauseInterval      time.Duration
	minStall, maxStall time.Duration
}

// slowCluster runs the replicas and the membership of hubs in one synctest bubble. Its links
// keep the order of the messages.
type slowCluster struct {
	t testing.TB
	// running are the goroutines of all hosts.
	running sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	slowness slowness
	hosts    []*slowHost
	arrivals map[[2]string]time.Time
}

// slowHost is a hub without its listeners.
type slowHost struct {
	*slowCluster

	address string
	hub     *Hub
	storage quorum.MemoryStorage
	stop    context.CancelFunc
	stopped bool

	pausedUntil time.Time
	inbox       []func()
}

const slowVoters = 5

// newSlowCluster starts five voters that are quick at first.
func newSlowCluster(t testing.TB, seed uint64) *slowCluster {
	c := &slowCluster{
		t: t, random: rand.New(rand.NewPCG(seed, 1)),
		arrivals: map[[2]string]time.Time{},
	}
	var members []quorum.Member
	for i := range slowVoters {
		host := fmt.Sprintf("h-%d", i)
		members = append(members, quorum.Member{ID: "id-" + host, Host: host, Address: host + ":1", Voter: true})
	}
	for _, m := range members {
		h := &slowHost{slowCluster: c, address: m.Address}
		require.NoError(t, quorum.Bootstrap(&h.storage, "cluster", m.Host, members))
		c.start(m.Host, h)
	}
	return c
}

// add starts a hub with an empty disk.
func (c *slowCluster) add(host string) *slowHost {
	h := &slowHost{slowCluster: c, address: host + ":1"}
	c.start(host, h)
	return h
}

func (c *slowCluster) start(host string, h *slowHost) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(prefixed{c.t, host})
		log.SetFormatter(&logrus.TextFormatter{DisableTimestamp: true})
	}
	clock := pausingClock{clockwork.NewRealClock(), h}
	c.mu.Lock()
	quorumSeed := c.random.Uint64()
	c.mu.Unlock()
	replica, err := quorum.Start(quorum.Config{Host: host, Node: quorum.NodeConfig{Seed: quorumSeed}}, h, h, discardMachine{},
		quorum.WithClock(clock), quorum.WithLogger(log))
	require.NoError(c.t, err)
	var configured []string
	for i := range slowVoters {
		configured = append(configured, fmt.Sprintf("h-%d:1", i))
	}
	own := &settings.Settings{Host: host, Peers: h.address, StateReplicas: configured, State: &settings.State{Tolerates: slowVoters / 2}}
	h.hub = &Hub{Dependencies: Dependencies{Settings: own, Clock: clock, Log: log}, log: log, replica: &state.Replica{Quorum: replica}}
	h.hub.contact = newMajorityContact(clock)
	h.hub.membership = newMembershipManager(h.hub)
	h.hub.membership.send = func(address string, m peer.Message) {
		if to := c.byAddress(address); to != nil {
			h.sendTo(to, func() { to.hub.membership.recordJoin(m.(peer.JoinRequest)) })
		}
	}
	h.hub.membership.identify = func(_ context.Context, address string) (peer.IdentityResponse, error) {
		if to := c.byAddress(address); to != nil {
			return to.hub.replica.Identity(), nil
		}
		return peer.IdentityResponse{}, fmt.Errorf("no hub at %s", address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	c.mu.Lock()
	c.hosts = append(c.hosts, h)
	c.mu.Unlock()
	for _, run := range []func(context.Context){h.hub.maintainContact, h.hub.membership.run, h.reportSilence, h.pauseAtRandom} {
		phase := c.delay(membershipInterval, 0)
		c.running.Go(func() {
			time.Sleep(phase)
			run(ctx)
		})
	}
}

// lose stops the host for good.
func (c *slowCluster) lose(h *slowHost) {
	c.mu.Lock()
	h.stopped = true
	c.mu.Unlock()
	h.stop()
	h.hub.replica.Quorum.Stop()
}

func (c *slowCluster) stopAll() {
	for _, h := range c.hosts {
		if !h.stopped {
			c.lose(h)
		}
	}
	c.running.Wait()
}

func (c *slowCluster) setSlowness(s slowness) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowness = s
}

func (c *slowCluster) byAddress(address string) *slowHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.address == address && !h.stopped {
			return h
		}
	}
	return nil
}

// leader returns the host whose leadership is confirmed; nil for none.
func (c *slowCluster) leader() *slowHost {
	c.mu.Lock()
	hosts := c.hosts
	c.mu.Unlock()
	for _, h := range hosts {
		if h.hub.replica.Quorum.Leadership().Confirmed {
			return h
		}
	}
	return nil
}

// delay returns how long a message or a write takes.
func (c *slowCluster) delay(base time.Duration, stallPerThousand int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.IntN(1000) < stallPerThousand {
		return c.stall()
	}
	return time.Duration(c.random.Int64N(int64(base)))
}

func (c *slowCluster) stall() time.Duration {
	return c.slowness.minStall + time.Duration(c.random.Int64N(int64(c.slowness.maxStall-c.slowness.minStall)+1))
}

// Send implements quorum.Transport.
func (h *slowHost) Send(messages []quorum.Message) {
	for _, m := range messages {
		to := h.byAddress(m.ToAddress)
		if to == nil || to == h {
			continue
		}
		decoded, err := quorum.DecodeMessages(quorum.EncodeMessages([]quorum.Message{m}))
		require.NoError(h.t, err)
		h.sendTo(to, func() { to.hub.replica.Quorum.Deliver(decoded) })
	}
}

// sendTo calls receive once the link and the receiver's process allow.
func (h *slowHost) sendTo(to *slowHost, receive func()) {
	const linkDelay = 10 * time.Millisecond
	h.mu.Lock()
	stall := h.slowness.linkStall
	h.mu.Unlock()
	arrival := time.Now().Add(h.delay(linkDelay, stall))
	link := [2]string{h.address, to.address}
	h.mu.Lock()
	if last := h.arrivals[link]; !arrival.After(last) {
		arrival = last.Add(time.Microsecond)
	}
	h.arrivals[link] = arrival
	h.mu.Unlock()
	time.AfterFunc(time.Until(arrival), func() {
		to.mu.Lock()
		to.inbox = append(to.inbox, receive)
		to.mu.Unlock()
		to.receiveInbox()
	})
}

// receiveInbox handles what has arrived, unless the process is paused.
func (h *slowHost) receiveInbox() {
	h.mu.Lock()
	var inbox []func()
	if !h.stopped && !time.Now().Before(h.pausedUntil) {
		inbox, h.inbox = h.inbox, nil
	}
	h.mu.Unlock()
	for _, receive := range inbox {
		receive()
	}
}

// reportSilence sends the other members of the cluster what the refreshes of hubs tell them.
func (h *slowHost) reportSilence(ctx context.Context) {
	ticks.Every(ctx, h.hub.Clock, refreshInterval, func(context.Context) {
		report := peer.RosterUpdate{Replica: h.hub.replica.Quorum.Status().ID, SilentVoters: h.hub.membership.silence.silentVoters()}
		for _, address := range h.hub.replicaAddresses() {
			if to := h.byAddress(address); to != nil && to != h {
				h.sendTo(to, func() { to.hub.membership.silence.record(report) })
			}
		}
	})
}

// pauseAtRandom pauses the process at random.
func (h *slowHost) pauseAtRandom(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		wait, pause := 100*time.Millisecond, time.Duration(0)
		if interval := h.slowness.pauseInterval; interval > 0 && h.random.Int64N(int64(interval)) < int64(wait) {
			pause = h.stall()
		}
		h.mu.Unlock()
		h.pause(pause)
		time.Sleep(wait)
	}
}

// pause stops the process for a time.
func (h *slowHost) pause(d time.Duration) {
	if d == 0 {
		return
	}
	h.mu.Lock()
	h.pausedUntil = time.Now().Add(d)
	h.mu.Unlock()
	time.Sleep(d)
	// The timers of a process that resumes fire before it has read its connections.
	const readDelay = 2 * time.Millisecond
	time.AfterFunc(readDelay, h.receiveInbox)
}

// awaitResume returns once the process is not paused.
func (h *slowHost) awaitResume() {
	for {
		h.mu.Lock()
		wait := time.Until(h.pausedUntil)
		h.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// Save implements quorum.Storage.
func (h *slowHost) Save(hardState quorum.HardState, entries []quorum.Entry) error {
	const writeTime = 20 * time.Millisecond
	h.awaitResume()
	h.mu.Lock()
	stall := h.slowness.writeStall
	h.mu.Unlock()
	time.Sleep(h.delay(writeTime, stall))
	h.awaitResume()
	return h.storage.Save(hardState, entries)
}

// SaveSnapshot implements quorum.Storage.
func (h *slowHost) SaveSnapshot(snapshot quorum.Snapshot) error {
	return h.storage.SaveSnapshot(snapshot)
}

// Load implements quorum.Storage.
func (h *slowHost) Load() (quorum.HardState, quorum.Snapshot, []quorum.Entry, error) {
	return h.storage.Load()
}

// discardMachine is a state machine without a state.
type discardMachine struct{}

func (discardMachine) Apply(uint64, uint64, []byte) []byte { return nil }
func (discardMachine) Snapshot() ([]byte, error)           { return []byte("s"), nil }
func (discardMachine) Restore([]byte) error                { return nil }

// prefixed logs the lines of a host with the time since the test has started.
type prefixed struct {
	t    testing.TB
	host string
}

func (p prefixed) Write(line []byte) (int, error) {
	p.t.Logf("%s %s %s", time.Now().Format("05.000"), p.host, line)
	return len(line), nil
}

// pausingClock is the clock of a process that may be paused: its tickers don't tick meanwhile.
type pausingClock struct {
	clockwork.Clock

	host *slowHost
}

func (c pausingClock) NewTicker(d time.Duration) clockwork.Ticker {
	t := &pausingTicker{Ticker: c.Clock.NewTicker(d), ticks: make(chan time.Time, 1), stopped: make(chan struct{})}
	go func() {
		for {
			select {
			case <-t.stopped:
				return
			case at := <-t.Ticker.Chan():
				c.host.awaitResume()
				select {
				case t.ticks <- at:
				default:
				}
			}
		}
	}()
	return t
}

type pausingTicker struct {
	clockwork.Ticker

	ticks   chan time.Time
	stopped chan struct{}
}

func (t *pausingTicker) Chan() <-chan time.Time { return t.ticks }

func (t *pausingTicker) Stop() {
	t.Ticker.Stop()
	close(t.stopped)
}
