package hub

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/registry"
	"comfreytiller.dev/target/roster"
)

// newControl returns the handler of the calls of targets and operators. It takes orders of
// rollouts only if the settings allow them.
func (h *Hub) newControl() protocol.Control {
	control := &controlHandler{hub: h}
	if h.Settings.Rollouts == nil {
		return control
	}
	return &rolloutHandler{controlHandler: control}
}

// rolloutHandler serves the calls of operators for rollouts beside the other calls. It
// implements protocol.RolloutControl.
type rolloutHandler struct{ *controlHandler }

// StartRollout commits the order of a rollout. It waits as SetOutage does.
func (c *rolloutHandler) StartRollout(ctx context.Context, caller protocol.Caller, service, version string, duration time.Duration) error {
	result, err := c.commitRollout(ctx, caller, service, version, duration)
	if err != nil {
		return err
	}
	fields := logrus.Fields{"Service": service, "Version": version, "Duration": duration, "Number": result.Version, "Code": result.Code, "Detail": result.Detail}
	c.hub.log.WithFields(fields).Infof("Order of a rollout of service %.128q to version %.256q was processed with result %s.", service, version, result.Code)
	switch err = result.Err(); {
	case errors.Is(err, registry.ErrMalformed), errors.Is(err, registry.ErrUnknown):
		return errors.Wrap(protocol.ErrInvalidRollout, err.Error())
	case errors.Is(err, registry.ErrRefused):
		return errors.Wrap(protocol.ErrRolloutConflict, err.Error())
	case err != nil:
		return errors.Wrap(protocol.ErrUnavailable, err.Error())
	}
	if !c.hub.hasReadyTarget(service, version) {
		c.hub.log.WithFields(fields).Warnf("No target of service %q has version %q yet.", service, version)
	}
	return c.hub.voters.completeChange(ctx, operatorVersions{Rollout: result.Version}, func() error {
		c.awaitPropagation(ctx, operatorVersions{Rollout: result.Version})
		return nil
	})
}

// commitRollout commits an order on the last rollout of the service, and again if another
// order came before it. A call that its caller gave up has no effect, since the operator may
// have ordered something else meanwhile.
func (c *rolloutHandler) commitRollout(ctx context.Context, caller protocol.Caller, service, version string, duration time.Duration) (registry.Result, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, operatorCallTimeout)
	defer cancel()
	for {
		if err := c.hub.barrier(ctx); err != nil {
			return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, err.Error())
		}
		last := c.hub.replica.Machine.View().Rollouts[service]
		if !caller.IsWaiting() {
			c.hub.log.WithFields(logrus.Fields{"Service": service, "Version": version}).
				Warnf("Order of a rollout of service %.128q is dropped: its caller has left.", service)
			return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, "the caller has left")
		}
		result, err := c.commit(ctx, registry.StartRollout{
			Service: service, Version: version, Duration: duration, Share: c.hub.rollouts.bounds.InitialShare(), BaseNumber: last.Number,
		})
		if err != nil || result.Code != registry.CodeConflict {
			return result, err
		}
	}
}

// Rollout returns the last rollout of a service once a majority has confirmed that it is the
// latest.
func (c *rolloutHandler) Rollout(ctx context.Context, service string) (registry.Rollout, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, operatorCallTimeout)
	defer cancel()
	if err := c.hub.barrier(ctx); err != nil {
		return registry.Rollout{}, errors.Wrap(protocol.ErrUnavailable, err.Error())
	}
	rollout, exists := c.hub.replica.Machine.View().Rollouts[service]
	if !exists {
		return registry.Rollout{}, errors.Wrapf(protocol.ErrNoRollout, "service %.128q", service)
	}
	return rollout, nil
}

// hasReadyTarget reports whether a target of the service with the version is ready.
func (h *Hub) hasReadyTarget(service, version string) bool {
	entries, _ := h.roster.ChangedSince(0)
	for i := range entries {
		if entries[i].Service == service && entries[i].Version == version && entries[i].State == roster.Ready {
			return true
		}
	}
	return false
}
