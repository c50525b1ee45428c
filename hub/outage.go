package hub

import (
	"context"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/registry"
)

// SetOutage starts or ends an outage of a failure domain.
//
// An operator that gets no response repeats the call at another hub and may then give the
// opposite order, while the first call still waits in a process that stood still or on a
// connection that was cut. So each call is based on the version of the outages that was in
// force while its caller still waited, and has no effect on a later version.
func (c *controlHandler) SetOutage(ctx context.Context, caller protocol.Caller, failureDomain string, out bool) error {
	result, err := c.commitOutage(ctx, caller, failureDomain, out)
	if err != nil {
		return err
	}
	if err = result.Err(); err == nil {
		err = c.hub.voters.completeChange(ctx, operatorVersions{Outage: result.Version}, func() error {
			c.awaitPropagation(ctx, operatorVersions{Outage: result.Version})
			return nil
		})
	}
	c.hub.log.WithFields(map[string]any{
		"FailureDomain": failureDomain, "Out": out, "Version": result.Version, "Code": result.Code,
	}).Infof("Outage change of failure domain %s was processed with result %s.", failureDomain, result.Code)
	return err
}

// commitOutage commits the change on the version of the outages in force, and again if
// another change came before it.
func (c *controlHandler) commitOutage(ctx context.Context, caller protocol.Caller, failureDomain string, out bool) (registry.Result, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, c.hub.Clock, operatorCallTimeout)
	defer cancel()
	for attempt := 1; ; attempt++ {
		if err := c.hub.barrier(ctx); err != nil {
			return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, err.Error())
		}
		version := c.hub.replica.Machine.View().OutageVersion
		if !caller.IsWaiting() {
			c.hub.log.WithFields(map[string]any{"FailureDomain": failureDomain, "Out": out, "Version": version}).
				Warnf("Outage change of failure domain %s is dropped: its caller has left.", failureDomain)
			return registry.Result{}, errors.Wrap(protocol.ErrUnavailable, "the caller has left")
		}
		change := outageChange(version, attempt, failureDomain, out)
		change.Operation.Time = c.hub.Clock.Now()
		result, err := c.commit(ctx, change)
		if err != nil || result.Code != registry.CodeConflict && result.Code != registry.CodeOperationReused {
			return result, err
		}
	}
}

// outageChange returns the command for an outage that is based on a version of the outages. Its
// operation ID is that of the failure domain, the version and the attempt, but not of the
// direction. Of the commands with one ID only the first takes effect, so that a call which
// changes nothing also stops an opposite one that was made before it and arrives after it.
func outageChange(version uint64, attempt int, failureDomain string, out bool) registry.SetOutage {
	id := fmt.Sprintf("outage-%016x-%d-%d", xxhash.Sum64String(failureDomain), version, attempt)
	return registry.SetOutage{Operation: registry.Operation{ID: id}, FailureDomain: failureDomain, Out: out, BaseVersion: version}
}
