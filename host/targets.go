package host

import (
	"context"
	"sync"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/peer"
	"comfreytiller.dev/target"
)

// errUnknownTarget asks a target to announce itself: this host does not know
// which service it serves.
var errUnknownTarget = errors.New("target has not announced itself here")

// targets passes what targets send on to the owners of their services. It
// implements web.Sink.
type targets struct {
	host *Host

	mu sync.Mutex
	// services are the services of the targets that announced themselves here.
	services map[string]string
}

func newTargets(h *Host) *targets {
	return &targets{host: h, services: map[string]string{}}
}

// Announce passes an announcement on.
func (t *targets) Announce(ctx context.Context, a target.Announcement) error {
	if a.Service == "" {
		return nil
	}
	_, err := t.pass(ctx, peer.TargetNews{Service: a.Service, Announcement: &a})
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services[a.Name] = a.Service
	return nil
}

// Load passes a load report on.
func (t *targets) Load(ctx context.Context, report target.LoadReport) (bool, error) {
	service, ok := t.service(report.Name)
	if !ok {
		return false, nil
	}
	return t.pass(ctx, peer.TargetNews{Service: service, Load: &report})
}

// Cache passes a cache event on.
func (t *targets) Cache(ctx context.Context, event target.CacheEvent) (bool, error) {
	service, ok := t.service(event.Name)
	if !ok {
		return false, nil
	}
	return t.pass(ctx, peer.TargetNews{Service: service, Cache: &event})
}

// Leave passes a leave on. The target tries again where its service is not
// known here.
func (t *targets) Leave(ctx context.Context, leave target.Leave) error {
	service, ok := t.service(leave.Name)
	if !ok {
		return errors.Wrapf(errUnknownTarget, "leave of %s", leave.Name)
	}
	_, err := t.pass(ctx, peer.TargetNews{Service: service, Leave: &leave})
	return err
}

func (t *targets) service(name string) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	service, ok := t.services[name]
	return service, ok
}

func (t *targets) pass(ctx context.Context, news peer.TargetNews) (bool, error) {
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
	known, ok := answer.(peer.TargetKnown)
	return ok && known.Known, nil
}
