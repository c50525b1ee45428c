package host

import (
	"context"
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
)

const (
	// releaseInterval is how long releases are gathered before they leave.
	releaseInterval = 50 * time.Millisecond
	// askAgain is the pause before an owner is asked again.
	askAgain = 50 * time.Millisecond
	// ownerTimeout bounds a call to an owner that waits for nothing.
	ownerTimeout = 2 * time.Second
)

// entry gets permits from the owners for the gateway and gives them back. It
// implements gateway.Admitter.
type entry struct {
	host    *Host
	log     *logrus.Logger
	clock   clockwork.Clock
	session *session.Client

	mu sync.Mutex
	// live are the permits in use, by request ID.
	live map[string]admission.Permit
	// releases are the permits to give back, by service.
	releases map[string][]pendingRelease
	// told are the owners that know this session's permits, by service.
	told map[string]adoption
	// telling and sending are the services with such a call under way.
	telling map[string]bool
	sending map[string]bool
	wake    chan struct{}

	caches *cacheMover
}

// pendingRelease is a release on its way to an owner.
type pendingRelease struct {
	release admission.Release
	// fence is the only grant that the release concerns; 0 for any. A question
	// that failed concerns the owner that was asked: later ones never heard it.
	fence uint64
}

// adoption names an owner's grant and the session that has told it its
// permits.
type adoption struct {
	fence   uint64
	session uint64
}

func newEntry(h *Host) *entry {
	return &entry{
		host:     h,
		log:      logs.Part(h.Log, "Entry"),
		clock:    h.Clock,
		session:  h.session,
		live:     map[string]admission.Permit{},
		releases: map[string][]pendingRelease{},
		told:     map[string]adoption{},
		telling:  map[string]bool{},
		sending:  map[string]bool{},
		wake:     make(chan struct{}, 1),
		caches:   newCacheMover(h),
	}
}

// Acquire asks the owner of the service for a permit until ctx ends or the
// deadline passes.
func (e *entry) Acquire(ctx context.Context, request admission.Request) (admission.Permit, error) {
	ctx, cancel := clockwork.WithDeadline(ctx, e.clock, request.Deadline)
	defer cancel()
	asked := request
	for try := 1; ; try++ {
		permit, err := e.askWithAuthority(ctx, asked)
		if err == nil {
			permit.Warm = e.caches.move(ctx, permit) || permit.Warm
			return permit, nil
		}
		var refusal *admission.Refusal
		if errors.As(err, &refusal) && refusal.Code != admission.RefusedNotOwner {
			return admission.Permit{}, refusal
		}
		if ctx.Err() != nil {
			return admission.Permit{}, e.gaveUp(request, err)
		}
		e.log.Debugf("Asks again for %s of %s: %v.", request.ID, request.Service, err)
		e.pause(ctx)
		// The question that failed may still be withdrawn at the owner, which
		// must not touch the next one.
		asked.ID = request.ID + "~" + strconv.Itoa(try)
	}
}

// askWithAuthority asks while this host's lease is live: a permit would be of
// no use without it.
func (e *entry) askWithAuthority(ctx context.Context, request admission.Request) (admission.Permit, error) {
	if err := e.session.Check(); err != nil {
		return admission.Permit{}, err
	}
	permit, err := e.ask(ctx, request)
	if err != nil {
		return admission.Permit{}, err
	}
	if err := e.session.Check(); err != nil {
		e.Release(admission.Release{
			RequestID: permit.RequestID,
			Service:   permit.Service,
			Target:    permit.Target,
			Outcome:   admission.OutcomeUnsent,
		})
		return admission.Permit{}, err
	}
	return permit, nil
}

func (e *entry) gaveUp(request admission.Request, err error) error {
	return &admission.Refusal{
		RequestID:  request.ID,
		Code:       admission.RefusedDeadline,
		Message:    "no owner of " + request.Service + " answered in time: " + err.Error(),
		RetryAfter: session.Lease,
	}
}

func (e *entry) pause(ctx context.Context) {
	_, changed := e.session.Watch()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-e.clock.After(askAgain):
	}
}

// errNoOwner reports a service without an owner in this host's view.
var errNoOwner = errors.New("the service has no owner now")

// ask asks the present owner once, until the view shows another.
func (e *entry) ask(ctx context.Context, request admission.Request) (admission.Permit, error) {
	view, _ := e.session.Watch()
	owner, ok := view.Owners[request.Service]
	if !ok {
		return admission.Permit{}, errors.Wrap(errNoOwner, request.Service)
	}
	number := e.session.Number()
	request.Host = holder(e.host.Settings.Host, number)
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	go e.cancelWhenMoved(asking, cancel, request.Service, owner.Fence)
	answer, err := e.call(asking, view, owner, peer.AcquireRequest{Request: request, Fence: owner.Fence})
	if err != nil {
		e.giveUp(request, owner)
		return admission.Permit{}, err
	}
	switch m := answer.(type) {
	case peer.Refusal:
		return admission.Permit{}, &m.Refusal
	case peer.Permit:
		permit := m.Permit
		permit.RequestID, permit.Host = request.ID, request.Host
		permit.Service, permit.Workspace, permit.Chat = request.Service, request.Workspace, request.Chat
		return e.accept(permit, owner, number)
	}
	return admission.Permit{}, errors.Errorf("answer of type %T from the owner of %s", answer, request.Service)
}

// cancelWhenMoved ends a question whose owner has been replaced.
func (e *entry) cancelWhenMoved(ctx context.Context, cancel context.CancelFunc, service string, fence uint64) {
	for {
		view, changed := e.session.Watch()
		if view.Owners[service].Fence != fence {
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

// accept takes a permit unless its owner or this session has been replaced
// meanwhile: the next owner has already counted this host's permits without it.
func (e *entry) accept(permit admission.Permit, owner registry.Owner, number uint64) (admission.Permit, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.session.View().Owners[permit.Service].Fence != owner.Fence || e.session.Number() != number {
		return admission.Permit{}, errors.Wrapf(errNoOwner, "permit of a former owner of %s", permit.Service)
	}
	e.live[permit.RequestID] = permit
	return permit, nil
}

// giveUp makes sure that the owner does not count a permit whose answer was
// lost or is no longer wanted.
func (e *entry) giveUp(request admission.Request, owner registry.Owner) {
	e.queueRelease(pendingRelease{
		fence: owner.Fence,
		release: admission.Release{
			RequestID: request.ID,
			Service:   request.Service,
			Outcome:   admission.OutcomeUnsent,
		},
	})
}

// Release gives a permit back with the next batch.
func (e *entry) Release(release admission.Release) {
	e.mu.Lock()
	delete(e.live, release.RequestID)
	e.mu.Unlock()
	e.queueRelease(pendingRelease{release: release})
}

func (e *entry) queueRelease(pending pendingRelease) {
	e.mu.Lock()
	defer e.mu.Unlock()
	service := pending.release.Service
	e.releases[service] = append(e.releases[service], pending)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// call asks the owner, which may be this host.
func (e *entry) call(ctx context.Context, view *registry.View, owner registry.Owner, message peer.Message) (peer.Message, error) {
	if owner.Session == e.session.Number() {
		return e.callSelf(ctx, message)
	}
	host, ok := view.Hosts[owner.Host]
	if !ok || host.Session != owner.Session {
		return nil, errors.Wrapf(errNoOwner, "host %s has no open session", owner.Host)
	}
	return e.host.node.Call(ctx, host.PeerAddress, message)
}

func (e *entry) callSelf(ctx context.Context, message peer.Message) (peer.Message, error) {
	answer := make(chan peer.Message, 1)
	e.host.receive(e.host.Settings.Host, message, func(m peer.Message) { answer <- m })
	select {
	case m := <-answer:
		if failure, failed := m.(peer.Failure); failed {
			return nil, errors.Wrap(peer.ErrRemoteFailure, failure.Message)
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// run tells new owners this host's permits and sends the releases. Each service
// goes its own way, so that a lost owner holds up no other.
func (e *entry) run(ctx context.Context) {
	for {
		_, changed := e.session.Watch()
		e.tellOwners(ctx)
		e.flush(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-e.wake:
			e.gather(ctx)
		case <-e.clock.After(ownerTimeout):
		}
	}
}

// begin claims a kind of work for a service; false while it is under way.
func (e *entry) begin(work map[string]bool, service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if work[service] {
		return false
	}
	work[service] = true
	return true
}

func (e *entry) end(work map[string]bool, service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(work, service)
}

func (e *entry) gather(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-e.clock.After(releaseInterval):
	}
}
