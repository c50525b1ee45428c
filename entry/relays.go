package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/common/ticks"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
)

const (
	// directDialTimeout limits an attempt to connect directly while relays are known. The client for
	// targets limits both attempts together.
	directDialTimeout = 150 * time.Millisecond
	// relayDialTimeout limits an attempt to connect through one relay, which may be gone.
	relayDialTimeout = 100 * time.Millisecond
	// pathProbeHold is how long a direct connection must last for the path to be restored: a cut may
	// reset connections after they were accepted.
	pathProbeHold = 250 * time.Millisecond
	// pathCheckInterval is the interval between checks of the paths while one has failed lately.
	pathCheckInterval = 100 * time.Millisecond
	// relayHostsTTL is how long the addresses of other hosts are used before the hubs are asked
	// again, relayHostsRetry the pause while none are known.
	relayHostsTTL     = 5 * time.Second
	relayHostsRetry   = 500 * time.Millisecond
	relayHostsTimeout = 500 * time.Millisecond
	// relayPause is how long a relay that has failed isn't used.
	relayPause = 2 * time.Second
	// maxRelayAttempts limits the relays that are tried for one connection.
	maxRelayAttempts = 3
	// relayShare is the share of the descriptors of a machine for relayed connections, which take
	// two each.
	relayShare       = 0.1
	defaultMaxRelays = 128
)

// errNotServed reports an address that this host doesn't relay to.
var errNotServed = errors.New("no ready target has the address")

// maxRelayed returns the number of connections that this host relays at a time on a machine with
// descriptors.
func maxRelayed(descriptors int) int {
	if descriptors == 0 {
		return defaultMaxRelays
	}
	return int(relayShare * float64(descriptors) / 2)
}

// targetDialer opens connections to targets: directly, or through another host if this one is cut
// off from the target. The bytes pass unchanged, so that all decisions about a request stay here:
// where it is sent, whether it may be sent again, when it ends. It implements target.Dialer.
type targetDialer struct {
	daemon *Entry
	log    *logrus.Logger
	clock  clockwork.Clock
	paths  *targetPaths
	direct target.Dialer
	// wake has a signal if a path has failed.
	wake chan struct{}

	relayedHere   tally.Counter
	relayedOthers tally.Counter

	mu sync.Mutex
	// relays are the peer addresses of other hosts, relaysAt is when the hubs were last asked for
	// them, pausedUntil until when those that failed aren't used.
	relays      []string
	relaysAt    time.Time
	pausedUntil map[string]time.Time
}

func newTargetDialer(e *Entry) *targetDialer {
	return &targetDialer{
		daemon: e, log: logs.ForComponent(e.Log, "Relay"), clock: e.Clock, paths: newTargetPaths(), direct: &net.Dialer{}, wake: make(chan struct{}, 1),
		relayedHere: e.Scope.Counter("connections_through_relays"), relayedOthers: e.Scope.Counter("connections_relayed_for_hosts"),
		pausedUntil: map[string]time.Time{},
	}
}

// DialContext opens a connection to a target.
func (d *targetDialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	isCut, relays := d.paths.isCut(address), d.usableRelays()
	var directErr error
	if !isCut || len(relays) == 0 {
		timeout := time.Duration(0)
		if len(relays) > 0 {
			timeout = directDialTimeout
		}
		conn, err := d.dialDirect(ctx, network, address, timeout)
		if err == nil {
			return conn, nil
		}
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return nil, err
		}
		directErr = err
		d.recordFailure(address, err)
	}
	conn, err := d.dialRelays(ctx, address, relays)
	if conn != nil {
		return conn, nil
	}
	return nil, errors.Join(directErr, err)
}

// dialDirect opens a direct connection within a timeout, or until ctx ends if it is 0.
func (d *targetDialer) dialDirect(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = clockwork.WithTimeout(ctx, d.clock, timeout)
		defer cancel()
	}
	conn, err := d.direct.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &pathConn{Conn: conn, onEarlyEnd: func(err error) { d.recordFailure(address, err) }}, nil
}

// dialRelays opens a connection through one of the relays. It returns neither a connection nor an
// error if there are none.
func (d *targetDialer) dialRelays(ctx context.Context, address string, relays []string) (net.Conn, error) {
	var failures error
	unreachable := 0
	for _, relay := range relays[:min(len(relays), maxRelayAttempts)] {
		conn, err := d.dialRelay(ctx, relay, address)
		if err == nil {
			d.paths.recordRelayed(address)
			d.relayedHere.Inc(1)
			return &pathConn{Conn: conn, onEarlyEnd: func(error) { d.pauseRelay(relay) }}, nil
		}
		failures = errors.Join(failures, err)
		switch {
		case errors.Is(err, peer.ErrRelayUnreachable):
			unreachable++
		case !errors.Is(ctx.Err(), context.Canceled):
			d.pauseRelay(relay)
		}
	}
	if unreachable > 0 && ctx.Err() == nil {
		d.paths.recordDown(address)
	}
	return nil, failures
}

// dialRelay opens a connection through a relay within relayDialTimeout.
func (d *targetDialer) dialRelay(ctx context.Context, relay, address string) (net.Conn, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, relayDialTimeout)
	defer cancel()
	return d.daemon.node.DialRelay(ctx, relay, address)
}

// recordFailure records that a direct connection failed.
func (d *targetDialer) recordFailure(address string, err error) {
	if !d.paths.recordFailure(d.clock.Now(), address) {
		return
	}
	d.log.WithError(err).WithField("Address", address).Info("Target can't be reached directly; connecting through other hosts.")
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// usableRelays returns the relays that may be tried, in random order.
func (d *targetDialer) usableRelays() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	var usable []string
	for _, relay := range d.relays {
		if now.Before(d.pausedUntil[relay]) {
			continue
		}
		usable = append(usable, relay)
	}
	rand.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	return usable
}

func (d *targetDialer) pauseRelay(relay string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pausedUntil[relay] = d.clock.Now().Add(relayPause)
}

// isCutOff reports whether this host reaches no target directly, while others do.
func (d *targetDialer) isCutOff() bool {
	return d.paths.isCutOffFrom(d.clock.Now(), d.daemon.selector.readyAddresses())
}

// logCutOff logs when isCutOff has changed from its previous value, and returns the present one.
func (d *targetDialer) logCutOff(previous bool) bool {
	isCutOff := d.isCutOff()
	switch {
	case isCutOff && !previous:
		d.log.Warn("This host reaches no target directly; it is not ready until it does.")
	case previous && !isCutOff:
		d.log.Info("This host reaches targets directly again.")
	}
	return isCutOff
}

// run restores direct paths and finds relays, while a path has failed, until ctx ends.
func (d *targetDialer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		checking, stop := context.WithCancel(ctx)
		wasCutOff := false
		ticks.Every(checking, d.clock, pathCheckInterval, func(ctx context.Context) {
			wasCutOff = d.logCutOff(wasCutOff)
			d.paths.forget(d.daemon.selector.hasReadyTarget)
			if d.paths.isEmpty() {
				stop()
				return
			}
			d.findRelays(ctx)
			for _, address := range d.paths.takeDueProbes(d.clock.Now()) {
				go d.probe(ctx, address)
			}
		})
		stop()
	}
}

// probe tries the direct path to a target that this host is cut off from.
func (d *targetDialer) probe(ctx context.Context, address string) {
	dialing, cancel := clockwork.WithTimeout(ctx, d.clock, probeTimeout)
	defer cancel()
	conn, err := d.direct.DialContext(dialing, "tcp", address)
	if err == nil {
		err = d.hold(conn)
	}
	if ctx.Err() == nil && d.paths.recordProbe(d.clock.Now(), address, err == nil) {
		d.log.WithField("Address", address).Info("Target can be reached directly again.")
	}
}

// hold keeps a connection for pathProbeHold, closes it and returns why it ended before.
func (d *targetDialer) hold(conn net.Conn) error {
	defer func() { _ = conn.Close() }()
	expired := d.clock.AfterFunc(pathProbeHold, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer expired.Stop()
	_, err := conn.Read(make([]byte, 1))
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}

// findRelays asks the hubs for the peer addresses of other hosts if they are due. Each hub knows
// those that it serves.
func (d *targetDialer) findRelays(ctx context.Context) {
	d.mu.Lock()
	age, known := d.clock.Since(d.relaysAt), len(d.relays) > 0
	isDue := age >= relayHostsTTL || !known && age >= relayHostsRetry
	if isDue {
		d.relaysAt = d.clock.Now()
	}
	d.mu.Unlock()
	if isDue {
		go d.askHubs(ctx)
	}
}

// askHubs replaces the known relays by those that the hubs name, if any responds.
func (d *targetDialer) askHubs(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, relayHostsTimeout)
	defer cancel()
	var mu sync.Mutex
	var relays []string
	var asked sync.WaitGroup
	for _, hub := range d.daemon.watcher.candidates() {
		asked.Go(func() {
			reply, err := d.daemon.node.Call(ctx, hub, peer.HostsRequest{})
			if err != nil {
				d.log.WithError(err).Debugf("Hub %s doesn't name other hosts.", hub)
				return
			}
			if hosts, ok := reply.(peer.HostsResponse); ok {
				mu.Lock()
				relays = append(relays, hosts.Addresses...)
				mu.Unlock()
			}
		})
	}
	asked.Wait()
	slices.Sort(relays)
	relays = slices.DeleteFunc(slices.Compact(relays), func(address string) bool { return address == d.daemon.watcher.peerAddress() })
	if len(relays) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.relays = relays
}

// relay opens a direct connection to a target for another host. It returns an error for any other
// address, and for a target that this host is cut off from itself: a connection has one relay.
func (d *targetDialer) relay(ctx context.Context, address string) (net.Conn, error) {
	if !d.daemon.selector.hasReadyTarget(address) {
		return nil, errors.Wrapf(errNotServed, "%q", address)
	}
	if d.paths.isCut(address) {
		return nil, errors.Wrapf(peer.ErrRelayUnavailable, "this host is cut off from %s", address)
	}
	if d.daemon.gateway != nil && d.daemon.gateway.KeepAliveDisabled() {
		return nil, errors.Wrap(peer.ErrRelayUnavailable, "this host is shutting down")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, d.clock, directDialTimeout)
	defer cancel()
	conn, err := d.direct.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	d.relayedOthers.Inc(1)
	d.log.WithField("Address", address).Debug("Connected to a target for another host.")
	return conn, nil
}

// pathConn is a connection to a target that reports an end before any data has arrived.
type pathConn struct {
	net.Conn
	onEarlyEnd func(err error)
	hasRead    bool
}

// Read reports an early end unless it comes from a deadline or from this host.
func (c *pathConn) Read(p []byte) (int, error) {
	count, err := c.Conn.Read(p)
	if !c.hasRead && err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		c.onEarlyEnd(err)
	}
	c.hasRead = c.hasRead || count > 0 || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return count, err
}

// SyscallConn returns the descriptor of the connection.
func (c *pathConn) SyscallConn() (syscall.RawConn, error) {
	systemConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Errorf("a connection of type %T has no descriptor", c.Conn)
	}
	return systemConn.SyscallConn()
}
