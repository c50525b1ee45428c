package host

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/common/logs"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/session"
	"comfreytiller.dev/target/notice"
)

const (
	// releaseInterval is the time over which releases are batched.
	releaseInterval = 50 * time.Millisecond
	// acquireRetryInterval is the pause before a permit is requested again.
	acquireRetryInterval = 50 * time.Millisecond
	// ownerTimeout bounds a call that does not wait in the owner's queue.
	ownerTimeout = 2 * time.Second
)

// permitClient acquires permits from the owners of services and releases them.
// It implements gateway.Admitter.
type permitClient struct {
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	session *session.Client

	mu sync.Mutex
	// inUse holds the permits in use, by request ID.
	inUse map[string]admission.Permit
	// pendingReleases holds the permits to release, by service.
	pendingReleases map[string][]pendingRelease
	// reportedTo records, by service, which owner has received the permits of
	// which session.
	reportedTo map[string]permitReport
	// reportCalls and releaseCalls are the services with such a call in flight.
	reportCalls  map[string]bool
	releaseCalls map[string]bool
	wake         chan struct{}

	cacheTransferer *cacheTransferer
	notices         *notice.Board
}

// pendingRelease is a release that has not been sent to the owner yet.
type pendingRelease struct {
	release admission.Release
	// fencingToken limits the release to the owner with this fencing token; 0
	// applies to any owner. The release of a failed acquisition only concerns
	// the owner that the request was sent to, since later owners never received
	// it.
	fencingToken uint64
}

// permitReport identifies an owner by its fencing token and the session that
// reported its permits to it.
type permitReport struct {
	fencingToken uint64
	session      uint64
}

func newPermitClient(h *Host) *permitClient {
	return &permitClient{
		host:            h,
		log:             logs.ForComponent(h.Log, "Entry"),
		clock:           h.Clock,
		session:         h.session,
		inUse:           map[string]admission.Permit{},
		pendingReleases: map[string][]pendingRelease{},
		reportedTo:      map[string]permitReport{},
		reportCalls:     map[string]bool{},
		releaseCalls:    map[string]bool{},
		wake:            make(chan struct{}, 1),
		cacheTransferer: newCacheTransferer(h),
		notices:         notice.NewBoard(),
	}
}

// Acquire requests a permit from the owner of the service until ctx ends or the
// deadline passes.
func (c *permitClient) Acquire(ctx context.Context, request admission.Request) (admission.Permit, error) {
	ctx, cancel := clockwork.WithDeadline(ctx, c.clock, request.Deadline)
	defer cancel()
	attempt := request
	attempt.Exclude = append(slices.Clone(request.Exclude), c.notices.Blocked(c.clock.Now())...)
	for try := 1; ; try++ {
		permit, err := c.acquireWithLease(ctx, attempt)
		if err == nil {
			permit.Warm = c.cacheTransferer.transfer(ctx, permit) || permit.Warm
			return permit, nil
		}
		var refusal *admission.Refusal
		if errors.As(err, &refusal) && refusal.Code != admission.RefusedNotOwner {
			return admission.Permit{}, refusal
		}
		if ctx.Err() != nil {
			return admission.Permit{}, c.deadlineRefusal(request, err)
		}
		c.log.Debugf("Retrying request %s to service %s: %v.", request.ID, request.Service, err)
		c.waitBeforeRetry(ctx)
		// The release of the failed acquisition may still be pending and must
		// not apply to the next one, so each retry has its own ID.
		attempt.ID = request.ID + "~" + strconv.Itoa(try)
	}
}

// acquireWithLease requests a permit if this host's lease is valid, and releases
// it if the lease has expired in the meantime. Without a valid lease the permit
// could not be used.
func (c *permitClient) acquireWithLease(ctx context.Context, request admission.Request) (admission.Permit, error) {
	if err := c.session.Check(); err != nil {
		return admission.Permit{}, err
	}
	permit, err := c.acquireOnce(ctx, request)
	if err != nil {
		return admission.Permit{}, err
	}
	if err := c.session.Check(); err != nil {
		c.Release(admission.Release{
			RequestID: permit.RequestID,
			Service:   permit.Service,
			Target:    permit.Target,
			Outcome:   admission.OutcomeUnsent,
		})
		return admission.Permit{}, err
	}
	return permit, nil
}

func (c *permitClient) deadlineRefusal(request admission.Request, err error) error {
	return &admission.Refusal{
		RequestID:  request.ID,
		Code:       admission.RefusedDeadline,
		Message:    "no owner of " + request.Service + " answered in time: " + err.Error(),
		RetryAfter: session.LeaseDuration,
	}
}

func (c *permitClient) waitBeforeRetry(ctx context.Context) {
	_, changed := c.session.Watch()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-c.clock.After(acquireRetryInterval):
	}
}

// errNoOwner reports a service without an owner in this host's view.
var errNoOwner = errors.New("the service has no owner now")

// acquireOnce requests a permit from the current owner. It fails when the view
// has a new owner.
func (c *permitClient) acquireOnce(ctx context.Context, request admission.Request) (admission.Permit, error) {
	view, _ := c.session.Watch()
	owner, ok := view.Owners[request.Service]
	if !ok {
		return admission.Permit{}, errors.Wrap(errNoOwner, request.Service)
	}
	sessionNumber := c.session.Number()
	request.Host = permitHolder(c.host.Settings.Host, sessionNumber)
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go c.cancelOnOwnerChange(callCtx, cancel, request.Service, owner.FencingToken)
	reply, err := c.call(callCtx, view, owner, peer.AcquireRequest{Request: request, FencingToken: owner.FencingToken})
	if err != nil {
		c.cancelRequest(request, owner)
		return admission.Permit{}, err
	}
	switch m := reply.(type) {
	case peer.Refusal:
		return admission.Permit{}, &m.Refusal
	case peer.Permit:
		permit := m.Permit
		permit.RequestID, permit.Host = request.ID, request.Host
		permit.Service, permit.Workspace, permit.Chat = request.Service, request.Workspace, request.Chat
		return c.accept(permit, owner, sessionNumber)
	}
	return admission.Permit{}, errors.Errorf("answer of type %T from the owner of %s", reply, request.Service)
}

// cancelOnOwnerChange cancels a request when the owner of the service changes.
func (c *permitClient) cancelOnOwnerChange(ctx context.Context, cancel context.CancelFunc, service string, fencingToken uint64) {
	for {
		view, changed := c.session.Watch()
		if view.Owners[service].FencingToken != fencingToken {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// accept records a permit. It fails if the owner or this session has been
// replaced in the meantime, because the permit is missing from the permits
// reported to the new owner.
func (c *permitClient) accept(permit admission.Permit, owner registry.Owner, sessionNumber uint64) (admission.Permit, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session.View().Owners[permit.Service].FencingToken != owner.FencingToken || c.session.Number() != sessionNumber {
		return admission.Permit{}, errors.Wrapf(errNoOwner, "permit of a former owner of %s", permit.Service)
	}
	c.inUse[permit.RequestID] = permit
	return permit, nil
}

// cancelRequest releases a permit whose response was lost or is no longer
// needed, so that the owner does not count it.
func (c *permitClient) cancelRequest(request admission.Request, owner registry.Owner) {
	c.queueRelease(pendingRelease{
		fencingToken: owner.FencingToken,
		release: admission.Release{
			RequestID: request.ID,
			Service:   request.Service,
			Outcome:   admission.OutcomeUnsent,
		},
	})
}

// Release releases a permit with the next batch.
func (c *permitClient) Release(release admission.Release) {
	c.mu.Lock()
	delete(c.inUse, release.RequestID)
	c.mu.Unlock()
	c.queueRelease(pendingRelease{release: release})
}

func (c *permitClient) queueRelease(pending pendingRelease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	service := pending.release.Service
	c.pendingReleases[service] = append(c.pendingReleases[service], pending)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// call sends a message to the owner, which may be this host.
func (c *permitClient) call(ctx context.Context, view *registry.View, owner registry.Owner, message peer.Message) (peer.Message, error) {
	if owner.Session == c.session.Number() {
		return c.callLocal(ctx, message)
	}
	host, ok := view.Hosts[owner.Host]
	if !ok || host.Session != owner.Session {
		return nil, errors.Wrapf(errNoOwner, "host %s has no open session", owner.Host)
	}
	return c.host.node.Call(ctx, host.PeerAddress, message)
}

func (c *permitClient) callLocal(ctx context.Context, message peer.Message) (peer.Message, error) {
	reply := make(chan peer.Message, 1)
	c.host.receive(c.host.Settings.Host, message, func(m peer.Message) { reply <- m })
	select {
	case m := <-reply:
		if failure, failed := m.(peer.Failure); failed {
			return nil, errors.Wrap(peer.ErrRemoteFailure, failure.Message)
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run reports permits to new owners and sends releases. Services are handled
// concurrently, so that an unreachable owner does not delay the others.
func (c *permitClient) run(ctx context.Context) {
	for {
		_, changed := c.session.Watch()
		c.reportPermits(ctx)
		c.sendPendingReleases(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-c.wake:
			c.waitForBatch(ctx)
		case <-c.clock.After(ownerTimeout):
		}
	}
}

// tryBeginCall marks a call for a service as in flight. It returns false if one
// already is.
func (c *permitClient) tryBeginCall(calls map[string]bool, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if calls[service] {
		return false
	}
	calls[service] = true
	return true
}

func (c *permitClient) endCall(calls map[string]bool, service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(calls, service)
}

func (c *permitClient) waitForBatch(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.clock.After(releaseInterval):
	}
}
