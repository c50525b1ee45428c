package session

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// Client keeps a host's session and its copy of the replicated state. It is
// safe for concurrent use, but only one Run may be active at a time.
type Client struct {
	config Config
	caller Caller

	mu           sync.Mutex
	number       uint64
	leaseExpiry  time.Time
	view         *registry.View
	changed      chan struct{}
	idleServices map[string]bool
	namedLeader  string
	replicaIndex int
	closing      bool
	// lastReported is the last error passed to OnError. Only Run uses it.
	lastReported string
}

// New returns a client without a session; Run opens one.
func New(config Config, caller Caller) *Client {
	return &Client{
		config:       config,
		caller:       caller,
		view:         emptyView(),
		changed:      make(chan struct{}),
		idleServices: map[string]bool{},
	}
}

// Check returns nil while the lease is live, and ErrNoLease otherwise.
func (c *Client) Check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.config.Clock.Now().Before(c.leaseExpiry) {
		return ErrNoLease
	}
	return nil
}

// Number returns the session's number, 0 for none.
func (c *Client) Number() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.number
}

// View returns the latest view.
func (c *Client) View() *registry.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Watch returns the latest view and a channel that is closed when there is a
// newer view or the session changes.
func (c *Client) Watch() (*registry.View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view, c.changed
}

// IsIdle reports whether the service cannot serve now, according to the last
// report of its owner.
func (c *Client) IsIdle(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleServices[service]
}

// Run opens a session and renews it until ctx ends or the client is closed. A
// closed client opens no other session, since no one would renew it.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil && !c.isClosing() {
		if c.Number() == 0 {
			if err := c.open(ctx); err != nil {
				c.reportError(err)
				c.waitBackoff(ctx)
				continue
			}
		}
		err := c.renew(ctx)
		c.reportError(err)
		if err != nil {
			c.waitBackoff(ctx)
		}
	}
}

func (c *Client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// Close ends the session for good, so that its services move to other hosts at
// once. The caller must have stopped all work under the session.
func (c *Client) Close(ctx context.Context) error {
	c.mu.Lock()
	number := c.number
	c.closing = true
	c.mu.Unlock()
	if number == 0 {
		return nil
	}
	_, err := c.Propose(ctx, registry.CloseSession{Session: number, Reason: registry.CloseGraceful})
	if err != nil {
		return errors.Wrapf(err, "close session %d", number)
	}
	return nil
}

func (c *Client) open(ctx context.Context) error {
	ctx, cancel := clockwork.WithTimeout(ctx, c.config.Clock, 2*proposeTimeout)
	defer cancel()
	result, err := c.Propose(ctx, registry.OpenSession{
		Host:          c.config.Host,
		FailureDomain: c.config.FailureDomain,
		PeerAddress:   c.config.PeerAddress,
		CallerAddress: c.config.CallerAddress,
		CanOwn:        c.config.OwnsServices,
		ProcessNonce:  c.config.StartNonce,
	})
	if err != nil {
		return errors.Wrapf(err, "open session of %s", c.config.Host)
	}
	if err := result.Err(); err != nil {
		return errors.Wrapf(err, "open session of %s", c.config.Host)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number = result.Session
	c.notify()
	return nil
}

// notify wakes the watchers. The caller must hold c.mu.
func (c *Client) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// renew sends one renewal and applies its answer.
func (c *Client) renew(ctx context.Context) error {
	sent := c.config.Clock.Now()
	address, request := c.prepareRenewal()
	ctx, cancel := clockwork.WithTimeout(ctx, c.config.Clock, renewLongPoll+renewSlack)
	defer cancel()
	answer, err := c.caller.Call(ctx, address, request)
	if err != nil {
		c.switchReplica(address, "")
		return errors.Wrapf(err, "renew session at %s", address)
	}
	renewed, ok := answer.(peer.RenewResponse)
	if !ok {
		c.switchReplica(address, "")
		return errors.Errorf("renew session at %s: unexpected answer of type %T", address, answer)
	}
	return c.handleRenewal(address, request.Session, sent, renewed)
}

func (c *Client) prepareRenewal() (string, peer.RenewRequest) {
	var idle []string
	if c.config.IdleServices != nil {
		idle = c.config.IdleServices()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentAddress(), peer.RenewRequest{
		Session:      c.number,
		Revision:     c.view.Revision,
		FleetVersion: c.view.FleetVersion,
		MaxWait:      renewLongPoll,
		IdleServices: idle,
	}
}

func (c *Client) handleRenewal(address string, session uint64, sent time.Time, renewed peer.RenewResponse) error {
	switch renewed.Code {
	case peer.CodeDone:
		return c.extendLease(session, sent, renewed)
	case peer.CodeNoSession:
		c.dropSession(session)
		return nil
	}
	c.switchReplica(address, renewed.Leader)
	return errors.Wrapf(ErrNoLeader, "renew session at %s: %s", address, renewed.Code)
}

// extendLease applies the state delta before it extends the lease: only a host
// that holds the latest state may have a live lease.
func (c *Client) extendLease(session uint64, sent time.Time, renewed peer.RenewResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.number != session {
		return nil
	}
	if len(renewed.Delta) > 0 {
		if err := c.applyDelta(renewed.Delta); err != nil {
			return err
		}
	}
	c.idleServices = map[string]bool{}
	for _, service := range renewed.IdleServices {
		c.idleServices[service] = true
	}
	c.leaseExpiry = sent.Add(LeaseDuration - ClockMargin)
	return nil
}

func (c *Client) applyDelta(data []byte) error {
	delta, err := registry.DecodeDelta(data)
	if err != nil {
		return errors.Wrap(err, "decode state delta")
	}
	view, err := delta.Apply(c.view)
	if err != nil {
		return errors.Wrapf(err, "apply state delta to revision %d", c.view.Revision)
	}
	if view.Revision > c.view.Revision {
		c.view = view
		c.notify()
	}
	return nil
}

// dropSession forgets a session that the state replicas have closed.
func (c *Client) dropSession(session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.number != session {
		return
	}
	c.number = 0
	c.leaseExpiry = time.Time{}
	c.notify()
}

// reportError passes err to OnError unless it has the same text as the last
// error. A nil err resets the last error.
func (c *Client) reportError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == c.lastReported {
		return
	}
	c.lastReported = text
	if err != nil && c.config.OnError != nil {
		c.config.OnError(err)
	}
}

// currentAddress returns the replica to call. The caller must hold c.mu.
func (c *Client) currentAddress() string {
	if c.namedLeader != "" {
		return c.namedLeader
	}
	return c.config.Replicas[c.replicaIndex%len(c.config.Replicas)]
}

// switchReplica switches to the leader that the replica at asked named, or else
// to the next replica.
func (c *Client) switchReplica(asked, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentAddress() != asked {
		return
	}
	c.namedLeader = ""
	if leader != "" && leader != asked {
		c.namedLeader = leader
		return
	}
	c.replicaIndex++
}

func (c *Client) waitBackoff(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.config.Clock.After(retryBackoff):
	}
}

// LeaderAddress returns the address of the state replica that the client
// currently assumes to be the leader.
func (c *Client) LeaderAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentAddress()
}
