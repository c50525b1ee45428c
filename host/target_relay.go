package host

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
)

// targetRelay forwards the messages of targets to the owners of their services.
// It implements web.Sink.
type targetRelay struct {
	host *Host

	mu sync.Mutex
	// serviceByTarget holds the last announced service of each target.
	serviceByTarget map[string]string
	// unassigned tracks the engines without a service.
	unassigned *unassignedTargets
}

func newTargetRelay(h *Host) *targetRelay {
	return &targetRelay{host: h, serviceByTarget: map[string]string{}, unassigned: newUnassignedTargets()}
}

// HandleAnnouncement forwards an announcement. If the target has changed its service, the
// owner of the previous service receives a leave message.
func (t *targetRelay) HandleAnnouncement(ctx context.Context, a target.Announcement) error {
	previous := t.recordService(a)
	t.unassigned.handleAnnouncement(a, t.host.Clock.Now())
	if previous != "" && previous != a.Service {
		leave := target.Leave{Name: a.Name, Stamp: a.Stamp, Service: previous}
		if err := t.HandleLeave(ctx, leave); err != nil {
			t.host.log.Warnf("Target %s changed from service %s to %q, but the owner of the previous service could not be notified: %v.", a.Name, previous, a.Service, err)
		}
	}
	if a.Service == "" {
		return nil
	}
	_, err := t.forward(ctx, peer.TargetUpdate{Service: a.Service, Announcement: &a})
	return err
}

// recordService stores the service of a target and returns the previous one.
func (t *targetRelay) recordService(a target.Announcement) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.serviceByTarget[a.Name]
	t.serviceByTarget[a.Name] = a.Service
	return previous
}

// HandleLoadReport forwards a load report.
func (t *targetRelay) HandleLoadReport(ctx context.Context, report target.LoadReport) (bool, error) {
	if report.Service == "" {
		return t.unassigned.handleHeartbeat(report.Name, report.Stamp, t.host.Clock.Now()), nil
	}
	return t.forwardReport(ctx, peer.TargetUpdate{Service: report.Service, Load: &report})
}

// HandleCacheEvent forwards a cache event.
func (t *targetRelay) HandleCacheEvent(ctx context.Context, event target.CacheEvent) (bool, error) {
	return t.forwardReport(ctx, peer.TargetUpdate{Service: event.Service, Cache: &event})
}

// HandleLeave forwards a leave message.
func (t *targetRelay) HandleLeave(ctx context.Context, leave target.Leave) error {
	if leave.Service == "" {
		return nil
	}
	_, err := t.forward(ctx, peer.TargetUpdate{Service: leave.Service, Leave: &leave})
	return err
}

// forwardReport forwards a message unless the target has no service.
func (t *targetRelay) forwardReport(ctx context.Context, report peer.TargetUpdate) (bool, error) {
	if report.Service == "" {
		return true, nil
	}
	return t.forward(ctx, report)
}

func (t *targetRelay) forward(ctx context.Context, report peer.TargetUpdate) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, t.host.Clock, ownerTimeout)
	defer cancel()
	view := t.host.session.View()
	owner, ok := view.Owners[report.Service]
	if !ok {
		return false, errors.Wrap(errNoOwner, report.Service)
	}
	reply, err := t.host.permitClient.call(ctx, view, owner, report)
	if err != nil {
		return false, errors.Wrapf(err, "pass on to the owner of %s", report.Service)
	}
	known, ok := reply.(peer.TargetUpdateAck)
	return ok && known.Known, nil
}
