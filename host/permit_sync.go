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

// reportPermits sends each new owner the permits that this host holds for its
// service. An owner grants no permits before every live session has reported.
func (c *permitClient) reportPermits(ctx context.Context) {
	view := c.session.View()
	sessionNumber := c.session.Number()
	if sessionNumber == 0 {
		return
	}
	for service, owner := range view.Owners {
		if c.ownerHasPermits(service, owner, sessionNumber) || !c.tryBeginCall(c.reportCalls, service) {
			continue
		}
		go func() {
			defer c.endCall(c.reportCalls, service)
			c.reportPermitsTo(ctx, view, service, owner, sessionNumber)
		}()
	}
}

func (c *permitClient) ownerHasPermits(service string, owner registry.Owner, sessionNumber uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reportedTo[service] == permitReport{fence: owner.Fence, session: sessionNumber}
}

func (c *permitClient) reportPermitsTo(ctx context.Context, view *registry.View, service string, owner registry.Owner, sessionNumber uint64) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, ownerTimeout)
	defer cancel()
	message := peer.AdoptPermits{
		Host:    c.host.Settings.Host,
		Session: sessionNumber,
		Service: service,
		Fence:   owner.Fence,
		Permits: c.permitsInUse(service, sessionNumber),
	}
	if _, err := c.call(ctx, view, owner, message); err != nil {
		c.log.Debugf("Owner %s of service %s has not received the permits of this host yet: %v.", owner.Host, service, err)
		c.wakeUp()
		return
	}
	c.mu.Lock()
	c.reportedTo[service] = permitReport{fence: owner.Fence, session: sessionNumber}
	c.mu.Unlock()
	c.wakeUp()
}

// wakeUp triggers the next iteration of run.
func (c *permitClient) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// permitsInUse returns the permits in use for a service, reassigned to the
// current session.
func (c *permitClient) permitsInUse(service string, sessionNumber uint64) []admission.Permit {
	c.mu.Lock()
	defer c.mu.Unlock()
	var permits []admission.Permit
	for id, permit := range c.inUse {
		if permit.Service != service {
			continue
		}
		permit.Host = permitHolder(c.host.Settings.Host, sessionNumber)
		c.inUse[id] = permit
		permits = append(permits, permit)
	}
	return permits
}

// sendPendingReleases sends the batched releases. A release waits until the
// owner has received this host's permits. Otherwise the owner would ignore the
// release and then adopt the permit.
func (c *permitClient) sendPendingReleases(ctx context.Context) {
	view := c.session.View()
	for _, service := range c.servicesWithReleases() {
		owner, ok := view.Owners[service]
		if !ok || !c.ownerHasPermits(service, owner, c.session.Number()) || !c.tryBeginCall(c.releaseCalls, service) {
			continue
		}
		go func() {
			defer c.endCall(c.releaseCalls, service)
			c.sendReleaseBatch(ctx, view, service, owner)
		}()
	}
}

// drainReleases sends releases until none is pending or ctx ends.
func (c *permitClient) drainReleases(ctx context.Context) {
	for len(c.servicesWithReleases()) > 0 && ctx.Err() == nil {
		c.sendPendingReleases(ctx)
		c.waitForBatch(ctx)
	}
}

func (c *permitClient) servicesWithReleases() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.pendingReleases))
}

func (c *permitClient) sendReleaseBatch(ctx context.Context, view *registry.View, service string, owner registry.Owner) {
	c.mu.Lock()
	batch := c.pendingReleases[service]
	delete(c.pendingReleases, service)
	c.mu.Unlock()
	message := peer.Releases{Service: service, Releases: releasesFor(owner.Fence, batch)}
	if len(message.Releases) == 0 {
		return
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.clock, ownerTimeout)
	defer cancel()
	if _, err := c.call(ctx, view, owner, message); err != nil {
		c.requeueReleases(service, batch, err)
	}
}

// releasesFor returns the releases that apply to the owner with the given
// fencing token.
func releasesFor(fence uint64, batch []pendingRelease) []admission.Release {
	var releases []admission.Release
	for _, pending := range batch {
		if pending.fence == 0 || pending.fence == fence {
			releases = append(releases, pending.release)
		}
	}
	return releases
}

// requeueReleases queues a failed batch again. Owners tolerate duplicate
// releases.
func (c *permitClient) requeueReleases(service string, batch []pendingRelease, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pendingReleases[service] = append(batch, c.pendingReleases[service]...)
	if !errors.Is(err, context.Canceled) {
		c.wakeUp()
	}
}
