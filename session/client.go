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

// Client is a host's session.
type Client struct {
	config Config
	caller Caller

	mu       sync.Mutex
	number   uint64
	leaseEnd time.Time
	view     *registry.View
	changed  chan struct{}
	idle     map[string]bool
	leader   string
	next     int
	closing  bool
	// reported is the last failure told to Trouble; only Run uses it.
	reported string
}

// New returns a client without a session; Run opens one.
func New(config Config, caller Caller) *Client {
	return &Client{
		config:  config,
		caller:  caller,
		view:    emptyView(),
		changed: make(chan struct{}),
		idle:    map[string]bool{},
	}
}

// Check returns nil while the lease is live, and ErrNoLease otherwise.
func (c *Client) Check() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing || !c.config.Clock.Now().Before(c.leaseEnd) {
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

// View returns the newest view.
func (c *Client) View() *registry.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Watch returns the newest view and a channel that is closed when a newer one,
// or a new session, is there.
func (c *Client) Watch() (*registry.View, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view, c.changed
}

// Idle reports whether the service cannot serve now, as its owner last told.
func (c *Client) Idle(service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idle[service]
}

// Run opens a session and renews it until ctx ends or the client is closed. A
// closed client opens no other session: nobody would renew that one.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil && !c.isClosing() {
		if c.Number() == 0 {
			if err := c.open(ctx); err != nil {
				c.report(err)
				c.pause(ctx)
				continue
			}
		}
		err := c.renew(ctx)
		c.report(err)
		if err != nil {
			c.pause(ctx)
		}
	}
}

func (c *Client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// Close ends the session for good, so that its services move at once. The
// caller has stopped all work under the session.
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
		Owns:          c.config.Owns,
		Start:         c.config.Start,
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

// notify wakes the watchers; the lock is held.
func (c *Client) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// renew sends one renewal and takes its answer.
func (c *Client) renew(ctx context.Context) error {
	sent := c.config.Clock.Now()
	address, request := c.prepareRenewal()
	ctx, cancel := clockwork.WithTimeout(ctx, c.config.Clock, renewWait+renewSlack)
	defer cancel()
	answer, err := c.caller.Call(ctx, address, request)
	if err != nil {
		c.turn(address, "")
		return errors.Wrapf(err, "renew at %s", address)
	}
	renewed, ok := answer.(peer.RenewResponse)
	if !ok {
		c.turn(address, "")
		return errors.Errorf("renew at %s: answer of type %T", address, answer)
	}
	return c.takeRenewal(address, request.Session, sent, renewed)
}

func (c *Client) prepareRenewal() (string, peer.RenewRequest) {
	var idle []string
	if c.config.Idle != nil {
		idle = c.config.Idle()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address(), peer.RenewRequest{
		Session:      c.number,
		Revision:     c.view.Revision,
		FleetVersion: c.view.FleetVersion,
		MaxWait:      renewWait,
		IdleServices: idle,
	}
}

func (c *Client) takeRenewal(address string, session uint64, sent time.Time, renewed peer.RenewResponse) error {
	switch renewed.Code {
	case peer.CodeDone:
		return c.extend(session, sent, renewed)
	case peer.CodeNoSession:
		c.lose(session)
		return nil
	}
	c.turn(address, renewed.Leader)
	return errors.Wrapf(ErrNoLeader, "renew at %s: %s", address, renewed.Code)
}

// extend applies the news first: a lease is live only for a host that holds
// them.
func (c *Client) extend(session uint64, sent time.Time, renewed peer.RenewResponse) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.number != session {
		return nil
	}
	if len(renewed.Delta) > 0 {
		if err := c.apply(renewed.Delta); err != nil {
			return err
		}
	}
	c.idle = map[string]bool{}
	for _, service := range renewed.IdleServices {
		c.idle[service] = true
	}
	c.leaseEnd = sent.Add(Lease - Margin)
	return nil
}

func (c *Client) apply(data []byte) error {
	delta, err := registry.DecodeDelta(data)
	if err != nil {
		return errors.Wrap(err, "decode news")
	}
	view, err := delta.Apply(c.view)
	if err != nil {
		return errors.Wrapf(err, "apply news to revision %d", c.view.Revision)
	}
	if view.Revision > c.view.Revision {
		c.view = view
		c.notify()
	}
	return nil
}

// lose forgets a session that the state replicas have closed.
func (c *Client) lose(session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.number != session {
		return
	}
	c.number = 0
	c.leaseEnd = time.Time{}
	c.notify()
}

// report tells of a failure once, until another one or a success follows.
func (c *Client) report(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == c.reported {
		return
	}
	c.reported = text
	if err != nil && c.config.Trouble != nil {
		c.config.Trouble(err)
	}
}

// address returns the replica to ask; the lock is held.
func (c *Client) address() string {
	if c.leader != "" {
		return c.leader
	}
	return c.config.Replicas[c.next%len(c.config.Replicas)]
}

// turn goes on to the leader that a replica named, or to the next replica.
func (c *Client) turn(asked, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.address() != asked {
		return
	}
	c.leader = ""
	if leader != "" && leader != asked {
		c.leader = leader
		return
	}
	c.next++
}

func (c *Client) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.config.Clock.After(retryWait):
	}
}

// Leader returns the address of the state replica that the client now takes for
// the leader.
func (c *Client) Leader() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.address()
}
