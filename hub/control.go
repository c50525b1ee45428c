package hub

import (
	"bytes"
	"context"
	"math"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

// operatorCallTimeout limits a commit or a read for an operator, whose client
// tries another hub after a second.
const operatorCallTimeout = 900 * time.Millisecond

// propagationTimeout limits the wait until hosts have a committed change.
// propagationPollInterval is the interval between two checks.
const (
	propagationTimeout      = 600 * time.Millisecond
	propagationPollInterval = 20 * time.Millisecond
)

const (
	// minSpreadTime is how long the acknowledgement of a small configuration waits for hosts
	// that poll and don't have it. Operators expect one within 4 s.
	minSpreadTime = 2 * time.Second
	// spreadRate is the size of a configuration, in bytes per second, for which the
	// acknowledgement waits longer.
	spreadRate = 100_000
)

// controlHandler serves the calls of targets and operators. It implements
// protocol.Control.
type controlHandler struct{ hub *Hub }

// Announce records a target's announcement. A hub without contact with a
// majority rejects it, so that the target announces itself at another hub.
func (c *controlHandler) Announce(ctx context.Context, entry roster.Entry) error {
	h := c.hub
	if !h.hasMajorityContact() {
		return errors.Wrap(protocol.ErrUnavailable, "no touch with a majority of the state replicas")
	}
	if !h.hasUse(&entry) {
		return errors.Wrapf(protocol.ErrUnavailable, "no configuration names service %.40q", entry.Service)
	}
	changed := h.roster.Merge(h.Clock.Now(), entry)
	if changed {
		h.logTargetChange(entry, h.Settings.Host)
	}
	h.gossip.recordAnnouncement(entry.Name, changed)
	return c.shareLeave(ctx, entry.Name)
}

// hasUse reports whether the service of an entry is in the fleet configuration, or the target
// is known. Others must not take the address of a target. Before the first configuration,
// every service may be named.
func (h *Hub) hasUse(entry *roster.Entry) bool {
	config := h.replica.Machine.View().Fleet
	if config == nil {
		return true
	}
	if _, named := config.Service(entry.Service); named {
		return true
	}
	known, found := h.roster.Get(entry.Name)
	return found && known.Service == entry.Service && known.Incarnation == entry.Incarnation
}

// shareLeave returns once the hubs know that the target is leaving or gone, if it is.
func (c *controlHandler) shareLeave(ctx context.Context, name string) error {
	entry, found := c.hub.roster.Get(name)
	if !found || entry.State == roster.Ready {
		return nil
	}
	if err := c.hub.gossip.shareLeave(ctx, entry); err != nil {
		c.hub.log.WithFields(map[string]any{"Target": name, "State": entry.State, "Error": err.Error()}).
			Warnf("Target %s is not told that its leave is known.", name)
		return errors.Wrap(protocol.ErrUnavailable, err.Error())
	}
	return nil
}

// Leave records that a target has left.
func (c *controlHandler) Leave(ctx context.Context, name string) error {
	h := c.hub
	if !h.hasMajorityContact() {
		return errors.Wrap(protocol.ErrUnavailable, "no touch with a majority of the state replicas")
	}
	entry, known := h.roster.MarkGone(h.Clock.Now(), name)
	if !known {
		return nil
	}
	h.logTargetChange(entry, h.Settings.Host)
	h.gossip.recordAnnouncement(name, true)
	return c.shareLeave(ctx, name)
}

// PutFleet commits a fleet configuration under the version. It returns ErrUnavailable for one
// that is committed while hosts of any hub still get it, for up to maxSpreadTime; the operator
// sends it again.
func (c *controlHandler) PutFleet(ctx context.Context, version uint64, config []byte) error {
	if c.isInForce(ctx, version, config) {
		return c.acknowledgeFleet(ctx, version, version, config)
	}
	result, err := c.commit(ctx, registry.NumberFleet{Version: version, Config: config})
	if err != nil {
		return err
	}
	c.hub.log.WithFields(map[string]any{
		"Version": version, "InForce": result.Version, "Code": result.Code, "Detail": result.Detail, "Bytes": len(config),
	}).Infof("Fleet configuration version %d was processed with result %s.", version, result.Code)
	switch err := result.Err(); {
	case errors.Is(err, registry.ErrInvalid), errors.Is(err, registry.ErrMalformed):
		return errors.Wrap(protocol.ErrInvalidConfig, err.Error())
	case errors.Is(err, registry.ErrConflict):
		return errors.Wrap(protocol.ErrVersionConflict, err.Error())
	case err != nil:
		return err
	}
	return c.acknowledgeFleet(ctx, result.Version, version, config)
}

// acknowledgeFleet returns once a committed configuration may be acknowledged. inForce is the
// version in force, which may be a later one. It returns ErrUnavailable as PutFleet does.
func (c *controlHandler) acknowledgeFleet(ctx context.Context, inForce, version uint64, config []byte) error {
	return c.hub.voters.completeChange(ctx, operatorVersions{Fleet: inForce}, func() error { return c.checkSpread(ctx, version, config) })
}

// isInForce reports whether the configuration is in force, so that it need not be committed
// once more. It is false if no majority confirms that.
func (c *controlHandler) isInForce(ctx context.Context, version uint64, config []byte) bool {
	view := c.hub.replica.Machine.View()
	if view.FleetVersion != version || !bytes.Equal(view.FleetConfig, config) {
		return false
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, operatorCallTimeout)
	defer cancel()
	return c.hub.hasAllVoters() && c.hub.barrier(ctx) == nil && c.hub.replica.Machine.View().FleetVersion == version
}

// checkSpread waits until the hosts have a committed configuration, and returns ErrUnavailable
// if they don't within propagationTimeout, unless it takes so long that a host may never do, and
// if this hub can't tell, since it doesn't have the configuration itself.
func (c *controlHandler) checkSpread(ctx context.Context, version uint64, config []byte) error {
	if c.awaitPropagation(ctx, operatorVersions{Fleet: version}) {
		return nil
	}
	latest, age := c.hub.fleetVersions.latestAge()
	switch {
	case latest < version:
		return errors.Wrapf(protocol.ErrUnavailable, "version %d is committed, but not yet on this host", version)
	case latest > version || age >= maxSpreadTime(len(config)):
		return nil
	}
	return errors.Wrapf(protocol.ErrUnavailable, "version %d is committed, but not yet in force on all hosts", version)
}

// maxSpreadTime returns how long the acknowledgement of a configuration waits for hosts: the
// time that it takes them all to get a large one, and less than operators wait.
func maxSpreadTime(configBytes int) time.Duration {
	return minSpreadTime + time.Duration(float64(configBytes)/spreadRate*float64(time.Second))
}

// Fleet returns the latest fleet configuration once a majority has confirmed
// that it is the latest.
func (c *controlHandler) Fleet(ctx context.Context) (uint64, []byte, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, operatorCallTimeout)
	defer cancel()
	if err := c.hub.barrier(ctx); err != nil {
		return 0, nil, errors.Wrap(protocol.ErrUnavailable, err.Error())
	}
	view := c.hub.replica.Machine.View()
	return view.FleetVersion, view.FleetConfig, nil
}

// commit proposes a command. No command is acknowledged before the cluster has
// all its voters, since a smaller cluster could lose it.
func (c *controlHandler) commit(ctx context.Context, command registry.Command) (registry.Result, error) {
	if !c.hub.hasAllVoters() {
		return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, "the cluster has too few voters yet")
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, operatorCallTimeout)
	defer cancel()
	result, err := c.hub.proposer.Propose(ctx, command)
	if err != nil {
		return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, err.Error())
	}
	return result, nil
}

// awaitPropagation waits until the hosts that watch any hub have a committed change, and
// reports whether they do. An acknowledged change is thus soon in force, even if it takes a
// while to send it to all of them. A slow or lost host delays the call by at most
// propagationTimeout, and never beyond ctx.
func (c *controlHandler) awaitPropagation(ctx context.Context, change operatorVersions) bool {
	h := c.hub
	waitCtx, cancel := clockwork.WithTimeout(ctx, h.Clock, propagationTimeout)
	defer cancel()
	ticker := h.Clock.NewTicker(propagationPollInterval)
	defer ticker.Stop()
	for revision := h.revisionWith(change); h.watchers.anyBehind(revision); {
		select {
		case <-waitCtx.Done():
			return false
		case <-ticker.Chan():
		}
		if revision == unknownRevision {
			revision = h.revisionWith(change)
		}
	}
	return true
}

// unknownRevision is a revision that no host has.
const unknownRevision = math.MaxUint64

// revisionWith returns a revision of the state view that has a change; unknownRevision if this
// replica has not applied the change yet, although others have committed it.
func (h *Hub) revisionWith(change operatorVersions) uint64 {
	if !h.durableVersions().holds(change) {
		return unknownRevision
	}
	return h.replica.Machine.View().Revision
}

// hasAllVoters reports whether the cluster has the desired number of voters.
func (h *Hub) hasAllVoters() bool {
	voters := 0
	for _, member := range h.replica.Quorum.Status().Members {
		if member.Voter {
			voters++
		}
	}
	return voters >= h.desiredVoters()
}
