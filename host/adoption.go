package host

import (
	"context"
	"maps"
	"slices"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/peer"
	"comfreytiller.dev/registry"
)

// tellOwners sends each new owner the permits that this host holds for its
// service. An owner grants nothing before every live host has told it.
func (e *entry) tellOwners(ctx context.Context) {
	view := e.session.View()
	number := e.session.Number()
	if number == 0 {
		return
	}
	for service, owner := range view.Owners {
		if e.knows(service, owner, number) || !e.begin(e.telling, service) {
			continue
		}
		go func() {
			defer e.end(e.telling, service)
			e.tell(ctx, view, service, owner, number)
		}()
	}
}

func (e *entry) knows(service string, owner registry.Owner, number uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.told[service] == adoption{fence: owner.Fence, session: number}
}

func (e *entry) tell(ctx context.Context, view *registry.View, service string, owner registry.Owner, number uint64) {
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, ownerTimeout)
	defer cancel()
	message := peer.AdoptPermits{
		Host:    e.host.Settings.Host,
		Session: number,
		Service: service,
		Fence:   owner.Fence,
		Permits: e.holds(service, number),
	}
	if _, err := e.call(ctx, view, owner, message); err != nil {
		e.log.Debugf("Owner %s of %s is not told yet: %v.", owner.Host, service, err)
		e.nudge()
		return
	}
	e.mu.Lock()
	e.told[service] = adoption{fence: owner.Fence, session: number}
	e.mu.Unlock()
	e.nudge()
}

// nudge makes run look again soon.
func (e *entry) nudge() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// holds returns the permits in use for a service, under the present session.
func (e *entry) holds(service string, number uint64) []admission.Permit {
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []admission.Permit
	for id, permit := range e.live {
		if permit.Service != service {
			continue
		}
		permit.Host = holder(e.host.Settings.Host, number)
		e.live[id] = permit
		held = append(held, permit)
	}
	return held
}

// flush sends the gathered releases. Those for an owner that does not yet know
// this host's permits wait: it would ignore them and then adopt the permits.
func (e *entry) flush(ctx context.Context) {
	view := e.session.View()
	for _, service := range e.releasing() {
		owner, ok := view.Owners[service]
		if !ok || !e.knows(service, owner, e.session.Number()) || !e.begin(e.sending, service) {
			continue
		}
		go func() {
			defer e.end(e.sending, service)
			e.sendReleases(ctx, view, service, owner)
		}()
	}
}

// flushAll sends the releases until none is left or ctx ends.
func (e *entry) flushAll(ctx context.Context) {
	for len(e.releasing()) > 0 && ctx.Err() == nil {
		e.flush(ctx)
		e.gather(ctx)
	}
}

func (e *entry) releasing() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.releases))
}

func (e *entry) sendReleases(ctx context.Context, view *registry.View, service string, owner registry.Owner) {
	e.mu.Lock()
	batch := e.releases[service]
	delete(e.releases, service)
	e.mu.Unlock()
	message := peer.Releases{Service: service, Releases: releasesFor(owner.Fence, batch)}
	if len(message.Releases) == 0 {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, e.clock, ownerTimeout)
	defer cancel()
	if _, err := e.call(ctx, view, owner, message); err != nil {
		e.keepReleases(service, batch, err)
	}
}

// releasesFor returns the releases that concern an owner's grant.
func releasesFor(fence uint64, batch []pendingRelease) []admission.Release {
	var releases []admission.Release
	for _, pending := range batch {
		if pending.fence == 0 || pending.fence == fence {
			releases = append(releases, pending.release)
		}
	}
	return releases
}

// keepReleases puts back what was not taken; a release may arrive twice.
func (e *entry) keepReleases(service string, batch []pendingRelease, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releases[service] = append(batch, e.releases[service]...)
	if !errors.Is(err, context.Canceled) {
		e.nudge()
	}
}
