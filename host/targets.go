package host

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
)

// targets passes what targets send on to the owners of their services. It
// implements web.Sink.
type targets struct {
	host *Host

	mu sync.Mutex
	// services are the services of the targets that announced themselves here.
	services map[string]string
	// idle are the engines that serve nothing.
	idle *idleTargets
}

func newTargets(h *Host) *targets {
	return &targets{host: h, services: map[string]string{}, idle: newIdleTargets()}
}

// Announce passes an announcement on, and a leave to the owner of the service
// that the target served before.
func (t *targets) HandleAnnouncement(ctx context.Context, a target.Announcement) error {
	before := t.note(a)
	t.idle.announce(a, t.host.Clock.Now())
	if before != "" && before != a.Service {
		leave := target.Leave{Name: a.Name, Stamp: a.Stamp, Service: before}
		if err := t.HandleLeave(ctx, leave); err != nil {
			t.host.log.Warnf("Target %s changes from %s to %s, but the former owner is not told: %v.", a.Name, before, a.Service, err)
		}
	}
	if a.Service == "" {
		return nil
	}
	_, err := t.pass(ctx, peer.TargetUpdate{Service: a.Service, Announcement: &a})
	return err
}

// note remembers the service of a target and returns the one before.
func (t *targets) note(a target.Announcement) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.services[a.Name]
	t.services[a.Name] = a.Service
	return before
}

// Load passes a load report on.
func (t *targets) HandleLoadReport(ctx context.Context, report target.LoadReport) (bool, error) {
	if report.Service == "" {
		return t.idle.heard(report.Name, report.Stamp, t.host.Clock.Now()), nil
	}
	return t.passKnown(ctx, peer.TargetUpdate{Service: report.Service, Load: &report})
}

// Cache passes a cache event on.
func (t *targets) HandleCacheEvent(ctx context.Context, event target.CacheEvent) (bool, error) {
	return t.passKnown(ctx, peer.TargetUpdate{Service: event.Service, Cache: &event})
}

// Leave passes a leave on.
func (t *targets) HandleLeave(ctx context.Context, leave target.Leave) error {
	if leave.Service == "" {
		return nil
	}
	_, err := t.pass(ctx, peer.TargetUpdate{Service: leave.Service, Leave: &leave})
	return err
}

// passKnown passes a message on; that of a target which serves nothing ends
// here.
func (t *targets) passKnown(ctx context.Context, news peer.TargetUpdate) (bool, error) {
	if news.Service == "" {
		return true, nil
	}
	return t.pass(ctx, news)
}

func (t *targets) pass(ctx context.Context, news peer.TargetUpdate) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.host.Clock, ownerTimeout)
	defer cancel()
	view := t.host.session.View()
	owner, ok := view.Owners[news.Service]
	if !ok {
		return false, errors.Wrap(errNoOwner, news.Service)
	}
	answer, err := t.host.entry.call(ctx, view, owner, news)
	if err != nil {
		return false, errors.Wrapf(err, "pass on to the owner of %s", news.Service)
	}
	known, ok := answer.(peer.TargetUpdateAck)
	return ok && known.Known, nil
}
